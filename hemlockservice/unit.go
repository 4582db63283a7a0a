package hemlockservice

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var (
	durationPattern = regexp.MustCompile(`^([0-9]+(ms|s|m|h))+$`)
	sizePattern     = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
)

var sizeUnits = []struct {
	name   string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// parseDuration parses a duration of whole numbers with units, such as "500ms" or "1h30m".
func parseDuration(text string) (time.Duration, bool) {
	if !durationPattern.MatchString(text) {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil
}

// parseSize parses a whole number with a binary unit, such as "64KiB", into bytes.
func parseSize(text string) (int64, bool) {
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	number, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, false
	}
	for _, u := range sizeUnits {
		if u.name == parts[2] && number <= math.MaxInt64/u.factor {
			return number * u.factor, true
		}
	}
	return 0, false
}

// formatDuration formats a duration in whole milliseconds without the units that are zero, so that parseDuration can
// parse it. A remainder below a millisecond is dropped.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return "0s"
	}
	var text strings.Builder
	for _, u := range []struct {
		name string
		unit time.Duration
	}{{"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}} {
		if d >= u.unit {
			fmt.Fprintf(&text, "%d%s", d/u.unit, u.name)
			d %= u.unit
		}
	}
	return text.String()
}

// formatSize formats a size in the largest unit that divides it, so that parseSize can parse it.
func formatSize(size int64) string {
	for _, u := range sizeUnits {
		if size >= u.factor && size%u.factor == 0 {
			return fmt.Sprintf("%d%s", size/u.factor, u.name)
		}
	}
	return "0B"
}

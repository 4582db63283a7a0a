// Package hemlockexplain reconstructs from log files what happened to one request: its log lines on all nodes, in
// order, together with the changes that these nodes logged around the same time.
package hemlockexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// changesBefore and changesAfter limit which changes on a node are shown with a request: those from changesBefore
	// before its first line to changesAfter after its last line. The window covers the time that an update takes to reach
	// the other nodes.
	changesBefore = 3 * time.Second
	changesAfter  = 200 * time.Millisecond
	// maxLineBytes limits the length of a line of a log file; Read fails at a longer one.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	// Time is when the node wrote the line, by the node's own clock.
	Time time.Time
	// Host is the name of the host; empty if the line has none.
	Host string
	// Message is the log message: what was decided or changed.
	Message string
	// Request is the id of the request; empty in lines about the node itself.
	Request string
	// Fields holds the other fields.
	Fields map[string]any
}

// Read parses a log. In each line, text before the JSON object is ignored. Lines without a JSON object that has a valid
// time are skipped and counted.
func Read(source io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	// extract returns a text field and deletes it, so that fields keeps the others.
	extract := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, extract("ts"))
	if err != nil {
		return Line{}, false
	}
	delete(fields, "level")
	return Line{Time: at, Host: extract("host"), Message: extract("msg"), Request: extract("request"),
		Fields: fields}, true
}

// Timeline returns the lines of a request and the changes logged on the same hosts around that time, ordered by time.
// It is empty when no line has the request's id.
func Timeline(lines []Line, request string) []Line {
	var first, last time.Time
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		hosts[l.Host] = true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var timeline []Line
	for _, l := range lines {
		isChange := l.Request == "" && hosts[l.Host] &&
			l.Time.After(first.Add(-changesBefore)) && l.Time.Before(last.Add(changesAfter))
		if request != "" && l.Request == request || isChange {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline
}

// Print writes a timeline, one line for each log line: an asterisk if the line is one of the request itself, the time since
// the first line in milliseconds, the host, the message and the fields.
func Print(out io.Writer, timeline []Line, request string) error {
	for _, l := range timeline {
		mark := " "
		if l.Request == request {
			mark = "*"
		}
		_, err := fmt.Fprintf(out, "%s %9.1f ms  %-24s %s%s\n", mark,
			float64(l.Time.Sub(timeline[0].Time).Microseconds())/1000, l.Host, l.Message, formatFields(l.Fields))
		if err != nil {
			return errors.Wrap(err, "print timeline")
		}
	}
	return nil
}

func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, "  %s=%v", name, fields[name])
	}
	return text.String()
}

package main

import (
	"fmt"
	"strings"

	"hemlockhollow/standin/harness"
)

// report collects the checks of the demo.
type report struct {
	failed int
	total  int
}

// check prints one line and counts it.
func (r *report) check(ok bool, format string, arguments ...any) {
	r.total++
	verdict := "ok    "
	if !ok {
		r.failed++
		verdict = "FAILED"
	}
	fmt.Printf("  %s  %s\n", verdict, fmt.Sprintf(format, arguments...))
}

func (r *report) passed() bool {
	return r.total > 0 && r.failed == 0
}

func (r *report) summary() {
	fmt.Printf("\n%d passed, %d failed\n", r.total-r.failed, r.failed)
}

// printClasses prints one line for each class of a load.
func printClasses(title string, classes []harness.ClassResult) {
	fmt.Printf("\n%s\n", title)
	fmt.Printf("  %-9s %6s %9s %8s %8s %8s %9s %9s  %s\n",
		"class", "sent", "attempts", "complete", "not-run", "unknown", "p50 ms", "p99 ms", "complete in each second")
	for _, c := range classes {
		fmt.Printf("  %-9s %6d %9d %7.1f%% %8d %8d %9.1f %9.1f  %s\n", c.Name, c.Sent, c.Attempts, 100*completeFraction(c),
			c.Outcomes["not-run"], c.Outcomes["unknown"], c.P50, c.P99, bySecond(c))
	}
}

func bySecond(c harness.ClassResult) string {
	parts := make([]string, len(c.OfferedPerSecond))
	for i := range c.OfferedPerSecond {
		parts[i] = fmt.Sprintf("%d%%", percent(c.CompletePerSecond[i], c.OfferedPerSecond[i]))
	}
	return strings.Join(parts, " ")
}

func percent(part, total int) int {
	if total == 0 {
		return 0
	}
	return 100 * part / total
}

func completeFraction(c harness.ClassResult) float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.Outcomes["whole"]) / float64(c.Sent)
}

// recoverySeconds returns the seconds from the end of the surge to the first second from which on at least 90% of the
// requests of each second got a complete response, or -1 if there is none.
func recoverySeconds(c harness.ClassResult, surgeEnd int) int {
	recovered := -1
	for second := len(c.OfferedPerSecond) - 1; second >= surgeEnd; second-- {
		if percent(c.CompletePerSecond[second], c.OfferedPerSecond[second]) < 90 {
			break
		}
		recovered = second - surgeEnd
	}
	return recovered
}

package hemlockexplain

import (
	"strings"
	"testing"
)

const logText = `
0.1 sidecar-a-1 {"level":"info","ts":"2026-03-04T06:27:30Z","msg":"started","host":"sidecar-a-1"}
{"level":"info","ts":"2026-03-04T06:27:39Z","msg":"target changed","host":"sidecar-b-1","cause":"announced","ready":false}
{"level":"info","ts":"2026-03-04T06:27:39.2Z","msg":"target changed","host":"sidecar-c-1","ready":false}
{"level":"info","ts":"2026-03-04T06:27:39.505Z","msg":"call refused","host":"sidecar-b-1","request":"r1","side":"gate","reason":"leaving"}
{"level":"info","ts":"2026-03-04T06:27:39.51Z","msg":"attempt refused or late, another follows","host":"sidecar-a-1","request":"r1","side":"entry"}
{"level":"info","ts":"2026-03-04T06:27:39.6Z","msg":"call answered","host":"sidecar-a-1","request":"r2","side":"entry"}
a line of another program
{"level":"info","ts":"2026-03-04T06:27:39.55Z","msg":"call answered","host":"sidecar-a-1","request":"r1","side":"entry","status":200}
`

// Guards against a timeline that lacks lines of a node or changes on a host of the request, or that contains those of
// other requests and hosts.
func TestTimeline(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logText))
	if err != nil || skipped != 2 { // the empty line at the start and the line of another program
		t.Fatalf("%d lines skipped, %v", skipped, err)
	}
	timeline := Timeline(lines, "r1")
	var messages []string
	for _, l := range timeline {
		messages = append(messages, l.Host+": "+l.Message)
	}
	want := []string{"sidecar-b-1: target changed", "sidecar-b-1: call refused",
		"sidecar-a-1: attempt refused or late, another follows", "sidecar-a-1: call answered"}
	if strings.Join(messages, "; ") != strings.Join(want, "; ") {
		t.Errorf("timeline %q, want %q", messages, want)
	}
	var out strings.Builder
	if err := Print(&out, timeline, "r1"); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "*     505.0 ms  sidecar-b-1") || !strings.Contains(out.String(), "reason=leaving") {
		t.Errorf("printed %s", out.String())
	}
	if timeline := Timeline(lines, "unknown"); len(timeline) != 0 {
		t.Errorf("timeline of an unknown request: %v", timeline)
	}
}

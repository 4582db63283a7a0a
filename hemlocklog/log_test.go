package hemlocklog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// stuck is a reader that has stopped reading.
type stuck struct{ held chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.held
	return len(line), nil
}

// Guards against a request that waits for the reader of the log.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	out := stuck{held: make(chan struct{})}
	sink := NewSink(out)
	log := New(sink)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range waitingLines + 100 {
			log.Info("line")
		}
		sink.Close(10 * time.Millisecond)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for the reader")
	}
	if sink.Dropped() == 0 {
		t.Error("dropped lines are not counted")
	}
	close(out.held)
}

func TestLinesAreWholeObjects(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out)
	log := New(sink).WithValues("host", "h1")
	log.Info("first", "request", "r1", "took-ms", 1.5)
	log.Info("second")
	sink.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines: %q", len(lines), out.String())
	}
	var first map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &first); err != nil {
		t.Fatal(err)
	}
	if first["msg"] != "first" || first["host"] != "h1" || first["request"] != "r1" || first["took-ms"] != 1.5 {
		t.Errorf("line %v", first)
	}
}

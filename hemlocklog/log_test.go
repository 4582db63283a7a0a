package hemlocklog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// blockedWriter is a stream whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

// Guards against requests that block because the reader of the log has stopped reading.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	sink := NewSink(out)
	log := New(sink)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range maxQueuedLines + 100 {
			log.Info("line")
		}
		sink.Close(10 * time.Millisecond)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging or Close blocked")
	}
	if sink.Dropped() == 0 {
		t.Error("dropped lines were not counted")
	}
	close(out.release)
}

// Guards against lines that run together, are not JSON objects or lack fields.
func TestEachLineIsOneJSONObject(t *testing.T) {
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

// Package hemlocklog writes structured log lines to a stream without ever blocking the caller.
package hemlocklog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// waitingLines bounds the lines that wait for a slow reader; at 300 bytes a line they take 1 MB.
const waitingLines = 4096

// Sink hands lines to a writer in a goroutine of its own. When the writer does not keep up, lines are dropped and
// counted. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, waitingLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	buffer := make([]byte, 0, 16<<10)
	for line := range s.lines {
		if line == nil {
			return // the end that Close sent
		}
		buffer = append(buffer[:0], line...)
		_, _ = out.Write(buffer) // there is nobody to tell that the reader of the log is gone
	}
}

// Write implements io.Writer. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, but no longer than for the given time: a reader that has stopped reading must not hold up the
// end of the process.
func (s *Sink) Close(most time.Duration) {
	end, stop := context.WithTimeout(context.Background(), most)
	defer stop()
	s.once.Do(func() {
		select {
		case s.lines <- nil:
		case <-end.Done():
		}
	})
	select {
	case <-s.done:
	case <-end.Done():
	}
}

// New returns a structured log that writes one JSON object a line to the sink.
func New(sink *Sink) logr.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeLevel = zapcore.LowercaseLevelEncoder
	encoder.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zapcore.InfoLevel)
	return zapr.NewLogger(zap.New(core))
}

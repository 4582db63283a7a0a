// Package hemlocklog writes structured log lines to a stream without blocking the caller.
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

// maxQueuedLines limits the lines that are queued while the writer is slow; at 300 bytes a line they take about 1 MB.
const maxQueuedLines = 4096

// Sink passes lines to a writer in a separate goroutine. When the queue is full because the writer is too slow, further
// lines are dropped and counted. It is safe for concurrent use.
type Sink struct {
	lines     chan []byte // nil, which Close sends, ends run
	dropped   atomic.Uint64
	done      chan struct{} // closed when run has returned
	closeOnce sync.Once     // for sending nil
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	buffer := make([]byte, 0, 16<<10)
	for line := range s.lines {
		if line == nil {
			return
		}
		buffer = append(buffer[:0], line...)
		_, _ = out.Write(buffer) // the log itself has failed, so there is nowhere to report it
	}
}

// Write implements io.Writer. It never blocks and returns no error, even when it drops the line.
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

// Dropped returns the number of lines that have been dropped since NewSink.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines. It returns after the timeout at the latest, because a blocked writer must not delay
// the exit of the process.
func (s *Sink) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.closeOnce.Do(func() {
		select {
		case s.lines <- nil:
		case <-ctx.Done():
		}
	})
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// New returns a structured logger that writes each entry to the sink as one line with a JSON object.
func New(sink *Sink) logr.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeLevel = zapcore.LowercaseLevelEncoder
	encoder.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zapcore.InfoLevel)
	return zapr.NewLogger(zap.New(core))
}

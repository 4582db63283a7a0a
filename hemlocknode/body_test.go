package hemlocknode

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"hemlockhollow/hemlockcall"
)

// Guards against a second attempt that reads the tail of a body while the reader of the first attempt is still waiting for
// data: the second target would get a body with a missing piece and treat it as complete.
func TestBodyBeingReadIsNotReplayable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		input, output := io.Pipe()
		go func() { _, _ = io.CopyN(output, strings.NewReader(strings.Repeat("x", readAheadSize)), readAheadSize) }()
		body, err := readBody(input, -1, 1<<30, newMemoryBudget(1<<30))
		if err != nil {
			t.Fatal(err)
		}
		first := body.reader()
		piece := make(chan []byte)
		go func() {
			_, _ = io.CopyN(io.Discard, first, readAheadSize)
			buffer := make([]byte, 100)
			n, _ := first.Read(buffer)
			piece <- buffer[:n]
		}()
		synctest.Wait()
		if body.prepareReplay() {
			t.Error("the body counts as replayable while the first attempt is waiting for the next piece")
		}
		_, _ = output.Write([]byte("next"))
		<-piece
		_ = output.Close()
	})
}

// Guards against an attempt that continues to read a body after the next attempt has started.
func TestReaderOfEarlierAttemptIsRevoked(t *testing.T) {
	body, err := readBody(strings.NewReader(strings.Repeat("x", 2*readAheadSize)), -1, 1<<30, newMemoryBudget(1<<30))
	if err != nil {
		t.Fatal(err)
	}
	first := body.reader()
	if !body.prepareReplay() {
		t.Fatal("a body of which only the prefix in memory was read is not replayable")
	}
	second := body.reader()
	if n, err := io.Copy(io.Discard, first); err == nil {
		t.Errorf("the first attempt read %d bytes to the end after the second one had started, want an error", n)
	}
	if n, err := io.Copy(io.Discard, second); err != nil || n != 2*readAheadSize {
		t.Errorf("the second attempt read %d bytes, error %v; want the complete body and no error", n, err)
	}
}

var errBodyFailed = errors.New("broken")

// truncatedBody returns a body that fails after the text.
func truncatedBody(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), failingReader{})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBodyFailed }

// Guards against memory of request bodies that is not released, and against a truncated body that is treated as complete.
func TestReadBody(t *testing.T) {
	const budget = 512 << 10
	long := strings.Repeat("x", 2*readAheadSize)
	cases := map[string]struct {
		source        io.Reader
		length, limit int64
		reserved      int64
		reason        hemlockcall.Reason
		complete      bool
	}{
		"no body":                   {source: nil, complete: true},
		"small":                     {source: strings.NewReader("abc"), length: 3, limit: 10, complete: true},
		"unknown length":            {source: strings.NewReader(long[:100<<10]), length: -1, limit: 1 << 20, complete: true},
		"exactly read ahead":        {source: strings.NewReader(long[:readAheadSize]), length: readAheadSize, limit: 1 << 20, complete: true},
		"large":                     {source: strings.NewReader(long), length: int64(len(long)), limit: 1 << 20},
		"large of unknown length":   {source: strings.NewReader(long), length: -1, limit: 1 << 20},
		"truncated":                 {source: truncatedBody("abc"), length: 10, limit: 10, reason: hemlockcall.ReasonIncomplete},
		"truncated, unknown length": {source: truncatedBody(long[:64<<10]), length: -1, limit: 1 << 20, reason: hemlockcall.ReasonIncomplete},
		"shorter than its length":   {source: strings.NewReader("abc"), length: 10, limit: 10, reason: hemlockcall.ReasonIncomplete},
		"longer than its length":    {source: strings.NewReader("abcdef"), length: 3, limit: 10, reason: hemlockcall.ReasonIncomplete},
		"length above the limit":    {source: strings.NewReader("abc"), length: 11, limit: 10, reason: hemlockcall.ReasonTooLarge},
		"above the limit":           {source: strings.NewReader(long[:100]), length: -1, limit: 10, reason: hemlockcall.ReasonTooLarge},
		"no memory":                 {source: strings.NewReader(long), length: int64(len(long)), limit: 1 << 20, reserved: budget - 1000, reason: hemlockcall.ReasonOverload},
		"no memory while growing":   {source: strings.NewReader(long), length: -1, limit: 1 << 20, reserved: budget - 100<<10, reason: hemlockcall.ReasonOverload},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newMemoryBudget(budget)
			b.reserve(c.reserved)
			body, err := readBody(c.source, c.length, c.limit, b)
			if c.reason != "" {
				var refusal *hemlockcall.Refusal
				if !errors.As(err, &refusal) || refusal.Verdict != hemlockcall.VerdictNotRun || refusal.Reason != c.reason {
					t.Errorf("readBody returned %v, want a refusal with verdict not-run and reason %s", err, c.reason)
				}
			} else if err != nil || body.isComplete() != c.complete {
				t.Errorf("readBody returned %v and a complete body: %v, want %v", err, body != nil && body.isComplete(), c.complete)
			}
			if err == nil {
				body.close()
				body.close()
			}
			if b.available.Load() != budget-c.reserved {
				t.Errorf("%d bytes of the budget were not released", budget-c.reserved-b.available.Load())
			}
		})
	}
}

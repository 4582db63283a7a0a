package hemlocknode

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"hemlockhollow/hemlockcall"
)

// Guards against a second attempt that shares the rest of an upload with the reader of the first one: the second
// target would get the upload with a piece missing and take it for whole.
func TestUploadThatIsBeingReadIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		input, output := io.Pipe()
		go func() { _, _ = io.CopyN(output, strings.NewReader(strings.Repeat("x", readAheadSize)), readAheadSize) }()
		body, err := readBody(input, -1, 1<<30, newByteBudget(1<<30))
		if err != nil {
			t.Fatal(err)
		}
		first := body.reader()
		stolen := make(chan []byte)
		go func() {
			_, _ = io.CopyN(io.Discard, first, readAheadSize)
			piece := make([]byte, 100)
			n, _ := first.Read(piece)
			stolen <- piece[:n]
		}()
		synctest.Wait()
		if body.replayable() {
			t.Error("the upload counts as replayable while the first attempt waits for its next piece")
		}
		_, _ = output.Write([]byte("next"))
		<-stolen
		_ = output.Close()
	})
}

// Guards against an attempt that goes on reading an upload after the next attempt has begun.
func TestReaderOfAnEarlierAttemptIsRevoked(t *testing.T) {
	body, err := readBody(strings.NewReader(strings.Repeat("x", 2*readAheadSize)), -1, 1<<30, newByteBudget(1<<30))
	if err != nil {
		t.Fatal(err)
	}
	first := body.reader()
	if !body.replayable() {
		t.Fatal("an upload of which only the part in memory was read cannot be sent again")
	}
	second := body.reader()
	if n, err := io.Copy(io.Discard, first); err == nil {
		t.Errorf("the first attempt read %d bytes to the end after the second had begun", n)
	}
	if n, err := io.Copy(io.Discard, second); err != nil || n != 2*readAheadSize {
		t.Errorf("the second attempt read %d bytes: %v", n, err)
	}
}

var errBroken = errors.New("broken")

// brokenBody breaks off after its text.
func brokenBody(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), failingReader{})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBroken }

// Guards against request memory that is not given back, and against a body that is taken for whole when it is not.
func TestMemoryOfBodies(t *testing.T) {
	const budget = 512 << 10
	long := strings.Repeat("x", 2*readAheadSize)
	cases := map[string]struct {
		source        io.Reader
		length, limit int64
		taken         int64
		reason        hemlockcall.Reason
		whole         bool
	}{
		"no body":                    {source: nil, whole: true},
		"small":                      {source: strings.NewReader("abc"), length: 3, limit: 10, whole: true},
		"unknown length":             {source: strings.NewReader(long[:100<<10]), length: -1, limit: 1 << 20, whole: true},
		"exactly read ahead":         {source: strings.NewReader(long[:readAheadSize]), length: readAheadSize, limit: 1 << 20, whole: true},
		"large":                      {source: strings.NewReader(long), length: int64(len(long)), limit: 1 << 20},
		"large of unknown length":    {source: strings.NewReader(long), length: -1, limit: 1 << 20},
		"broken off":                 {source: brokenBody("abc"), length: 10, limit: 10, reason: hemlockcall.ReasonIncomplete},
		"broken off, unknown length": {source: brokenBody(long[:64<<10]), length: -1, limit: 1 << 20, reason: hemlockcall.ReasonIncomplete},
		"shorter than its length":    {source: strings.NewReader("abc"), length: 10, limit: 10, reason: hemlockcall.ReasonIncomplete},
		"longer than its length":     {source: strings.NewReader("abcdef"), length: 3, limit: 10, reason: hemlockcall.ReasonIncomplete},
		"length above the limit":     {source: strings.NewReader("abc"), length: 11, limit: 10, reason: hemlockcall.ReasonTooLarge},
		"above the limit":            {source: strings.NewReader(long[:100]), length: -1, limit: 10, reason: hemlockcall.ReasonTooLarge},
		"no memory":                  {source: strings.NewReader(long), length: int64(len(long)), limit: 1 << 20, taken: budget - 1000, reason: hemlockcall.ReasonOverload},
		"no memory while it grows":   {source: strings.NewReader(long), length: -1, limit: 1 << 20, taken: budget - 100<<10, reason: hemlockcall.ReasonOverload},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newByteBudget(budget)
			b.take(c.taken)
			body, err := readBody(c.source, c.length, c.limit, b)
			if c.reason != "" {
				var refusal *hemlockcall.Refusal
				if !errors.As(err, &refusal) || refusal.Verdict != hemlockcall.VerdictNotRun || refusal.Reason != c.reason {
					t.Errorf("reading ended with %v, want a refusal as not run for %s", err, c.reason)
				}
			} else if err != nil || body.whole() != c.whole {
				t.Errorf("reading ended with %v and whole body %v, want %v", err, body != nil && body.whole(), c.whole)
			}
			if err == nil {
				body.close()
				body.close()
			}
			if b.available.Load() != budget-c.taken {
				t.Errorf("%d bytes of the budget were not given back", budget-c.taken-b.available.Load())
			}
		})
	}
}

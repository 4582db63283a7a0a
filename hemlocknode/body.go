package hemlocknode

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"hemlockhollow/hemlockcall"
)

// readAheadSize is the part of a request body that a node reads before the call goes on. Smaller bodies are whole by
// then and can be sent again; a larger upload does not take a slot before this much of it has arrived.
const readAheadSize = 256 << 10

const readChunk = 32 << 10

// byteBudget bounds the bytes of bodies that a node holds at once.
type byteBudget struct {
	available atomic.Int64
}

func newByteBudget(size int64) *byteBudget {
	budget := &byteBudget{}
	budget.available.Store(size)
	return budget
}

func (b *byteBudget) take(size int64) bool {
	if b.available.Add(-size) < 0 {
		b.available.Add(size)
		return false
	}
	return true
}

func (b *byteBudget) give(size int64) {
	b.available.Add(size)
}

// requestBody is a request body whose beginning is held in memory.
type requestBody struct {
	// prefix is the part that has been read; it is the whole body when rest is nil.
	prefix []byte
	// rest is the unread part of a large body, or nil.
	rest *countingReader
	// reserved is what the body takes of the budget.
	reserved int64
	budget   *byteBudget
}

type countingReader struct {
	source io.Reader
	limit  int64
	count  atomic.Int64
}

var errBodyTooLarge = errors.New("request body is larger than its class allows")

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	if c.count.Add(int64(n)) > c.limit {
		return 0, errBodyTooLarge
	}
	return n, err
}

// readBody reads the beginning of a body, at most limit bytes, and reports a refusal as not run when that fails.
func readBody(source io.Reader, length, limit int64, budget *byteBudget) (*requestBody, error) {
	body := &requestBody{budget: budget}
	if source == nil || length == 0 {
		return body, nil
	}
	if length > limit {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonTooLarge, errBodyTooLarge.Error())
	}
	for len(body.prefix) < readAheadSize {
		if len(body.prefix) == cap(body.prefix) && !body.grow(nextSize(length, int64(cap(body.prefix)))) {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "no memory for request bodies")
		}
		n, err := source.Read(body.prefix[len(body.prefix):cap(body.prefix)])
		body.prefix = body.prefix[:len(body.prefix)+n]
		if int64(len(body.prefix)) > limit {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonTooLarge, errBodyTooLarge.Error())
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, "request body broke off: "+err.Error())
		}
	}
	body.rest = &countingReader{source: source, limit: limit - int64(len(body.prefix))}
	return body, nil
}

// nextSize returns the next buffer size: enough for a body of a known length, doubling otherwise. The extra room is
// for the read that reports the end.
func nextSize(length, current int64) int64 {
	if current == 0 && length > 0 {
		return min(length, readAheadSize) + bytes.MinRead
	}
	return max(2*current, readChunk)
}

func (b *requestBody) grow(size int64) bool {
	if !b.budget.take(size - b.reserved) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.prefix), size)
	copy(grown, b.prefix)
	b.prefix = grown
	return true
}

// whole reports whether all of the body is in memory.
func (b *requestBody) whole() bool {
	return b.rest == nil
}

// replayable reports whether the body can be sent from its beginning once more.
func (b *requestBody) replayable() bool {
	return b.rest == nil || b.rest.count.Load() == 0
}

// reader returns the body from its beginning; nil for an empty body.
func (b *requestBody) reader() io.Reader {
	if b.rest != nil {
		return io.MultiReader(bytes.NewReader(b.prefix), b.rest)
	}
	if len(b.prefix) == 0 {
		return nil
	}
	return bytes.NewReader(b.prefix)
}

func (b *requestBody) close() {
	b.budget.give(b.reserved)
	b.reserved = 0
	b.prefix = nil
}

package hemlocknode

import (
	"bytes"
	"errors"
	"io"
	"sync"
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
	rest *unreadRest
	// reserved is what the body takes of the budget.
	reserved int64
	budget   *byteBudget
}

// unreadRest is the part of an upload that has not arrived yet. It can be read once, by one attempt: what an attempt
// has begun to read is lost to the next one, even if no byte has arrived.
type unreadRest struct {
	source io.Reader
	limit  int64

	mutex sync.Mutex
	// attempt numbers the attempts; only the reader of the present one may read.
	attempt int
	// begun is set before the first read of the source.
	begun bool
}

// attemptReader reads the rest on behalf of one attempt.
type attemptReader struct {
	rest    *unreadRest
	attempt int
	count   int64
}

var (
	errBodyTooLarge = errors.New("request body is larger than its class allows")
	errBodyRevoked  = errors.New("request body belongs to a later attempt")
)

// Read implements io.Reader.
func (a *attemptReader) Read(p []byte) (int, error) {
	if !a.rest.begin(a.attempt) {
		return 0, errBodyRevoked
	}
	n, err := a.rest.source.Read(p)
	a.count += int64(n)
	if a.count > a.rest.limit {
		return 0, errBodyTooLarge
	}
	return n, err
}

func (u *unreadRest) begin(attempt int) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if attempt != u.attempt {
		return false
	}
	u.begun = true
	return true
}

// revoke ends the present attempt unless it has begun to read.
func (u *unreadRest) revoke() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.begun {
		return false
	}
	u.attempt++
	return true
}

func (u *unreadRest) reader() io.Reader {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return &attemptReader{rest: u, attempt: u.attempt}
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
		held := int64(len(body.prefix))
		if length >= 0 && (held > length || held < length && errors.Is(err, io.EOF)) {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, "request body does not have its declared length")
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, "request body broke off: "+err.Error())
		}
	}
	if int64(len(body.prefix)) == length {
		return body, nil
	}
	body.rest = &unreadRest{source: source, limit: limit - int64(len(body.prefix))}
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

// replayable reports whether the body can be sent from its beginning once more. If so, readers of earlier attempts
// read no more of an upload: the sender of a refused attempt may still be at work.
func (b *requestBody) replayable() bool {
	return b.rest == nil || b.rest.revoke()
}

// reader returns the body from its beginning; nil for an empty body.
func (b *requestBody) reader() io.Reader {
	if b.rest != nil {
		return io.MultiReader(bytes.NewReader(b.prefix), b.rest.reader())
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

package hemlocknode

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"hemlockhollow/hemlockcall"
)

// readAheadSize is how much of a request body a node reads, in bytes, before it sends the call. Smaller bodies are then
// completely in memory and can be sent in every attempt; a larger body does not occupy a slot before this much of it has
// arrived.
const readAheadSize = 256 << 10

// minBufferSize is the size of the first buffer for a body of unknown length, in bytes.
const minBufferSize = 32 << 10

// memoryBudget limits the bytes of bodies that a node keeps in memory at the same time.
type memoryBudget struct {
	available atomic.Int64
}

func newMemoryBudget(size int64) *memoryBudget {
	budget := &memoryBudget{}
	budget.available.Store(size)
	return budget
}

// reserve returns false, and reserves nothing, if fewer than size bytes are available.
func (b *memoryBudget) reserve(size int64) bool {
	if b.available.Add(-size) < 0 {
		b.available.Add(size)
		return false
	}
	return true
}

func (b *memoryBudget) release(size int64) {
	b.available.Add(size)
}

// requestBody is a request body whose first part is in memory.
type requestBody struct {
	// prefix is the part that has been read; it is the complete body when tail is nil.
	prefix []byte
	// tail is the unread part of a large body, or nil.
	tail *unreadTail
	// reserved is the number of bytes that the body has reserved in the budget.
	reserved int64
	budget   *memoryBudget
}

// unreadTail is the part of a large body that has not been read yet. It can be read once, by one attempt: as soon as an
// attempt has called Read on the source, even if no byte has arrived, no later attempt can get the complete body.
type unreadTail struct {
	source io.Reader
	// limit is the maximum number of bytes of the tail.
	limit int64

	mutex sync.Mutex
	// attempt is the index of the current attempt, from 0; only its reader may read.
	attempt int
	// readStarted is set before the first Read of the source.
	readStarted bool
}

// attemptReader reads the tail for one attempt.
type attemptReader struct {
	tail      *unreadTail
	attempt   int
	bytesRead int64
}

var (
	errBodyTooLarge = errors.New("request body is larger than its class allows")
	errBodyRevoked  = errors.New("request body belongs to a later attempt")
)

// Read implements io.Reader.
func (a *attemptReader) Read(p []byte) (int, error) {
	if !a.tail.startRead(a.attempt) {
		return 0, errBodyRevoked
	}
	n, err := a.tail.source.Read(p)
	a.bytesRead += int64(n)
	if a.bytesRead > a.tail.limit {
		return 0, errBodyTooLarge
	}
	return n, err
}

func (u *unreadTail) startRead(attempt int) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if attempt != u.attempt {
		return false
	}
	u.readStarted = true
	return true
}

// revoke makes the reader of the current attempt fail from now on. It does nothing and returns false when that reader has
// already started to read.
func (u *unreadTail) revoke() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.readStarted {
		return false
	}
	u.attempt++
	return true
}

func (u *unreadTail) reader() io.Reader {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return &attemptReader{tail: u, attempt: u.attempt}
}

// readBody reads the first readAheadSize bytes of a body or a little more, or the complete body if it is smaller. length is
// the declared length, or negative if it is unknown. limit is the maximum size of the complete body. Every error is a refusal
// with the verdict not-run.
func readBody(source io.Reader, length, limit int64, budget *memoryBudget) (*requestBody, error) {
	body := &requestBody{budget: budget}
	if source == nil || length == 0 {
		return body, nil
	}
	if length > limit {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonTooLarge, errBodyTooLarge.Error())
	}
	for len(body.prefix) < readAheadSize {
		if len(body.prefix) == cap(body.prefix) && !body.grow(nextBufferSize(length, int64(cap(body.prefix)))) {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "the node has no memory left for request bodies")
		}
		n, err := source.Read(body.prefix[len(body.prefix):cap(body.prefix)])
		body.prefix = body.prefix[:len(body.prefix)+n]
		if int64(len(body.prefix)) > limit {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonTooLarge, errBodyTooLarge.Error())
		}
		received := int64(len(body.prefix))
		if length >= 0 && (received > length || received < length && errors.Is(err, io.EOF)) {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, "request body does not have its declared length")
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			body.close()
			return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, "request body ended early: "+err.Error())
		}
	}
	if int64(len(body.prefix)) == length {
		return body, nil
	}
	body.tail = &unreadTail{source: source, limit: limit - int64(len(body.prefix))}
	return body, nil
}

// nextBufferSize returns the next buffer size. The first one is enough for the part of a body of known length that is read
// ahead, with space for the Read that returns io.EOF. Otherwise the size doubles, from minBufferSize.
func nextBufferSize(length, current int64) int64 {
	if current == 0 && length > 0 {
		return min(length, readAheadSize) + bytes.MinRead
	}
	return max(2*current, minBufferSize)
}

// grow enlarges the buffer of the prefix to size bytes. It returns false if the budget does not have enough memory.
func (b *requestBody) grow(size int64) bool {
	if !b.budget.reserve(size - b.reserved) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.prefix), size)
	copy(grown, b.prefix)
	b.prefix = grown
	return true
}

// isComplete reports whether the complete body is in memory.
func (b *requestBody) isComplete() bool {
	return b.tail == nil
}

// prepareReplay reports whether the body can be sent again from its beginning. If so, it revokes the readers of earlier
// attempts: the goroutine that sends a refused attempt may still be about to read from the source.
func (b *requestBody) prepareReplay() bool {
	return b.tail == nil || b.tail.revoke()
}

// reader returns a reader of the body from its beginning for the current attempt; nil for an empty body.
func (b *requestBody) reader() io.Reader {
	if b.tail != nil {
		return io.MultiReader(bytes.NewReader(b.prefix), b.tail.reader())
	}
	if len(b.prefix) == 0 {
		return nil
	}
	return bytes.NewReader(b.prefix)
}

// close releases the memory of the body; it may be called more than once.
func (b *requestBody) close() {
	b.budget.release(b.reserved)
	b.reserved = 0
	b.prefix = nil
}

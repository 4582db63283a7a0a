package hemlockpeer

import (
	"context"
	"io"
	"sync"

	"hemlockhollow/hemlockerror"
)

// aheadParts is the number of body parts that are received ahead of the handler: 256 KiB. Receiving ahead lets the
// server see a broken connection while the handler does not read.
const aheadParts = 8

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, chunkSize)
	return &buffer
}}

func takeBuffer() *[]byte {
	return buffers.Get().(*[]byte)
}

func putBuffer(buffer *[]byte) {
	buffers.Put(buffer)
}

// requestBody is the body of a request that arrives in frames. Read returns io.EOF only after the end frame was
// checked.
type requestBody struct {
	ctx    context.Context
	cancel context.CancelFunc
	reader *frameReader
	parts  chan []byte
	part   []byte
	// stop is closed when the call ends, so that the pump does not wait for a reader.
	stop chan struct{}

	mutex sync.Mutex
	// ended is set once the receiving has ended, successfully when failure is nil.
	ended   bool
	failure error
}

func newRequestBody(ctx context.Context, reader *frameReader, cancel context.CancelFunc) *requestBody {
	return &requestBody{
		ctx: ctx, cancel: cancel, reader: reader,
		parts: make(chan []byte, aheadParts), stop: make(chan struct{}),
	}
}

// readAll receives a body of at most one part size before the handler runs.
func (b *requestBody) readAll() error {
	defer close(b.parts)
	for {
		part, end, err := b.reader.bodyPart()
		if err == nil && end != nil {
			err = b.reader.finish()
		}
		if err != nil || end != nil {
			b.finish(err)
			return err
		}
		b.part = append(b.part, part...)
	}
}

// pump receives the body while the handler runs.
func (b *requestBody) pump() {
	defer close(b.parts)
	for {
		part, end, err := b.reader.bodyPart()
		if err == nil && end != nil {
			err = b.reader.finish()
		}
		if err != nil || end != nil {
			b.finish(err)
			if err != nil {
				// Without its request the run is of no use to anyone.
				b.cancel()
			}
			return
		}
		select {
		case b.parts <- part:
		case <-b.stop:
			b.finish(hemlockerror.New("read request", KindBody, "the call has ended"))
			return
		}
	}
}

func (b *requestBody) finish(failure error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended, b.failure = true, failure
}

// whole reports whether the whole request was received and checked.
func (b *requestBody) whole() (bool, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ended && b.failure == nil, b.failure
}

func (b *requestBody) close() {
	close(b.stop)
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	for len(b.part) == 0 {
		select {
		case part, open := <-b.parts:
			if !open {
				return 0, b.end()
			}
			b.part = part
		case <-b.ctx.Done():
			return 0, hemlockerror.Wrap("read request", KindBody, context.Cause(b.ctx))
		}
	}
	count := copy(buffer, b.part)
	b.part = b.part[count:]
	return count, nil
}

func (b *requestBody) end() error {
	whole, failure := b.whole()
	if whole {
		return io.EOF
	}
	// Not wrapped: a broken connection has io.EOF in its chain, which a reader could take for the end of the body.
	return hemlockerror.New("read request", KindBody, failure.Error())
}

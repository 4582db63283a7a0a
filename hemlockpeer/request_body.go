package hemlockpeer

import (
	"context"
	"io"
	"sync"

	"hemlockhollow/hemlockerror"
)

// maxBufferedParts is the largest number of body parts that are received before the handler reads them: 256 KiB in all.
// Without this buffer the server would not notice a lost connection while the handler does not read.
const maxBufferedParts = 8

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, chunkSize)
	return &buffer
}}

func getBuffer() *[]byte {
	return buffers.Get().(*[]byte)
}

func putBuffer(buffer *[]byte) {
	buffers.Put(buffer)
}

// requestBody is the body of a request that is received in frames. Read returns io.EOF only after the end frame has been
// checked.
type requestBody struct {
	ctx    context.Context
	cancel context.CancelFunc
	reader *frameReader
	parts  chan []byte // received parts that Read has not started
	part   []byte      // unread rest of the current part
	// callEnded is closed when the call ends, so that receive stops waiting for the handler to read.
	callEnded chan struct{}

	mutex sync.Mutex
	// ended is set once the body has been received (failure is nil) or receiving it has failed.
	ended   bool
	failure error
}

func newRequestBody(ctx context.Context, reader *frameReader, cancel context.CancelFunc) *requestBody {
	return &requestBody{
		ctx: ctx, cancel: cancel, reader: reader,
		parts: make(chan []byte, maxBufferedParts), callEnded: make(chan struct{}),
	}
}

// readAll receives the whole body before the handler runs. It is used for bodies of at most chunkSize.
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

// receive receives the body while the handler runs.
func (b *requestBody) receive() {
	defer close(b.parts)
	for {
		part, end, err := b.reader.bodyPart()
		if err == nil && end != nil {
			err = b.reader.finish()
		}
		if err != nil || end != nil {
			b.finish(err)
			if err != nil {
				// The response to a truncated request is of no use, so the handler need not continue.
				b.cancel()
			}
			return
		}
		select {
		case b.parts <- part:
		case <-b.callEnded:
			b.finish(hemlockerror.New("read request", KindBody, "the call has ended"))
			return
		}
	}
}

// finish records that the request was received completely, or the error that prevented it.
func (b *requestBody) finish(failure error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended, b.failure = true, failure
}

// complete reports whether the whole request was received and checked, and the error that prevented it.
func (b *requestBody) complete() (bool, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ended && b.failure == nil, b.failure
}

func (b *requestBody) close() {
	close(b.callEnded)
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	for len(b.part) == 0 {
		select {
		case part, open := <-b.parts:
			if !open {
				return 0, b.endError()
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

func (b *requestBody) endError() error {
	complete, failure := b.complete()
	if complete {
		return io.EOF
	}
	// Not wrapped: the error of a lost connection has io.EOF in its chain, which a reader could mistake for the end of
	// the body.
	return hemlockerror.New("read request", KindBody, failure.Error())
}

package hemlocktarget

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// chunkSize is the maximum number of bytes in one read of the source.
const chunkSize = 32 << 10

// errRequestBody is the cancellation cause of a request that was aborted because its body stalled or could not be read
// completely.
var errRequestBody = errors.New("the request body stalled or was truncated")

// requestBody is the body of a request that is being sent to the target. A read of the source that blocks for longer
// than the stall timeout aborts the request. The source is read in another goroutine, because http.Transport returns
// from a cancelled request only after the Read of the body has returned, and the Read of a stalled source does not.
type requestBody struct {
	source       io.Reader
	stallTimeout time.Duration
	ctx          context.Context
	cancel       context.CancelCauseFunc
	// buffer belongs to the reading goroutine until its chunk has been received.
	buffer []byte
	chunks chan chunk
	unread []byte
	// readErr is the error that Read returns after the unread bytes.
	readErr error
}

type chunk struct {
	size    int
	eof     bool
	readErr error
}

func newRequestBody(ctx context.Context, cancel context.CancelCauseFunc, source io.Reader, stallTimeout time.Duration) io.ReadCloser {
	if reader, ok := source.(*bytes.Reader); ok {
		return io.NopCloser(reader)
	}
	return &requestBody{
		source: source, stallTimeout: stallTimeout, ctx: ctx, cancel: cancel,
		buffer: make([]byte, chunkSize), chunks: make(chan chunk, 1),
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	for len(b.unread) == 0 && b.readErr == nil {
		b.readErr = b.readChunk()
	}
	if len(b.unread) == 0 {
		return 0, b.readErr
	}
	count := copy(buffer, b.unread)
	b.unread = b.unread[count:]
	return count, nil
}

// readChunk reads the next chunk of the source into unread. It aborts the request when the read fails or stalls.
func (b *requestBody) readChunk() error {
	if err := b.ctx.Err(); err != nil {
		return hemlockerror.Wrap("read request body", KindRequestBody, err)
	}
	go func() {
		size, err := b.source.Read(b.buffer)
		if err == io.EOF {
			b.chunks <- chunk{size: size, eof: true}
			return
		}
		b.chunks <- chunk{size: size, readErr: err}
	}()
	timer := time.NewTimer(b.stallTimeout)
	defer timer.Stop()
	select {
	case received := <-b.chunks:
		b.unread = b.buffer[:received.size]
		if received.eof {
			return io.EOF
		}
		if received.readErr != nil {
			b.cancel(errRequestBody)
			return hemlockerror.Wrap("read request body", KindRequestBody, received.readErr)
		}
		return nil
	case <-timer.C:
		b.cancel(errRequestBody)
		return hemlockerror.Wrap("read request body", KindRequestBody, errRequestBody)
	case <-b.ctx.Done():
		return hemlockerror.Wrap("read request body", KindRequestBody, b.ctx.Err())
	}
}

// Close implements io.Closer. It does not close the source, which belongs to the caller.
func (b *requestBody) Close() error {
	return nil
}

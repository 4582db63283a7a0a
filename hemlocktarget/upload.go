package hemlocktarget

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// uploadPartSize is the size of one read of the source.
const uploadPartSize = 32 << 10

// errUpload is the cause of a run that was aborted because its body did not arrive.
var errUpload = errors.New("the upload stalled or broke off")

// upload is the body of a running request. A read that waits longer than the stall time aborts the run. It reads the
// source in another goroutine, because http.Transport returns from a cancelled request only after the body's Read has
// returned, and a source that stalls does not return.
type upload struct {
	body   io.Reader
	stall  time.Duration
	ctx    context.Context
	cancel context.CancelCauseFunc
	// buffer belongs to the goroutine that reads, until its part has been received.
	buffer []byte
	parts  chan uploadPart
	rest   []byte
	// failure is what Read returns after the rest.
	failure error
}

type uploadPart struct {
	count   int
	ended   bool
	failure error
}

func newUpload(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader, stall time.Duration) io.ReadCloser {
	if whole, ok := body.(*bytes.Reader); ok {
		return io.NopCloser(whole)
	}
	return &upload{
		body: body, stall: stall, ctx: ctx, cancel: cancel,
		buffer: make([]byte, uploadPartSize), parts: make(chan uploadPart, 1),
	}
}

// Read implements io.Reader.
func (u *upload) Read(buffer []byte) (int, error) {
	for len(u.rest) == 0 && u.failure == nil {
		u.failure = u.receive()
	}
	if len(u.rest) == 0 {
		return 0, u.failure
	}
	count := copy(buffer, u.rest)
	u.rest = u.rest[count:]
	return count, nil
}

// receive waits for the next part of the source.
func (u *upload) receive() error {
	if err := u.ctx.Err(); err != nil {
		return hemlockerror.Wrap("read upload", KindUpload, err)
	}
	go func() {
		count, err := u.body.Read(u.buffer)
		if err == io.EOF {
			u.parts <- uploadPart{count: count, ended: true}
			return
		}
		u.parts <- uploadPart{count: count, failure: err}
	}()
	timer := time.NewTimer(u.stall)
	defer timer.Stop()
	select {
	case part := <-u.parts:
		u.rest = u.buffer[:part.count]
		if part.ended {
			return io.EOF
		}
		if part.failure != nil {
			u.cancel(errUpload)
			return hemlockerror.Wrap("read upload", KindUpload, part.failure)
		}
		return nil
	case <-timer.C:
		u.cancel(errUpload)
		return hemlockerror.Wrap("read upload", KindUpload, errUpload)
	case <-u.ctx.Done():
		return hemlockerror.Wrap("read upload", KindUpload, u.ctx.Err())
	}
}

// Close implements io.Closer. The source belongs to the caller and stays open.
func (u *upload) Close() error {
	return nil
}

package hemlocktarget

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// ReadAheadSize is how much of a body is read before a slot is taken.
const ReadAheadSize = 256 << 10

// uploadPartSize is the size of one read of the source.
const uploadPartSize = 32 << 10

// errUpload is the cause of a run that was aborted because its body did not arrive.
var errUpload = errors.New("the upload stalled or broke off")

// ReadAhead reads up to ReadAheadSize bytes of the body and returns a request with the same content, so that a slow
// upload does not hold a slot. A body that ends within the bound gets a known length and is held in memory. The error
// is always a *hemlockcall.Refusal.
func ReadAhead(request *hemlockcall.Request) (*hemlockcall.Request, error) {
	if request.Body == nil {
		return request, nil
	}
	start, err := io.ReadAll(io.LimitReader(request.Body, ReadAheadSize+1))
	if err != nil {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, err.Error())
	}
	changed := *request
	if len(start) > ReadAheadSize {
		changed.Body = io.MultiReader(bytes.NewReader(start), request.Body)
		return &changed, nil
	}
	if request.Length >= 0 && request.Length != int64(len(start)) {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonIncomplete, "the body has another length than declared")
	}
	changed.Body, changed.Length = bytes.NewReader(start), int64(len(start))
	return &changed, nil
}

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

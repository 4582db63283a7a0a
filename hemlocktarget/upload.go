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

// upload is the body of a running request. A read that waits longer than the stall time aborts the run.
type upload struct {
	body   io.Reader
	stall  time.Duration
	cancel context.CancelCauseFunc
}

func newUpload(body io.Reader, stall time.Duration, cancel context.CancelCauseFunc) io.ReadCloser {
	return &upload{body: body, stall: stall, cancel: cancel}
}

// Read implements io.Reader.
func (u *upload) Read(buffer []byte) (int, error) {
	timer := time.AfterFunc(u.stall, func() { u.cancel(errUpload) })
	count, err := u.body.Read(buffer)
	timer.Stop()
	if err != nil && err != io.EOF {
		u.cancel(errUpload)
		return count, hemlockerror.Wrap("read upload", KindUpload, err)
	}
	return count, err
}

// Close implements io.Closer. The body belongs to the caller and stays open.
func (u *upload) Close() error {
	return nil
}

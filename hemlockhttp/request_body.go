package hemlockhttp

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
)

// RequestBody is the body of a request. A blocked Read of a body does not see the end of its request's context, and the
// server cannot write the answer before the Read returns; Interrupt ends it.
type RequestBody struct {
	body    io.Reader
	control *http.ResponseController
	ended   atomic.Bool
}

// WrapRequestBody puts an Upload in the place of the request's body and returns it. A request without a body is left as it
// is.
func WrapRequestBody(w http.ResponseWriter, request *hemlockcall.Request) *RequestBody {
	upload := &RequestBody{body: request.Body, control: http.NewResponseController(w)}
	if request.Body == nil {
		upload.ended.Store(true)
		return upload
	}
	request.Body = upload
	return upload
}

// Read implements io.Reader.
func (u *RequestBody) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	if err != nil {
		u.ended.Store(true)
	}
	return n, err
}

// Interrupt ends a Read that waits for the sender; the rest of the body is given up. It has no effect on a body that
// has been read to its end.
func (u *RequestBody) Interrupt() {
	if !u.ended.Load() {
		_ = u.control.SetReadDeadline(time.Now())
	}
}

package hemlockhttp

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
)

// RequestBody is a request body whose Read can be interrupted. A Read that waits for the sender does not return when
// the request's context ends, and the server cannot write the response before the Read has returned.
type RequestBody struct {
	body       io.Reader
	controller *http.ResponseController
	ended      atomic.Bool // Read has returned io.EOF or another error
}

// WrapRequestBody replaces the request's body by a RequestBody and returns it. A request without a body is not changed.
func WrapRequestBody(w http.ResponseWriter, request *hemlockcall.Request) *RequestBody {
	wrapped := &RequestBody{body: request.Body, controller: http.NewResponseController(w)}
	if request.Body == nil {
		wrapped.ended.Store(true)
		return wrapped
	}
	request.Body = wrapped
	return wrapped
}

// Read implements io.Reader.
func (b *RequestBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// Interrupt makes a Read that waits for the sender fail; the rest of the body cannot be read any more. It has no effect
// after Read has returned io.EOF or another error.
func (b *RequestBody) Interrupt() {
	if !b.ended.Load() {
		_ = b.controller.SetReadDeadline(time.Now())
	}
}

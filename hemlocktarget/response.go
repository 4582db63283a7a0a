package hemlocktarget

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmemory"
)

// responseBody is the body of the target's response. Its errors are refusals with an unknown outcome.
type responseBody struct {
	body      io.ReadCloser
	execution *execution
}

// Read implements io.Reader.
func (b *responseBody) Read(buffer []byte) (int, error) {
	count, err := b.body.Read(buffer)
	if err == nil || err == io.EOF {
		return count, err
	}
	return count, hemlockcall.RefuseUnknown(b.execution.reasonOr(hemlockcall.ReasonIncomplete), err.Error())
}

// Close implements io.Closer. It cancels the request if the body has not been read to its end.
func (b *responseBody) Close() error {
	b.execution.cancel(nil)
	return b.body.Close()
}

// bufferResponse reads the body of a response into memory if it has at most limit bytes. A larger one is streamed. The body counts towards
// the memory budget until it has been read. The error is a refusal.
func bufferResponse(response *hemlockcall.Response, body io.ReadCloser, limit int64, memory *hemlockmemory.Budget) error {
	if response.Length > limit {
		response.Body = body
		return nil
	}
	reservation, err := memory.Reserve(max(response.Length, 0))
	defer reservation.Release()
	if err != nil {
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, err.Error())
	}
	source := io.LimitReader(body, limit+1)
	if response.Length < 0 {
		source = reservation.Reader(source)
	}
	var buffered bytes.Buffer
	if response.Length > 0 {
		buffered.Grow(int(response.Length))
	}
	count, err := io.Copy(&buffered, source)
	if errors.Is(err, hemlockmemory.ErrFull) {
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, err.Error())
	}
	if err != nil {
		return hemlockcall.AsRefusal(err)
	}
	if count > limit {
		response.Body = &partlyReadBody{Reader: io.MultiReader(&buffered, body), Closer: body}
		return nil
	}
	_ = body.Close()
	response.Length = count
	response.Body = io.NopCloser(&buffered)
	return nil
}

// partlyReadBody is a body whose first bytes have been read into memory already.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

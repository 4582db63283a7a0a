package hemlocktarget

import (
	"bytes"
	"io"

	"hemlockhollow/hemlockcall"
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

// bufferResponse reads the body of a response into memory if it has at most limit bytes. A larger one is streamed. The error
// is a refusal.
func bufferResponse(response *hemlockcall.Response, body io.ReadCloser, limit int64) error {
	if response.Length > limit {
		response.Body = body
		return nil
	}
	var buffered bytes.Buffer
	if response.Length > 0 {
		buffered.Grow(int(response.Length))
	}
	count, err := io.Copy(&buffered, io.LimitReader(body, limit+1))
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

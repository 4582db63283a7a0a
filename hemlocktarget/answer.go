package hemlocktarget

import (
	"bytes"
	"io"

	"hemlockhollow/hemlockcall"
)

// answerBody is the body of the target's answer; its errors are refusals of unknown outcome.
type answerBody struct {
	body io.ReadCloser
	run  *run
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	count, err := b.body.Read(buffer)
	if err == nil || err == io.EOF {
		return count, err
	}
	return count, hemlockcall.RefuseUnknown(b.run.reason(hemlockcall.ReasonIncomplete), err.Error())
}

// Close implements io.Closer. Before the end of the body it cancels the run.
func (b *answerBody) Close() error {
	b.run.cancel(nil)
	return b.body.Close()
}

// withhold reads an answer of at most maximum bytes to its end. A larger one keeps streaming.
func withhold(response *hemlockcall.Response, body io.ReadCloser, maximum int64) error {
	if response.Length > maximum {
		response.Body = body
		return nil
	}
	var start bytes.Buffer
	if response.Length > 0 {
		start.Grow(int(response.Length))
	}
	count, err := io.Copy(&start, io.LimitReader(body, maximum+1))
	if err != nil {
		return hemlockcall.AsRefusal(err)
	}
	if count > maximum {
		response.Body = &continued{Reader: io.MultiReader(&start, body), Closer: body}
		return nil
	}
	_ = body.Close()
	response.Length = count
	response.Body = io.NopCloser(&start)
	return nil
}

// continued is a body whose start has been read already.
type continued struct {
	io.Reader
	io.Closer
}

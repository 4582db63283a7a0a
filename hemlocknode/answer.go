package hemlocknode

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
)

// isBounded reports whether a response is withheld until it is whole.
func isBounded(response *hemlockcall.Response) bool {
	return response.Length >= 0 && response.Length <= hemlockhttp.MaxBufferedResponse
}

// collect reads a bounded response to its end, so that a break becomes an error before anything is passed on.
func collect(response *hemlockcall.Response) (*hemlockcall.Response, error) {
	if !isBounded(response) {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, 0, response.Length+bytes.MinRead)
	buffer := bytes.NewBuffer(body)
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, "response broke off: "+err.Error())
	}
	feedback := response.Feedback()
	return &hemlockcall.Response{
		Status:   response.Status,
		Header:   response.Header,
		Body:     io.NopCloser(bytes.NewReader(buffer.Bytes())),
		Length:   int64(buffer.Len()),
		Feedback: func() hemlockcall.Feedback { return feedback },
	}, nil
}

// boundAnswer refuses a response that is larger than its class allows. One of unknown length is cut off at the bound,
// which its reader sees as a break.
func boundAnswer(response *hemlockcall.Response, limit int64) (*hemlockcall.Response, error) {
	if response.Length > limit {
		_ = response.Body.Close()
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTooLarge, errAnswerTooLarge.Error())
	}
	if response.Length < 0 {
		response.Body = &boundedBody{ReadCloser: response.Body, left: limit}
	}
	return response, nil
}

var errAnswerTooLarge = errors.New("response is larger than its class allows")

type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errAnswerTooLarge
	}
	return n, err
}

// observedBody calls done once: with true when the body was read to its verified end, with false when it broke off or
// was closed early.
type observedBody struct {
	io.ReadCloser
	once sync.Once
	done func(complete bool)
}

func observe(body io.ReadCloser, done func(complete bool)) io.ReadCloser {
	return &observedBody{ReadCloser: body, done: done}
}

// Read implements io.Reader.
func (o *observedBody) Read(p []byte) (int, error) {
	n, err := o.ReadCloser.Read(p)
	if err != nil {
		o.once.Do(func() { o.done(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer.
func (o *observedBody) Close() error {
	err := o.ReadCloser.Close()
	o.once.Do(func() { o.done(false) })
	return err
}

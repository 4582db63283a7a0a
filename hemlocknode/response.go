package hemlocknode

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
)

// isBuffered reports whether a response is buffered and passed on only when it is complete. Other responses are streamed.
func isBuffered(response *hemlockcall.Response) bool {
	return response.Length >= 0 && response.Length <= hemlockhttp.MaxBufferedResponse
}

// bufferResponse reads a response that is to be buffered to its end, so that a truncated one becomes an error before any
// part of it is passed on. Streamed responses are returned unchanged.
func bufferResponse(response *hemlockcall.Response) (*hemlockcall.Response, error) {
	if !isBuffered(response) {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, 0, response.Length+bytes.MinRead)
	buffer := bytes.NewBuffer(body)
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, "response ended early: "+err.Error())
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

// limitResponse refuses a response that is larger than its class allows. A response of unknown length fails with an error
// when its reader gets past the limit.
func limitResponse(response *hemlockcall.Response, limit int64) (*hemlockcall.Response, error) {
	if response.Length > limit {
		_ = response.Body.Close()
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTooLarge, errResponseTooLarge.Error())
	}
	if response.Length < 0 {
		response.Body = &limitedBody{ReadCloser: response.Body, remaining: limit}
	}
	return response, nil
}

var errResponseTooLarge = errors.New("response is larger than its class allows")

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errResponseTooLarge
	}
	return n, err
}

// observedBody calls onEnd once: with true when the body was read to its verified end (io.EOF), with false when a read failed
// or the body was closed early.
type observedBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(complete bool)
}

func observeEnd(body io.ReadCloser, onEnd func(complete bool)) io.ReadCloser {
	return &observedBody{ReadCloser: body, onEnd: onEnd}
}

// Read implements io.Reader.
func (o *observedBody) Read(p []byte) (int, error) {
	n, err := o.ReadCloser.Read(p)
	if err != nil {
		o.once.Do(func() { o.onEnd(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer.
func (o *observedBody) Close() error {
	err := o.ReadCloser.Close()
	o.once.Do(func() { o.onEnd(false) })
	return err
}

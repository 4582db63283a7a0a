package hemlocktarget

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
)

// maxRetryAfter limits the Retry-After of a target.
const maxRetryAfter = time.Minute

// retryHeaders are the headers that make http.Transport retry a request by itself, because it then treats the request as
// idempotent. They are sent in lower case: header names are case-insensitive for the target, but the transport looks up only
// the canonical form.
var retryHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// Invoke implements hemlockcall.Invoker. It sends the request at most once and never retries it.
func (c *Client) Invoke(ctx context.Context, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	address, transport := c.addressAndTransport(request.AtMostOnce)
	if address == "" {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "the target has not announced itself")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e := &execution{client: c, method: request.Method, ctx: ctx, cancel: cancel}
	httpRequest, err := e.newRequest(request, address)
	if err != nil {
		cancel(nil)
		return nil, hemlockcall.Refuse(hemlockcall.ReasonInvalid, err.Error())
	}
	httpResponse, err := transport.RoundTrip(httpRequest)
	if err != nil {
		defer cancel(nil)
		return nil, e.refusalOf(err)
	}
	return e.readResponse(request, httpResponse)
}

// execution is the state of one request that is sent to the target.
type execution struct {
	client *Client
	method string
	ctx    context.Context
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	// connection carries the request; nil until the transport has chosen one.
	connection *targetConnection
	// writeCount is the write count of the connection before the request was written.
	writeCount uint64
}

func (e *execution) newRequest(request *hemlockcall.Request, address string) (*http.Request, error) {
	requestURL, err := url.ParseRequestURI(request.Path)
	if err != nil {
		return nil, err
	}
	requestURL.Scheme, requestURL.Host = "http", address
	header := hemlockhttp.EndToEnd(request.Header)
	header.Del("Content-Length")
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = []string{""}
	}
	for name, lowerCase := range retryHeaders {
		if values, set := header[name]; set {
			delete(header, name)
			header[lowerCase] = values
		}
	}
	injectTrace(header, request.Context)
	traced := httptrace.WithClientTrace(e.ctx, &httptrace.ClientTrace{GotConn: e.gotConnection})
	httpRequest := (&http.Request{
		Method: request.Method, URL: requestURL, Host: address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(traced)
	e.setBody(httpRequest, request)
	return httpRequest, nil
}

// setBody sets the body so that http.Transport never retries the request. It never sets GetBody. The transport also retries a
// request without a body if its method is idempotent. Such a request therefore gets a body that reads as empty.
func (e *execution) setBody(httpRequest *http.Request, request *hemlockcall.Request) {
	switch {
	case request.Body != nil && request.Length != 0:
		httpRequest.Body = newRequestBody(e.ctx, e.cancel, request.Body, e.client.settings.stallTimeout)
		httpRequest.ContentLength = max(request.Length, -1)
	case request.Method == http.MethodGet, request.Method == http.MethodHead,
		request.Method == http.MethodOptions, request.Method == http.MethodTrace:
		httpRequest.Body = emptyBody{}
	}
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }

func injectTrace(header http.Header, call hemlockcall.Context) {
	header.Del("Traceparent")
	header.Del("Tracestate")
	if call.Trace.IsZero() {
		return
	}
	span := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID(call.Trace), SpanID: trace.SpanID(call.Span), TraceFlags: trace.FlagsSampled,
	})
	ctx := trace.ContextWithSpanContext(context.Background(), span)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
}

// gotConnection records the connection that the transport has chosen, and its write count before the request is written.
func (e *execution) gotConnection(info httptrace.GotConnInfo) {
	connection, ok := info.Conn.(*targetConnection)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ok {
		connection.responses.Expect(e.method)
		e.connection, e.writeCount = connection, connection.WriteCount()
	}
}

// closeIfUnwritten reports whether no byte of the request was written. If so, it also closes the connection of the request,
// if there is one, so that none will be written later.
func (e *execution) closeIfUnwritten() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.connection == nil || e.connection.CloseIfUnwritten(e.writeCount)
}

// refusalOf returns the refusal of a request that got no response, with what is known about its outcome.
func (e *execution) refusalOf(err error) *hemlockcall.Refusal {
	reason := e.reasonOr(hemlockcall.ReasonConnection)
	if e.closeIfUnwritten() {
		return hemlockcall.Refuse(reason, err.Error())
	}
	return hemlockcall.RefuseUnknown(reason, err.Error())
}

// reasonOr returns the reason why the context of the request has ended, or the fallback if it has not ended.
func (e *execution) reasonOr(fallback hemlockcall.Reason) hemlockcall.Reason {
	switch {
	case e.ctx.Err() == nil:
		return fallback
	case errors.Is(context.Cause(e.ctx), errRequestBody):
		return hemlockcall.ReasonIncomplete
	case errors.Is(e.ctx.Err(), context.DeadlineExceeded):
		return hemlockcall.ReasonDeadline
	}
	return hemlockcall.ReasonCancelled
}

func (e *execution) readResponse(request *hemlockcall.Request, httpResponse *http.Response) (*hemlockcall.Response, error) {
	if e.client.settings.isNotRun(httpResponse.StatusCode) {
		return nil, e.refusalOfTarget(httpResponse)
	}
	length := httpResponse.ContentLength
	if request.Method == http.MethodHead || httpResponse.Body == http.NoBody {
		length = 0
	}
	if httpResponse.StatusCode < http.StatusOK || (length < 0 && len(httpResponse.TransferEncoding) == 0) {
		// An interim status is not a response. Without a length or chunked encoding, a truncated body would look complete.
		_ = httpResponse.Body.Close()
		e.cancel(nil)
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, "the target sent an interim status or a response without framing")
	}
	response := &hemlockcall.Response{
		Status:   httpResponse.StatusCode,
		Header:   hemlockhttp.EndToEnd(httpResponse.Header),
		Length:   length,
		Feedback: func() hemlockcall.Feedback { return hemlockcall.Feedback{} },
	}
	body := &responseBody{body: httpResponse.Body, execution: e}
	if err := bufferResponse(response, body, e.client.settings.maxBuffered(request), e.client.bodyMemory); err != nil {
		_ = body.Close()
		return nil, err
	}
	return response, nil
}

// refusalOfTarget returns the refusal for a response whose status means that the target did not run the request. A response that is not
// complete says nothing, and one with a very long body is not read to its end.
func (e *execution) refusalOfTarget(httpResponse *http.Response) *hemlockcall.Refusal {
	body := &responseBody{body: httpResponse.Body, execution: e}
	defer func() { _ = body.Close() }()
	length, err := io.Copy(io.Discard, io.LimitReader(body, hemlockhttp.MaxBufferedResponse+1))
	if err != nil {
		return hemlockcall.AsRefusal(err)
	}
	if length > hemlockhttp.MaxBufferedResponse {
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonTooLarge, "a refusal of the target has a body that is too long to be checked")
	}
	refusal := hemlockcall.Refuse(hemlockcall.ReasonOverload, "the target responded with status "+strconv.Itoa(httpResponse.StatusCode))
	seconds, err := strconv.Atoi(httpResponse.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return refusal
	}
	// The inner limit prevents an overflow of the multiplication.
	return refusal.WithRetryAfter(min(time.Duration(min(seconds, 3600))*time.Second, maxRetryAfter))
}

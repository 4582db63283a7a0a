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
	"hemlockhollow/hemlocknet"
)

// maximumRetryAfter bounds the advice of a target.
const maximumRetryAfter = time.Minute

// replayHints are the headers that http.Transport takes as a licence to send a request twice. They are sent in lower
// case, which is the same header on the wire but not the key that the transport looks up.
var replayHints = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// Invoke implements hemlockcall.Invoker. It sends the request at most once.
func (c *Client) Invoke(ctx context.Context, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	address, transport := c.current()
	if address == "" {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "the target has not announced itself")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r := &run{client: c, ctx: ctx, cancel: cancel}
	outgoing, err := r.request(request, address)
	if err != nil {
		cancel(nil)
		return nil, hemlockcall.Refuse(hemlockcall.ReasonInvalid, err.Error())
	}
	answer, err := transport.RoundTrip(outgoing)
	if err != nil {
		defer cancel(nil)
		return nil, r.failed(err)
	}
	return r.answered(request, answer)
}

// run is one request at the target.
type run struct {
	client *Client
	ctx    context.Context
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	// connection is the one that carries the request; nil until there is one.
	connection *hemlocknet.Conn
	mark       uint64
}

func (r *run) request(request *hemlockcall.Request, address string) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", address
	header := hemlockhttp.EndToEnd(request.Header)
	header.Del("Content-Length")
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = []string{""}
	}
	for name, hidden := range replayHints {
		if values, set := header[name]; set {
			delete(header, name)
			header[hidden] = values
		}
	}
	injectTrace(header, request.Context)
	traced := httptrace.WithClientTrace(r.ctx, &httptrace.ClientTrace{GotConn: r.gotConnection})
	outgoing := (&http.Request{
		Method: request.Method, URL: target, Host: address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(traced)
	r.setBody(outgoing, request)
	return outgoing, nil
}

// setBody never sets GetBody. A request of a method that the transport would repeat gets a body that reads as empty,
// because a request without body counts as replayable.
func (r *run) setBody(outgoing *http.Request, request *hemlockcall.Request) {
	switch {
	case request.Body != nil && request.Length != 0:
		outgoing.Body = newUpload(r.ctx, r.cancel, request.Body, r.client.settings.stall)
		outgoing.ContentLength = max(request.Length, -1)
	case request.Method == http.MethodGet, request.Method == http.MethodHead,
		request.Method == http.MethodOptions, request.Method == http.MethodTrace:
		outgoing.Body = emptyBody{}
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

func (r *run) gotConnection(info httptrace.GotConnInfo) {
	connection, ok := info.Conn.(*hemlocknet.Conn)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ok {
		r.connection, r.mark = connection, connection.WriteCount()
	}
}

// unwritten reports whether no byte of the request left, and makes sure that none will.
func (r *run) unwritten() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.connection == nil || r.connection.CloseIfUnwritten(r.mark)
}

// failed says what is known about a request without answer.
func (r *run) failed(err error) *hemlockcall.Refusal {
	reason := r.reason(hemlockcall.ReasonConnection)
	if r.unwritten() {
		return hemlockcall.Refuse(reason, err.Error())
	}
	return hemlockcall.RefuseUnknown(reason, err.Error())
}

func (r *run) reason(other hemlockcall.Reason) hemlockcall.Reason {
	switch {
	case r.ctx.Err() == nil:
		return other
	case errors.Is(context.Cause(r.ctx), errUpload):
		return hemlockcall.ReasonIncomplete
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return hemlockcall.ReasonDeadline
	}
	return hemlockcall.ReasonCancelled
}

func (r *run) answered(request *hemlockcall.Request, answer *http.Response) (*hemlockcall.Response, error) {
	if r.client.settings.notRun(answer.StatusCode) {
		return nil, r.declined(answer)
	}
	length := answer.ContentLength
	if request.Method == http.MethodHead || answer.Body == http.NoBody {
		length = 0
	}
	if answer.StatusCode < http.StatusOK || (length < 0 && len(answer.TransferEncoding) == 0) {
		// Without a length, a body that is cut off looks complete.
		_ = answer.Body.Close()
		r.cancel(nil)
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, "response without framing from the target")
	}
	response := &hemlockcall.Response{
		Status:   answer.StatusCode,
		Header:   hemlockhttp.EndToEnd(answer.Header),
		Length:   length,
		Feedback: func() hemlockcall.Feedback { return hemlockcall.Feedback{} },
	}
	body := &answerBody{body: answer.Body, run: r}
	if err := withhold(response, body, r.client.settings.maximumAnswer(request)); err != nil {
		_ = body.Close()
		return nil, err
	}
	return response, nil
}

// declined turns a status that means "not run" into a refusal.
func (r *run) declined(answer *http.Response) *hemlockcall.Refusal {
	// A short body is read so that the connection can be used again.
	_, _ = io.CopyN(io.Discard, answer.Body, 4<<10)
	_ = answer.Body.Close()
	r.cancel(nil)
	refusal := hemlockcall.Refuse(hemlockcall.ReasonOverload, "the target answered "+strconv.Itoa(answer.StatusCode))
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return refusal
	}
	return refusal.WithRetryAfter(min(time.Duration(min(seconds, 3600))*time.Second, maximumRetryAfter))
}

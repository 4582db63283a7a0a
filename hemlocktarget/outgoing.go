package hemlocktarget

import (
	"context"
	"io"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
)

// HeaderIdempotencyKey carries the key of a request that may not run twice.
const HeaderIdempotencyKey = "Idempotency-Key"

// OutgoingCall is a call that the local target makes.
type OutgoingCall struct {
	// Trace and Span come from traceparent; both are zero without a valid one.
	Trace hemlockcall.TraceID
	Span  hemlockcall.SpanID
	// Service, Method, Path, Header, Body and Length are as in hemlockcall.Request.
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    io.Reader
	Length  int64
	// IdempotencyKey is the Idempotency-Key, or empty.
	IdempotencyKey string
}

// OutgoingHandler carries out a call of the local target; the error is a *hemlockcall.Refusal.
type OutgoingHandler func(ctx context.Context, call OutgoingCall) (*hemlockcall.Response, error)

func readOutgoing(r *http.Request) (OutgoingCall, error) {
	request, err := hemlockhttp.ReadRequest(r)
	if err != nil {
		return OutgoingCall{}, err
	}
	outgoing := OutgoingCall{
		Service:        request.Service,
		Method:         request.Method,
		Path:           request.Path,
		Header:         request.Header,
		Body:           request.Body,
		Length:         request.Length,
		IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(r.Header))
	if span := trace.SpanContextFromContext(ctx); span.IsValid() {
		outgoing.Trace = hemlockcall.TraceID(span.TraceID())
		outgoing.Span = hemlockcall.SpanID(span.SpanID())
	}
	return outgoing, nil
}

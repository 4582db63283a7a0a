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

// HeaderIdempotencyKey is the header with the idempotency key of an at-most-once request.
const HeaderIdempotencyKey = "Idempotency-Key"

// OutgoingCall is a call that the local target makes.
type OutgoingCall struct {
	// Trace and Span come from the Traceparent header; both are zero if it is missing or invalid.
	Trace hemlockcall.TraceID
	Span  hemlockcall.SpanID
	// Service, Method, Path, Header, Body and Length are as in hemlockcall.Request.
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    io.Reader
	Length  int64
	// IdempotencyKey is the value of the Idempotency-Key header, or empty.
	IdempotencyKey string
}

// OutgoingHandler runs a call of the local target; its error is a *hemlockcall.Refusal.
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

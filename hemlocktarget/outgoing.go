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

// HeaderKey carries the key of a request that may not run twice.
const HeaderKey = "Idempotency-Key"

// Outgoing is a call that the local target makes.
type Outgoing struct {
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
	// Key is the Idempotency-Key, or empty.
	Key string
}

// OutgoingHandler carries out a call of the local target; the error is a *hemlockcall.Refusal.
type OutgoingHandler func(ctx context.Context, call Outgoing) (*hemlockcall.Response, error)

func readOutgoing(r *http.Request) (Outgoing, error) {
	request, err := hemlockhttp.ReadRequest(r)
	if err != nil {
		return Outgoing{}, err
	}
	outgoing := Outgoing{
		Service: request.Service,
		Method:  request.Method,
		Path:    request.Path,
		Header:  request.Header,
		Body:    request.Body,
		Length:  request.Length,
		Key:     request.Header.Get(HeaderKey),
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(r.Header))
	if span := trace.SpanContextFromContext(ctx); span.IsValid() {
		outgoing.Trace = hemlockcall.TraceID(span.TraceID())
		outgoing.Span = hemlockcall.SpanID(span.SpanID())
	}
	return outgoing, nil
}

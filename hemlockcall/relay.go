package hemlockcall

import (
	"context"
	"time"
)

// HeaderLines are the end-to-end headers of a message as HTTP/1.1 writes them, each line with its end. Kept as one text,
// they cost one allocation on each host of the way.
type HeaderLines string

// WithLine returns the lines with one more behind them.
func (h HeaderLines) WithLine(name, value string) HeaderLines {
	return h + HeaderLines(name+": "+value+"\r\n")
}

// RelayRequest is a call with its whole body, as it travels from the entry to the node beside the target.
type RelayRequest struct {
	// ID identifies the attempt of the client; it is never empty.
	ID string
	// Service is the called service.
	Service string
	// CallingService is the service that runs on the host where the call began.
	CallingService string
	// Method, Host and Path are passed on unchanged; Path holds the query.
	Method, Host, Path string
	// Header holds the end-to-end headers.
	Header HeaderLines
	// Body is the whole request body.
	Body []byte
	// Remaining is the time left at the moment at which the call is handed over.
	Remaining time.Duration
	// LatencyObjective is the latency within which an answer is worth most; 0 means unknown.
	LatencyObjective time.Duration
	// Priority is the priority of the class.
	Priority Priority
	// Class tells kinds of calls apart whose costs differ.
	Class string
	// Depth is 0 for a client's call and above it for a call that a target makes.
	Depth uint8
	// Idempotent calls may run more than once.
	Idempotent bool
	// Fingerprint identifies calls with the same content.
	Fingerprint uint64
}

// WithRemaining returns a copy with another remaining time.
func (r *RelayRequest) WithRemaining(remaining time.Duration) *RelayRequest {
	changed := *r
	changed.Remaining = remaining
	return &changed
}

// WithService returns a copy for another service.
func (r *RelayRequest) WithService(service string) *RelayRequest {
	changed := *r
	changed.Service = service
	return &changed
}

// RelayResponse is the whole answer of a target.
type RelayResponse struct {
	// Status is the status of the target.
	Status int
	// Header holds the end-to-end headers.
	Header HeaderLines
	// Body is complete and checked.
	Body []byte
	// Feedback is what the node beside the target reports.
	Feedback Feedback
	// ServiceTime is the time that the target took.
	ServiceTime time.Duration
	// Peer is the node beside the target, as the entry knows it; it does not travel.
	Peer string
}

// Relayer carries a call out or passes it on. An error is a Refusal.
type Relayer interface {
	Relay(ctx context.Context, call *RelayRequest) (*RelayResponse, error)
}

// RelayerFunc is a function that is a Relayer.
type RelayerFunc func(ctx context.Context, call *RelayRequest) (*RelayResponse, error)

// Relay implements Relayer.
func (f RelayerFunc) Relay(ctx context.Context, call *RelayRequest) (*RelayResponse, error) {
	return f(ctx, call)
}

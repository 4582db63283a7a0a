package hemlockcall

import (
	"context"
	"time"
)

// HeaderLines are the end-to-end headers of a message as HTTP/1.1 writes them, each line with its end. Kept as one text,
// they cost one allocation on each host of the way.
type HeaderLines string

// With returns the lines with one more behind them.
func (h HeaderLines) With(name, value string) HeaderLines {
	return h + HeaderLines(name+": "+value+"\r\n")
}

// Relay is a call with its whole body, as it travels from the entry to the node beside the target.
type Relay struct {
	// ID identifies the attempt of the client; it is never empty.
	ID string
	// Service is the called service.
	Service string
	// Origin is the service that runs on the host where the call began.
	Origin string
	// Method, Host and Path are passed on unchanged; Path holds the query.
	Method, Host, Path string
	// Header holds the end-to-end headers.
	Header HeaderLines
	// Body is the whole request body.
	Body []byte
	// Remaining is the time left at the moment at which the call is handed over.
	Remaining time.Duration
	// Objective is the latency within which an answer is worth most; 0 means unknown.
	Objective time.Duration
	// Priority is the priority of the class.
	Priority Priority
	// Class tells kinds of calls apart whose costs differ.
	Class string
	// Depth is 0 for a client's call and above it for a call that a target makes.
	Depth uint8
	// Repeatable calls may run more than once.
	Repeatable bool
	// Fingerprint identifies calls with the same content.
	Fingerprint uint64
}

// WithRemaining returns a copy with another remaining time.
func (r *Relay) WithRemaining(remaining time.Duration) *Relay {
	changed := *r
	changed.Remaining = remaining
	return &changed
}

// WithService returns a copy for another service.
func (r *Relay) WithService(service string) *Relay {
	changed := *r
	changed.Service = service
	return &changed
}

// RelayAnswer is the whole answer of a target.
type RelayAnswer struct {
	// Status is the status of the target.
	Status int
	// Header holds the end-to-end headers.
	Header HeaderLines
	// Body is complete and checked.
	Body []byte
	// Feedback is what the node beside the target reports.
	Feedback Feedback
	// Service is the time that the target took.
	Service time.Duration
	// Peer is the node beside the target, as the entry knows it; it does not travel.
	Peer string
}

// Relayer carries a call out or passes it on. An error is a Refusal.
type Relayer interface {
	Relay(ctx context.Context, call *Relay) (*RelayAnswer, error)
}

// RelayerFunc is a function that is a Relayer.
type RelayerFunc func(ctx context.Context, call *Relay) (*RelayAnswer, error)

// Relay implements Relayer.
func (f RelayerFunc) Relay(ctx context.Context, call *Relay) (*RelayAnswer, error) {
	return f(ctx, call)
}

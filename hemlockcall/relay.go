package hemlockcall

import (
	"context"
	"time"
)

// HeaderLines are the end-to-end headers of a message in HTTP/1.1 syntax, each line with its CRLF. As a single string
// they cost one allocation on each host that the message passes.
type HeaderLines string

// WithLine returns the headers with one more appended.
func (h HeaderLines) WithLine(name, value string) HeaderLines {
	return h + HeaderLines(name+": "+value+"\r\n")
}

// RelayRequest is a call with its complete body, as the entry node sends it to the node beside the target.
type RelayRequest struct {
	// ID is the caller's identifier of its attempt; it is never empty.
	ID string
	// Service is the called service.
	Service string
	// CallingService is the service that runs on the host of the entry node; calls that arrive there count as its calls.
	CallingService string
	// Method, Host and Path are passed on unchanged; Path includes the query.
	Method, Host, Path string
	// Header holds the end-to-end headers.
	Header HeaderLines
	// Body is the complete request body.
	Body []byte
	// Remaining is the time left for the call when it is passed on.
	Remaining time.Duration
	// LatencyObjective is the latency up to which a response has its full value for the caller; 0 means unknown.
	LatencyObjective time.Duration
	// Priority is the priority of the route that the call matches.
	Priority Priority
	// Class is the name of the route; the service time of a call depends on it.
	Class string
	// ClassAddedIn is the version of the configuration that added the route at this node, or 0 if the node has had it since its first one.
	// It is for logs and metrics, and is not sent on the wire.
	ClassAddedIn uint64
	// Idempotent means that the call may run more than once.
	Idempotent bool
	// Fingerprint is equal for calls with the same content from the same service.
	Fingerprint uint64
	// Organisation is the name of the customer that sent the call, or whose call's run makes this nested call; empty without
	// organisations, and for nested calls whose parent is unknown.
	Organisation string
	// OrganisationRank orders organisations, before the priority of their calls; 0 is the most important. A call without an
	// organisation has hemlockorganisation.DefaultRank.
	OrganisationRank uint8
	// TargetReport is what the entry node knows of the target that the call is sent to; without content in most calls.
	TargetReport TargetReport
	// Withdrawn is closed once the entry node has withdrawn the call: it must no longer be passed to the target. A call that was passed
	// on before stays in flight. Nil means that the call is never withdrawn. It is not sent on the wire.
	Withdrawn <-chan struct{}
	// Connection identifies the connection of the peer that sent the call; 0 for calls of this node. It is not sent on the wire.
	Connection uint64
}

// IsWithdrawn reports whether the call must no longer be passed to a target.
func (r *RelayRequest) IsWithdrawn() bool {
	select {
	case <-r.Withdrawn:
		return true
	default:
		return false
	}
}

// RefuseWithdrawn returns the refusal of a call that was withdrawn before it was passed to a target.
func RefuseWithdrawn() *Refusal {
	return Refuse(ReasonCancelled, "the entry node is stopping, and the call was not passed to a target")
}

// WithTargetReport returns a copy with what the entry node knows of the target.
func (r *RelayRequest) WithTargetReport(report TargetReport) *RelayRequest {
	changed := *r
	changed.TargetReport = report
	return &changed
}

// WithRemaining returns a copy with the given remaining time.
func (r *RelayRequest) WithRemaining(remaining time.Duration) *RelayRequest {
	changed := *r
	changed.Remaining = remaining
	return &changed
}

// WithWithdrawn returns a copy that is withdrawn when the channel is closed.
func (r *RelayRequest) WithWithdrawn(withdrawn <-chan struct{}) *RelayRequest {
	changed := *r
	changed.Withdrawn = withdrawn
	return &changed
}

// WithOrganisation returns a copy with the given organisation and its rank.
func (r *RelayRequest) WithOrganisation(name string, rank uint8) *RelayRequest {
	changed := *r
	changed.Organisation, changed.OrganisationRank = name, rank
	return &changed
}

// WithService returns a copy for another service.
func (r *RelayRequest) WithService(service string) *RelayRequest {
	changed := *r
	changed.Service = service
	return &changed
}

// RelayResponse is the complete response of a target.
type RelayResponse struct {
	// Status is the HTTP status of the target.
	Status int
	// Header holds the end-to-end headers.
	Header HeaderLines
	// Body is complete and verified.
	Body []byte
	// Feedback is what the node beside the target reports.
	Feedback Feedback
	// ServiceTime is the time that the target took to respond.
	ServiceTime time.Duration
	// Peer is the address of the node beside the target. The entry node sets it; it is not sent on the wire.
	Peer string
}

// Relayer runs a call or forwards it to another node. Its error is a *Refusal.
type Relayer interface {
	Relay(ctx context.Context, call *RelayRequest) (*RelayResponse, error)
}

// RelayerFunc is a function that implements Relayer.
type RelayerFunc func(ctx context.Context, call *RelayRequest) (*RelayResponse, error)

// Relay implements Relayer.
func (f RelayerFunc) Relay(ctx context.Context, call *RelayRequest) (*RelayResponse, error) {
	return f(ctx, call)
}

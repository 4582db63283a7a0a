package hemlockcall

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one call to a service.
type Request struct {
	// Context is passed along with the call; it is never read from the headers of a caller.
	Context Context
	// Service is the called service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path and query that the target receives; it starts with a slash.
	Path string
	// Header holds end-to-end headers only; hop-by-hop headers have been removed.
	Header http.Header
	// Body is the request body; nil means empty. It is read at most once.
	Body io.Reader
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// AtMostOnce forbids a retry unless the attempt before it was refused with the verdict not-run.
	AtMostOnce bool
	// Fingerprint is equal for requests with the same content. It is used to recognise suspected poison requests, which
	// were in flight when a target crashed, and the retries of callers.
	Fingerprint uint64
	// Withdrawn is closed once the entry node has withdrawn the request: it must no longer be passed to the target. A request that was
	// passed on before stays in flight. Nil means that the request is never withdrawn. It is not sent on the wire.
	Withdrawn <-chan struct{}
}

// IsWithdrawn reports whether the request must no longer be passed to a target.
func (r *Request) IsWithdrawn() bool {
	select {
	case <-r.Withdrawn:
		return true
	default:
		return false
	}
}

// ServiceLoad is a load report: what a node knows about the load of one service over all of its targets.
type ServiceLoad struct {
	Service string
	// Load is the moving average of the calls running or queued at a target, divided by its concurrency limit; above 1 when
	// calls are queued.
	Load float64
	// Age is the time since the load was last measured.
	Age time.Duration
	// Refused is the fraction of the calls of the service that fail after all attempts because its targets refuse them; 0 to 1.
	Refused float64
	// RefusedAge is the time since Refused was last measured. It differs from Age, because load and refusals are measured by different
	// nodes.
	RefusedAge time.Duration
}

// CallDemand is the demand of one run of a class on one service.
type CallDemand struct {
	Service string
	// Calls is the mean number of calls that a run makes there, with all nested ones; above 0.
	Calls float64
	// SlotTime is the mean time for which these calls hold slots of targets, all together; 0 means unknown. A slot is held while a run
	// waits for its nested calls.
	SlotTime time.Duration
}

// Feedback is what the called side reports at the end of a response or with a refusal.
type Feedback struct {
	// UnusedRetries is how many of the retries that were allocated to the call are unused; never more than were allocated.
	UnusedRetries int
	// MinPriority is the lowest priority that is admitted to the called target.
	MinPriority Priority
	// InFlight is the number of requests running or queued at the called target.
	InFlight int
	// Limit is the concurrency limit of the called target; 0 means unknown.
	Limit int
	// Loads are the load reports of the reporting node on other services, most of them downstream of the called one in
	// the call graph. The slice is not modified after it was set.
	Loads []ServiceLoad
	// Target is what the called node knows of its target's statements. It is without content unless the target states
	// something or the call had a report.
	Target TargetReport
	// Demands is what one run of the called class demands of other services; nil if it is unknown or was reported recently. The slice is
	// not modified after it was set.
	Demands []CallDemand
	// DemandRuns is the number of runs since the previous report of Demands to the same peer: the weight of this one; 0 without Demands.
	DemandRuns int
	// Outstanding is the expected work of the calls that are running or queued at the called target, at its usual speed; 0 means unknown.
	Outstanding time.Duration
}

// Response is the response to a Request.
type Response struct {
	// Status is the HTTP status of the target.
	Status int
	// Header holds end-to-end headers only.
	Header http.Header
	// Body must be closed. It returns io.EOF only after the complete body has been received and verified.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Feedback is valid only after Body has returned io.EOF; before that it may return the zero value. It is never nil.
	Feedback func() Feedback
}

// Invoker runs a call, for example at the local target or through a peer.
type Invoker interface {
	// Invoke returns a response or an error that is always a *Refusal.
	Invoke(ctx context.Context, request *Request) (*Response, error)
}

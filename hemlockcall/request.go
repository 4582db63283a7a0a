package hemlockcall

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one call to a service.
type Request struct {
	// Context travels with the call; it never comes from a caller's headers.
	Context Context
	// Service is the called service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path and query that the target gets; it starts with a slash.
	Path string
	// Header holds end-to-end headers only; hop-by-hop headers have been removed.
	Header http.Header
	// Body is the request body; nil means empty. It is read at most once.
	Body io.Reader
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// AtMostOnce forbids any second attempt unless the first was refused as not run.
	AtMostOnce bool
	// Fingerprint identifies requests with the same content, for crash suspects and repeat budgets.
	Fingerprint uint64
}

// ServiceLoad is what a node knows of one service as a whole.
type ServiceLoad struct {
	Service string
	// Load is the mean share of the limits of its targets that is taken; above 1 when calls wait.
	Load float64
	// Age is how old the news is.
	Age time.Duration
}

// Feedback is what the called side reports with the end of an answer or with a refusal.
type Feedback struct {
	// UnusedRetries is the unused rest of the retry share that the call brought; never more than the share.
	UnusedRetries int
	// MinPriority is the lowest priority that the called target still admits.
	MinPriority Priority
	// InFlight is the number of requests running or queued at the called target.
	InFlight int
	// Limit is the concurrency limit of the called target; 0 means unknown.
	Limit int
	// Loads are what the reporting node knows of other services; most lie below the called one in the graph. It is not
	// changed after it was set.
	Loads []ServiceLoad
}

// Response is the answer to a Request.
type Response struct {
	// Status is the HTTP status of the target.
	Status int
	// Header holds end-to-end headers only.
	Header http.Header
	// Body must be closed. It returns io.EOF only after the whole body has been received and checked.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Feedback is valid after Body has returned io.EOF; before that it returns the zero value. It is never nil.
	Feedback func() Feedback
}

// Invoker carries out a call: a target client, a peer client or the whole data path.
type Invoker interface {
	// Invoke returns a response or an error that is always a *Refusal.
	Invoke(ctx context.Context, request *Request) (*Response, error)
}

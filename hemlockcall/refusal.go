package hemlockcall

import (
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether a refused request may have run.
type Verdict uint8

const (
	// VerdictUnknown means that a target may have run the request.
	VerdictUnknown Verdict = iota
	// VerdictNotRun means that no byte of the request was written to a target, or that the target stated that it had not run
	// the request.
	VerdictNotRun
)

// String returns the name that is sent to callers.
func (v Verdict) String() string {
	if v == VerdictNotRun {
		return "not-run"
	}
	return "unknown"
}

// Reason says why a request was refused.
type Reason string

// The reasons for refusals.
const (
	// ReasonOverload means that the request was shed because of load.
	ReasonOverload Reason = "overload"
	// ReasonDeadline means that the deadline has expired, or that too little time is left to run the request.
	ReasonDeadline Reason = "deadline"
	// ReasonLeaving means that the target or the node beside it accepts no new requests, usually because it is stopping.
	ReasonLeaving Reason = "leaving"
	// ReasonUnavailable means that no target of the service is available, or that the chosen one cannot
	// accept the request, for example because it runs another service.
	ReasonUnavailable Reason = "unavailable"
	// ReasonConnection means that the connection to a target or to a peer failed.
	ReasonConnection Reason = "connection"
	// ReasonTarget means that the target gave no usable response, or no response in time.
	ReasonTarget Reason = "target"
	// ReasonCancelled means that the calling side cancelled the request.
	ReasonCancelled Reason = "cancelled"
	// ReasonSuspect marks a suspected poison request: its fingerprint was in flight when a target crashed.
	ReasonSuspect Reason = "suspect"
	// ReasonClaimed means that another attempt with the same idempotency key may have run.
	ReasonClaimed Reason = "claimed"
	// ReasonPlatform means that the idempotency key could not be claimed in the platform's store.
	ReasonPlatform Reason = "platform"
	// ReasonCallerRetries means that the retry budget of the caller is exhausted.
	ReasonCallerRetries Reason = "repeats"
	// ReasonInvalid means that the request breaks a rule, for example by a bad idempotency key or a call chain that is too
	// deep.
	ReasonInvalid Reason = "invalid"
	// ReasonNotFound means that no service or class matches the request.
	ReasonNotFound Reason = "not-found"
	// ReasonIncomplete means that the body of the request or of the response was truncated.
	ReasonIncomplete Reason = "incomplete"
	// ReasonTooLarge means that the body of the request or of the response exceeds its limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonConfiguration means that the node has no active configuration yet.
	ReasonConfiguration Reason = "configuration"
	// ReasonPanic means that the handling of the request panicked.
	ReasonPanic Reason = "fault"
)

// Refusal is the error of every call that has no response.
type Refusal struct {
	// Verdict is VerdictNotRun only if the side that refuses knows that the request has not run.
	Verdict Verdict
	// Reason is one of the Reason constants.
	Reason Reason
	// Detail is a short text for the person who reads the error; it may be empty.
	Detail string
	// RetryAfter is how long the caller should wait before it retries the request; 0 means no advice.
	RetryAfter time.Duration
	// Feedback is what the refusing side reports, including the unused retries of the call.
	Feedback Feedback
	// SentByNode marks a refusal that the called node sent itself, as opposed to a failure that the calling side observed:
	// only then is Feedback what that node reported.
	SentByNode bool
	// ReachedTarget marks a refusal by the target itself: the call arrived there, though it may not have run.
	ReachedTarget bool
	// Peer is the address of the node that the refused attempt was sent to. The entry node sets it; it is not sent on the
	// wire.
	Peer string
}

// Refuse returns a refusal with the verdict not-run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: VerdictNotRun, Reason: reason, Detail: detail}
}

// RefuseUnknown returns a refusal with an unknown outcome: the request may have run.
func RefuseUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: VerdictUnknown, Reason: reason, Detail: detail}
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	text := r.Verdict.String() + ": " + string(r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// WithFeedback returns a copy with the given feedback.
func (r *Refusal) WithFeedback(feedback Feedback) *Refusal {
	changed := *r
	changed.Feedback = feedback
	return &changed
}

// WithRetryAfter returns a copy with the time that the caller should wait before it retries.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// WithPeer returns a copy with the address of the node that the refused attempt was sent to.
func (r *Refusal) WithPeer(peer string) *Refusal {
	changed := *r
	changed.Peer = peer
	return &changed
}

// AsRefusal returns the refusal in the chain of err, which must not be nil. Any other error becomes a refusal with
// ReasonConnection and an unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return RefuseUnknown(ReasonConnection, err.Error())
}

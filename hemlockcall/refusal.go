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
	// VerdictNotRun means that no byte of the request was written to a target, or that the target declared it as not run.
	VerdictNotRun
)

// String returns the name that callers see.
func (v Verdict) String() string {
	if v == VerdictNotRun {
		return "not-run"
	}
	return "unknown"
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonOverload      Reason = "overload"
	ReasonDeadline      Reason = "deadline"
	ReasonLeaving       Reason = "leaving"
	ReasonUnavailable   Reason = "unavailable"
	ReasonConnection    Reason = "connection"
	ReasonTarget        Reason = "target"
	ReasonCancelled     Reason = "cancelled"
	ReasonSuspect       Reason = "suspect"
	ReasonClaimed       Reason = "claimed"
	ReasonPlatform      Reason = "platform"
	ReasonRepeats       Reason = "repeats"
	ReasonInvalid       Reason = "invalid"
	ReasonNotFound      Reason = "not-found"
	ReasonIncomplete    Reason = "incomplete"
	ReasonTooLarge      Reason = "too-large"
	ReasonConfiguration Reason = "configuration"
	// ReasonFault is a panic in the handling of the request.
	ReasonFault Reason = "fault"
)

// Refusal is the error of every call that has no answer.
type Refusal struct {
	// Verdict is NotRun only when the party that says so knows it.
	Verdict Verdict
	// Reason is one of the Reason constants.
	Reason Reason
	// Detail is a short text for the person who reads the error; it may be empty.
	Detail string
	// RetryAfter is how long the caller should wait before it sends the request again; 0 means no advice.
	RetryAfter time.Duration
	// Feedback is what the refusing side reports; Retries is the unused rest of the call's share.
	Feedback Feedback
	// SentByNode marks a refusal that the called node sent itself, so that the connection is in a known state.
	SentByNode bool
	// ReachedTarget marks a refusal of the target itself: the call arrived there, though it may not have run.
	ReachedTarget bool
	// Peer is the node that the refused attempt went to, as the entry knows it; it does not travel.
	Peer string
}

// Refuse returns a refusal as not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: VerdictNotRun, Reason: reason, Detail: detail}
}

// RefuseUnknown returns a refusal whose outcome is unknown.
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

// WithFeedback returns a copy with other feedback.
func (r *Refusal) WithFeedback(feedback Feedback) *Refusal {
	changed := *r
	changed.Feedback = feedback
	return &changed
}

// WithRetryAfter returns a copy with advice on when to send the request again.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// WithPeer returns a copy that names the node of the refused attempt.
func (r *Refusal) WithPeer(peer string) *Refusal {
	changed := *r
	changed.Peer = peer
	return &changed
}

// AsRefusal returns the refusal in the chain of err; any other error becomes a refusal of unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return RefuseUnknown(ReasonConnection, err.Error())
}

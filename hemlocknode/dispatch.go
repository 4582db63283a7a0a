package hemlocknode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
)

const (
	// freeReroutes is how often a call may move on from a target that is leaving without spending its allowance.
	freeReroutes = 2
	// longestBackoff bounds the random wait before an extra attempt, so that attempts do not arrive in step.
	longestBackoff = 20 * time.Millisecond
	// unavailableRetryAfter is the advice to callers when no target is ready.
	unavailableRetryAfter = time.Second
)

// Peers reaches other nodes.
type Peers interface {
	// InvokerFor returns the invoker of the node at an address.
	InvokerFor(address string) hemlockcall.Invoker
}

// Dispatcher is the calling side of the data path: it picks a target for each attempt and keeps the retry allowance.
type Dispatcher struct {
	// self is the peers' address of this node; calls to it do not leave the process.
	self     string
	zone     string
	local    hemlockcall.Invoker
	peers    Peers
	routing  *hemlockbalancer.Table
	routes   routeSync
	suspects *hemlocksuspect.Table
	view     *hemlockmember.View
	gossip   *hemlockmember.Gossip
	metrics  *Metrics
}

// attempt is the state of one call over its attempts. It belongs to one goroutine.
type attempt struct {
	request  *hemlockcall.Request
	body     *requestBody
	ledger   *hemlockretry.RequestBudget
	tried    []string
	reroutes int
}

// Invoke carries out a call whose body is held by body. The feedback of the response or refusal holds the unused rest
// of the call's retry allowance.
func (d *Dispatcher) Invoke(ctx context.Context, request *hemlockcall.Request, body *requestBody) (*hemlockcall.Response, error) {
	a := &attempt{request: request, body: body, ledger: hemlockretry.NewRequestBudget(request.Context.RetryBudget)}
	deadline := time.Now().Add(request.Context.Remaining)
	var last, doubt *hemlockcall.Refusal
	for {
		response, refusal := d.try(ctx, a, deadline, last)
		if refusal == nil {
			return response, nil
		}
		if refusal.Verdict == hemlockcall.VerdictUnknown {
			doubt = refusal
		}
		if !d.mayRepeat(ctx, a, refusal, last) {
			if doubt != nil {
				// A later attempt that was not run does not undo an earlier one that may have run.
				refusal = doubt
			}
			return nil, refusal.WithFeedback(hemlockcall.Feedback{UnusedRetries: a.ledger.Close()})
		}
		last = refusal
	}
}

// try makes one attempt. When no further target is left, the refusal of the attempt before stands.
func (d *Dispatcher) try(
	ctx context.Context, a *attempt, deadline time.Time, last *hemlockcall.Refusal,
) (*hemlockcall.Response, *hemlockcall.Refusal) {
	now := time.Now()
	remaining := deadline.Sub(now)
	if remaining <= 0 || ctx.Err() != nil {
		return nil, worst(last, endOf(ctx, "before the call was sent"))
	}
	address, refusal := d.pick(now, a)
	if refusal != nil {
		return nil, worst(last, refusal)
	}
	share := a.ledger.AllocateHalf()
	sent := *a.request
	sent.Body = a.body.reader()
	sent.Context = sent.Context.WithRemaining(remaining).WithRetries(share.Attempts())
	response, err := d.invoker(address).Invoke(ctx, &sent)
	if err == nil {
		response, err = collect(response)
	}
	if err != nil {
		return nil, d.refused(now, address, share, hemlockcall.AsRefusal(err))
	}
	return d.answered(now, a, address, share, response), nil
}

// worst returns the refusal that stands when no attempt could be made after the last one.
func worst(last, refusal *hemlockcall.Refusal) *hemlockcall.Refusal {
	if last != nil && (last.Verdict == hemlockcall.VerdictUnknown || refusal.Reason == hemlockcall.ReasonUnavailable) {
		return last
	}
	return refusal
}

// endOf returns the refusal as not run of a call whose time is over.
func endOf(ctx context.Context, detail string) *hemlockcall.Refusal {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return hemlockcall.Refuse(hemlockcall.ReasonCancelled, "the caller left "+detail)
	}
	return hemlockcall.Refuse(hemlockcall.ReasonDeadline, "the time was over "+detail)
}

func (d *Dispatcher) invoker(address string) hemlockcall.Invoker {
	if address == d.self {
		return d.local
	}
	return d.peers.InvokerFor(address)
}

// pick chooses the target of an attempt. A suspect goes to one target of the zone, so that two targets never run it
// at the same time.
func (d *Dispatcher) pick(now time.Time, a *attempt) (string, *hemlockcall.Refusal) {
	request := a.request
	d.routes.refresh(now, d.view, d.routing)
	switch d.suspects.Check(now, request.Fingerprint) {
	case hemlocksuspect.Refuse:
		d.metrics.suspects.Inc(1)
		return "", hemlockcall.Refuse(hemlockcall.ReasonSuspect, "this request was running when two targets crashed")
	case hemlocksuspect.RunAlone:
		if len(a.tried) > 0 {
			return "", hemlockcall.Refuse(hemlockcall.ReasonSuspect, "this request was running when a target crashed; its target refused it")
		}
		if home := hemlocksuspect.AssignedAddress(request.Fingerprint, d.addresses(request.Service)); home != "" {
			a.tried = append(a.tried, home)
			d.routing.Acquire(now, home)
			return home, nil
		}
	}
	target, err := d.routing.Pick(now, request.Service, request.Context.Priority, a.tried)
	if err == nil {
		a.tried = append(a.tried, target.Address)
		return target.Address, nil
	}
	if hemlockerror.KindOf[hemlockbalancer.Kind](err) == hemlockbalancer.KindShed {
		d.metrics.early.Inc(1)
		return "", hemlockcall.Refuse(hemlockcall.ReasonOverload, "service "+request.Service+" sheds this priority").
			WithRetryAfter(unavailableRetryAfter)
	}
	return "", hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "no target of service "+request.Service+" is ready").
		WithRetryAfter(unavailableRetryAfter)
}

func (d *Dispatcher) addresses(service string) []string {
	var addresses []string
	for _, m := range d.view.Members() {
		if m.Zone == d.zone && m.Service == service && m.State == hemlockmember.Ready {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

func (d *Dispatcher) refused(
	start time.Time, address string, share *hemlockretry.Allocation, refusal *hemlockcall.Refusal,
) *hemlockcall.Refusal {
	now := time.Now()
	if refusal.SentByNode || refusal.Verdict == hemlockcall.VerdictNotRun {
		unused := refusal.Feedback.UnusedRetries
		if !refusal.SentByNode {
			// The peer never got the call, so the share is whole.
			unused = share.Attempts()
		}
		share.Return(unused)
	} else {
		share.Forfeit()
	}
	if refusal.Reason == hemlockcall.ReasonConnection && address != d.self {
		d.gossip.ConnectionFailed(now, address)
	}
	d.routing.Done(now, address, hemlockbalancer.Result{
		Outcome:  routingOutcome(refusal),
		Latency:  now.Sub(start),
		Feedback: refusal.Feedback,
	})
	return refusal
}

func routingOutcome(refusal *hemlockcall.Refusal) hemlockbalancer.Outcome {
	switch refusal.Reason {
	case hemlockcall.ReasonLeaving:
		return hemlockbalancer.Leaving
	case hemlockcall.ReasonCancelled, hemlockcall.ReasonSuspect, hemlockcall.ReasonTooLarge, hemlockcall.ReasonIncomplete:
		return hemlockbalancer.Cancelled
	case hemlockcall.ReasonOverload:
		return hemlockbalancer.Refused
	case hemlockcall.ReasonDeadline:
		if refusal.Verdict == hemlockcall.VerdictNotRun && refusal.SentByNode {
			return hemlockbalancer.Refused
		}
		return hemlockbalancer.TimedOut
	default:
		return hemlockbalancer.Failed
	}
}

func (d *Dispatcher) answered(
	start time.Time, a *attempt, address string, share *hemlockretry.Allocation, response *hemlockcall.Response,
) *hemlockcall.Response {
	settle := func(complete bool) hemlockcall.Feedback {
		now := time.Now()
		result := hemlockbalancer.Result{Outcome: hemlockbalancer.Completed, Latency: now.Sub(start)}
		if complete {
			result.Feedback = response.Feedback()
			share.Return(result.Feedback.UnusedRetries)
		} else {
			share.Forfeit()
			result.Outcome = hemlockbalancer.Cancelled
		}
		d.routing.Done(now, address, result)
		return hemlockcall.Feedback{UnusedRetries: a.ledger.Close()}
	}
	settled := *response
	if isBounded(response) {
		feedback := settle(true)
		settled.Feedback = func() hemlockcall.Feedback { return feedback }
		return &settled
	}
	var feedback hemlockcall.Feedback
	settled.Body = observe(response.Body, func(complete bool) { feedback = settle(complete) })
	settled.Feedback = func() hemlockcall.Feedback { return feedback }
	return &settled
}

// mayRepeat decides on another attempt and takes its price from the allowance.
func (d *Dispatcher) mayRepeat(ctx context.Context, a *attempt, refusal, last *hemlockcall.Refusal) bool {
	if refusal == last || len(a.tried) == 0 || ctx.Err() != nil || !a.body.replayable() {
		return false
	}
	switch refusal.Reason {
	case hemlockcall.ReasonCancelled, hemlockcall.ReasonDeadline, hemlockcall.ReasonSuspect, hemlockcall.ReasonTooLarge,
		hemlockcall.ReasonInvalid, hemlockcall.ReasonIncomplete:
		return false
	}
	notRun := refusal.Verdict == hemlockcall.VerdictNotRun
	if !notRun && a.request.AtMostOnce {
		return false
	}
	if notRun && refusal.Reason != hemlockcall.ReasonOverload && a.reroutes < freeReroutes {
		a.reroutes++
		d.metrics.reroutes.Inc(1)
		return true
	}
	if !a.ledger.Spend() {
		return false
	}
	d.metrics.attempts.Inc(1)
	return hemlockcall.Sleep(ctx, rand.N(longestBackoff))
}

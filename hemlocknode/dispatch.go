package hemlocknode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
)

const (
	// maxFreeReroutes is how often a call may be sent to another target without spending a retry. A reroute is free after a
	// refusal before execution for another reason than overload, for example because the target is leaving.
	maxFreeReroutes = 2
	// maxBackoff is the maximum of the random wait before a retry, which prevents retries from arriving in bursts.
	maxBackoff = 20 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of a refusal that is given because no target is ready or all targets shed the
	// priority.
	unavailableRetryAfter = time.Second
)

// Peers provides access to other nodes.
type Peers interface {
	// InvokerFor returns the invoker of the node at an address.
	InvokerFor(address string) hemlockcall.Invoker
	// Withdraw withdraws the requests of callers that other nodes have not passed to their targets.
	Withdraw(ctx context.Context)
}

// Dispatcher is the calling side of the data path: it picks a target for each attempt of a call and enforces the retry
// budget of the call.
type Dispatcher struct {
	// self is the peer address of this node; calls to it do not leave the process.
	self     string
	zone     string
	local    hemlockcall.Invoker
	peers    Peers
	balancer *hemlockbalancer.Balancer
	viewSync viewSync
	suspects *hemlocksuspect.Table
	view     *hemlockmember.View
	gossip   *hemlockmember.Gossip
	metrics  *Metrics
	drain    *hemlockdrain.Drain
}

// callState is the state that the attempts of one call share. It is used by one goroutine only.
type callState struct {
	request     *hemlockcall.Request
	body        *requestBody
	retryBudget *hemlockretry.RequestBudget
	// tried contains the addresses to which attempts were sent.
	tried []string
	// reroutes counts the free reroutes.
	reroutes int
}

// Invoke sends a call with the given body and retries it as far as its retry budget allows. The feedback of the response or
// refusal contains the unused retries of the budget.
func (d *Dispatcher) Invoke(ctx context.Context, request *hemlockcall.Request, body *requestBody) (*hemlockcall.Response, error) {
	call := &callState{request: request, body: body, retryBudget: hemlockretry.NewRequestBudget(request.Context.RetryBudget)}
	deadline := time.Now().Add(request.Context.Remaining)
	var previous, unknown *hemlockcall.Refusal
	for {
		response, refusal := d.attempt(ctx, call, deadline, previous)
		if refusal == nil {
			return response, nil
		}
		if refusal.Verdict == hemlockcall.VerdictUnknown {
			unknown = refusal
		}
		if !d.mayRetry(ctx, call, deadline, refusal, previous) {
			if unknown != nil {
				// An earlier attempt may have run, whatever the verdict of the last one.
				refusal = unknown
			}
			return nil, refusal.WithFeedback(hemlockcall.Feedback{UnusedRetries: call.retryBudget.Close()})
		}
		previous = refusal
	}
}

// attempt makes one attempt. previous is the refusal of the attempt before, or nil. If no further attempt can be made,
// attempt returns the refusal that finalRefusal selects.
func (d *Dispatcher) attempt(
	ctx context.Context, call *callState, deadline time.Time, previous *hemlockcall.Refusal,
) (*hemlockcall.Response, *hemlockcall.Refusal) {
	now := time.Now()
	remaining := d.drain.Limit(now, deadline.Sub(now))
	if remaining <= 0 || ctx.Err() != nil {
		return nil, finalRefusal(previous, refuseEnded(ctx, "before the call was sent"))
	}
	if !d.mayBegin(now, call.request, deadline) {
		return nil, finalRefusal(previous, refuseStopping())
	}
	address, refusal := d.pickTarget(now, call)
	if refusal != nil {
		return nil, finalRefusal(previous, refusal)
	}
	allocation := call.retryBudget.AllocateHalf()
	sent := *call.request
	sent.Body = call.body.reader()
	sent.Context = sent.Context.WithRemaining(remaining).WithRetryBudget(allocation.Retries())
	response, err := d.invoker(address).Invoke(ctx, &sent)
	if err == nil {
		response, err = bufferResponse(response)
	}
	if err != nil {
		refusal := d.handleRefusal(now, address, allocation, hemlockcall.AsRefusal(err))
		if refusal.Verdict == hemlockcall.VerdictNotRun && refusal.Reason == hemlockcall.ReasonCancelled && ctx.Err() == nil {
			return nil, refuseStopping() // this node has withdrawn the request
		}
		return nil, refusal
	}
	return d.handleResponse(now, call, address, allocation, response), nil
}

// mayBegin reports whether an attempt may begin with regard to the planned stop of this process. Nested calls belong to requests
// that targets are running, which get the time until the end of the process.
func (d *Dispatcher) mayBegin(now time.Time, request *hemlockcall.Request, deadline time.Time) bool {
	return request.Context.Depth > 0 || d.drain.MayBegin(now, hemlockdrain.Work{Remaining: deadline.Sub(now)})
}

// refuseStopping returns the refusal of a request that has not reached a target when a stopping node stops to begin requests.
func refuseStopping() *hemlockcall.Refusal {
	return hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the node is stopping").WithRetryAfter(unavailableRetryAfter)
}

// finalRefusal returns the refusal of a call for which no further attempt could be made. refusal says why not; previous is
// the refusal of the attempt before, or nil. finalRefusal returns previous, if there is one, when its outcome is unknown or
// when refusal says that no target is ready. Otherwise it returns refusal.
func finalRefusal(previous, refusal *hemlockcall.Refusal) *hemlockcall.Refusal {
	if previous != nil && (previous.Verdict == hemlockcall.VerdictUnknown || refusal.Reason == hemlockcall.ReasonUnavailable) {
		return previous
	}
	return refusal
}

// refuseEnded returns the refusal, with the verdict not-run, of a call that was cancelled or whose deadline has expired.
func refuseEnded(ctx context.Context, detail string) *hemlockcall.Refusal {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return hemlockcall.Refuse(hemlockcall.ReasonCancelled, "the caller cancelled the request "+detail)
	}
	return hemlockcall.Refuse(hemlockcall.ReasonDeadline, "the deadline expired "+detail)
}

func (d *Dispatcher) invoker(address string) hemlockcall.Invoker {
	if address == d.self {
		return d.local
	}
	return d.peers.InvokerFor(address)
}

// pickTarget chooses the target of an attempt. A suspect (a request whose fingerprint was in flight when a target crashed)
// is sent only to the node of the zone that is assigned to it, so that no two targets of the zone run it at the same time. If
// the zone has no ready target, the balancer picks one as for other requests.
func (d *Dispatcher) pickTarget(now time.Time, call *callState) (string, *hemlockcall.Refusal) {
	request := call.request
	d.viewSync.refresh(now, d.view, d.balancer)
	switch d.suspects.Check(now, request.Fingerprint) {
	case hemlocksuspect.Refuse:
		d.metrics.suspectsRefused.Inc(1)
		return "", hemlockcall.Refuse(hemlockcall.ReasonSuspect, "this request was running when two targets crashed")
	case hemlocksuspect.RunAlone:
		if len(call.tried) > 0 {
			return "", hemlockcall.Refuse(hemlockcall.ReasonSuspect, "this request was running when a target crashed, and the only target that may run it now has refused it")
		}
		if assigned := hemlocksuspect.AssignedAddress(request.Fingerprint, d.readyAddresses(request.Service)); assigned != "" {
			call.tried = append(call.tried, assigned)
			d.balancer.Acquire(now, assigned)
			return assigned, nil
		}
	}
	target, err := d.balancer.Pick(now, request.Service, request.Context.Priority, call.tried)
	if err == nil {
		call.tried = append(call.tried, target.Address)
		return target.Address, nil
	}
	if hemlockerror.KindOf[hemlockbalancer.Kind](err) == hemlockbalancer.KindShed {
		d.metrics.earlySheds.Inc(1)
		return "", hemlockcall.Refuse(hemlockcall.ReasonOverload, "all targets of service "+request.Service+" shed requests of this priority").
			WithRetryAfter(unavailableRetryAfter)
	}
	return "", hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "no target of service "+request.Service+" is ready").
		WithRetryAfter(unavailableRetryAfter)
}

func (d *Dispatcher) readyAddresses(service string) []string {
	var addresses []string
	for _, m := range d.view.Members() {
		if m.Zone == d.zone && m.Service == service && m.State == hemlockmember.Ready {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// handleRefusal records the end of an attempt that was refused: it returns the unused retries of the allocation, or forfeits
// them if they are unknown, and reports the result to the balancer. start is the time of the attempt.
func (d *Dispatcher) handleRefusal(
	start time.Time, address string, allocation *hemlockretry.Allocation, refusal *hemlockcall.Refusal,
) *hemlockcall.Refusal {
	now := time.Now()
	if refusal.SentByNode || refusal.Verdict == hemlockcall.VerdictNotRun {
		unused := refusal.Feedback.UnusedRetries
		if !refusal.SentByNode {
			// The call did not arrive at the node, so that node has used no retries.
			unused = allocation.Retries()
		}
		allocation.Return(unused)
	} else {
		allocation.Forfeit()
	}
	if refusal.Reason == hemlockcall.ReasonConnection && address != d.self {
		d.gossip.ConnectionFailed(now, address)
	}
	d.balancer.Done(now, address, hemlockbalancer.Result{
		Outcome:  balancerOutcome(refusal),
		Latency:  now.Sub(start),
		Feedback: refusal.Feedback,
	})
	return refusal
}

func balancerOutcome(refusal *hemlockcall.Refusal) hemlockbalancer.Outcome {
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

// handleResponse returns the response with the feedback of the call. When the response has ended, it returns or forfeits the
// retries of the allocation and reports the result to the balancer.
func (d *Dispatcher) handleResponse(
	start time.Time, call *callState, address string, allocation *hemlockretry.Allocation, response *hemlockcall.Response,
) *hemlockcall.Response {
	finish := func(complete bool) hemlockcall.Feedback {
		now := time.Now()
		result := hemlockbalancer.Result{Outcome: hemlockbalancer.Completed, Latency: now.Sub(start)}
		if complete {
			result.Feedback = response.Feedback()
			allocation.Return(result.Feedback.UnusedRetries)
		} else {
			allocation.Forfeit()
			result.Outcome = hemlockbalancer.Cancelled
		}
		d.balancer.Done(now, address, result)
		return hemlockcall.Feedback{UnusedRetries: call.retryBudget.Close()}
	}
	wrapped := *response
	if isBuffered(response) {
		feedback := finish(true)
		wrapped.Feedback = func() hemlockcall.Feedback { return feedback }
		return &wrapped
	}
	var feedback hemlockcall.Feedback
	wrapped.Body = observeEnd(response.Body, func(complete bool) { feedback = finish(complete) })
	wrapped.Feedback = func() hemlockcall.Feedback { return feedback }
	return &wrapped
}

// mayRetry reports whether to make another attempt. Unless that is a free reroute, it spends a retry of the budget and waits
// for a random backoff. A refusal that is the previous one means that no further attempt could be made.
func (d *Dispatcher) mayRetry(ctx context.Context, call *callState, deadline time.Time, refusal, previous *hemlockcall.Refusal) bool {
	if refusal == previous || len(call.tried) == 0 || ctx.Err() != nil || !d.mayBegin(time.Now(), call.request, deadline) ||
		!call.body.prepareReplay() {
		return false
	}
	switch refusal.Reason {
	case hemlockcall.ReasonCancelled, hemlockcall.ReasonDeadline, hemlockcall.ReasonSuspect, hemlockcall.ReasonTooLarge,
		hemlockcall.ReasonInvalid, hemlockcall.ReasonIncomplete:
		return false
	}
	notRun := refusal.Verdict == hemlockcall.VerdictNotRun
	if !notRun && call.request.AtMostOnce {
		return false
	}
	if notRun && refusal.Reason != hemlockcall.ReasonOverload && call.reroutes < maxFreeReroutes {
		call.reroutes++
		d.metrics.reroutes.Inc(1)
		return true
	}
	if !call.retryBudget.Spend() {
		return false
	}
	d.metrics.retryAttempts.Inc(1)
	return hemlockcall.Sleep(ctx, rand.N(maxBackoff))
}

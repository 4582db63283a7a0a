package hemlocknode

import (
	"context"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocktarget"
)

// CallHandler forwards incoming requests as calls to services: the requests of callers, for which this node is the entry
// node, and the calls that the local target makes.
type CallHandler struct {
	configuration *hemlockconfiguration.Holder
	dispatcher    *Dispatcher
	claims        Claims
	callerRetries *hemlockretry.CallerRetryBudget
	inFlight      *hemlockinflight.Table
	bodyMemory    *memoryBudget
	metrics       *Metrics
	log           logr.Logger
	drain         *hemlockdrain.Drain
	// pendingClaims counts the goroutines that store a response with a claim or release a claim. They may outlive their
	// request; a graceful shutdown waits for them.
	pendingClaims sync.WaitGroup
}

// Credentials identify a caller.
type Credentials struct {
	// Customer is the name that the caller has sent; it is valid only if the configuration accepts the token for it.
	Customer, Token string
	// Host is the IP of the caller.
	Host string
}

// HandleCaller handles a request of a caller, for which this node is the entry node.
func (c *CallHandler) HandleCaller(ctx context.Context, request *hemlockcall.Request, from Credentials) (*hemlockcall.Response, error) {
	start := time.Now()
	response, err := c.handleCaller(ctx, start, request, from)
	c.metrics.countCall(stageEntry, request.Context.Priority, err, time.Since(start))
	return response, err
}

func (c *CallHandler) handleCaller(
	ctx context.Context, start time.Time, request *hemlockcall.Request, from Credentials,
) (*hemlockcall.Response, error) {
	p, err := planRequest(c.configuration, request)
	if err != nil {
		return nil, err
	}
	customer, known := p.service.Customer(from.Customer, from.Token)
	if !known {
		customer.Name, customer.Rank = "", p.service.DefaultRank
	}
	request.Context = hemlockcall.Context{
		Trace:       newTrace(),
		Span:        newSpan(),
		Customer:    customer.Name,
		Rank:        customer.Rank,
		Priority:    p.rule.Priority,
		Remaining:   p.rule.Timeout,
		RetryBudget: p.rule.RetryBudget,
	}
	ctx, cancel := context.WithTimeout(ctx, p.rule.Timeout)
	response, err := c.handleWithDeadline(ctx, start, p, request, from)
	return cancelAtEnd(response, err, cancel)
}

// cancelAtEnd calls cancel when the call has ended: immediately for an error or a buffered response, and when
// the body has been read to its end or closed for a streamed response.
func cancelAtEnd(response *hemlockcall.Response, err error, cancel context.CancelFunc) (*hemlockcall.Response, error) {
	if err != nil || isBuffered(response) {
		cancel()
		return response, err
	}
	response.Body = observeEnd(response.Body, func(bool) { cancel() })
	return response, nil
}

// handleWithDeadline reads the request body, checks the retry budget of the caller and sends the call.
func (c *CallHandler) handleWithDeadline(
	ctx context.Context, start time.Time, p plan, request *hemlockcall.Request, from Credentials,
) (*hemlockcall.Response, error) {
	interruptAtDeadline(ctx, request.Body)
	stopInterrupt := c.interruptAtLastBegin(request.Body)
	body, err := readBody(request.Body, request.Length, p.rule.MaxRequestBody, c.bodyMemory)
	stopInterrupt()
	if err != nil && c.drain.IsClosed() {
		return nil, refuseStopping()
	}
	if err != nil {
		return nil, err
	}
	request.Fingerprint = fingerprint(request, body.prefix)
	source, key := from.retrySource(request.Context.Customer), retryKey(request)
	if !c.callerRetries.Allow(start, source, key) {
		body.close()
		c.metrics.callerRetriesRefused.Inc(1)
		return nil, hemlockcall.Refuse(hemlockcall.ReasonCallerRetries, "this failed request was retried too often").
			WithRetryAfter(c.callerRetries.RetryAfter(start, source, key))
	}
	response, err := c.invoke(ctx, p, request, body)
	c.recordOutcome(source, key, err)
	return response, err
}

// interruptible is a body whose blocked Read can be interrupted.
type interruptible interface {
	Interrupt()
}

// interruptAtDeadline interrupts a blocked read of the request body when the deadline of the request expires.
func interruptAtDeadline(ctx context.Context, body io.Reader) {
	if interrupter, ok := body.(interruptible); ok {
		context.AfterFunc(ctx, func() {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				interrupter.Interrupt()
			}
		})
	}
}

// interruptAtLastBegin interrupts a blocked read of the request body when a stopping node stops to begin requests. The returned
// function cancels this.
func (c *CallHandler) interruptAtLastBegin(body io.Reader) (cancel func() bool) {
	if interrupter, ok := body.(interruptible); ok {
		return c.drain.OnClose(interrupter.Interrupt)
	}
	return func() bool { return true }
}

// retrySource identifies the callers whose retries are counted together: those of one customer, or the callers without a
// valid customer on one host.
func (c Credentials) retrySource(customer string) string {
	if customer != "" {
		return "customer " + customer
	}
	return "host " + c.Host
}

// retryKey returns a key that all attempts of one request have in common. At-most-once requests with the same content but
// different idempotency keys are different requests, such as two equal orders.
func retryKey(request *hemlockcall.Request) uint64 {
	if !request.AtMostOnce {
		return request.Fingerprint
	}
	return request.Fingerprint ^ xxhash.Sum64String(request.Header.Get(headerIdempotencyKey))
}

// recordOutcome records in the retry budget of the caller how its request ended.
func (c *CallHandler) recordOutcome(source string, key uint64, err error) {
	if err == nil {
		c.callerRetries.Succeeded(source, key)
		return
	}
	now := time.Now()
	refusal := hemlockcall.AsRefusal(err)
	if refusal.Verdict == hemlockcall.VerdictNotRun && refusal.RetryAfter > 0 {
		c.callerRetries.Refused(now, source, key, refusal.RetryAfter)
		return
	}
	c.callerRetries.Failed(now, source, key)
}

// invoke sends a call and releases the memory of its request body at the end of the call.
func (c *CallHandler) invoke(
	ctx context.Context, p plan, request *hemlockcall.Request, body *requestBody,
) (*hemlockcall.Response, error) {
	request.Context = request.Context.WithRemaining(remainingTime(ctx, request.Context.Remaining))
	invoke := c.dispatcher.Invoke
	if p.rule.AtMostOnce {
		invoke = func(ctx context.Context, r *hemlockcall.Request, b *requestBody) (*hemlockcall.Response, error) {
			return c.invokeAtMostOnce(ctx, p, r, b)
		}
	}
	response, err := invoke(ctx, request, body)
	if err == nil && !p.rule.AtMostOnce {
		response, err = limitResponse(response, p.rule.MaxResponseBody)
	}
	if err != nil || isBuffered(response) {
		body.close()
		return response, err
	}
	response.Body = observeEnd(response.Body, func(bool) { body.close() })
	return response, nil
}

// remainingTime returns the time until the deadline of the context, at most limit.
func remainingTime(ctx context.Context, limit time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(limit, time.Until(deadline))
	}
	return limit
}

// HandleOutgoing handles a call that the local target makes. The trace context of the call identifies the customer
// request that the target is running and of which the call becomes a part. A call that matches no running request gets the
// lowest priority and no retries.
func (c *CallHandler) HandleOutgoing(ctx context.Context, outgoing hemlocktarget.OutgoingCall) (*hemlockcall.Response, error) {
	start := time.Now()
	request := &hemlockcall.Request{
		Service: outgoing.Service,
		Method:  outgoing.Method,
		Path:    outgoing.Path,
		Header:  outgoing.Header,
		Body:    outgoing.Body,
		Length:  outgoing.Length,
	}
	response, err := c.handleOutgoing(ctx, start, outgoing, request)
	c.metrics.countCall(stageOutgoing, request.Context.Priority, err, time.Since(start))
	return response, err
}

func (c *CallHandler) handleOutgoing(
	ctx context.Context, start time.Time, outgoing hemlocktarget.OutgoingCall, request *hemlockcall.Request,
) (*hemlockcall.Response, error) {
	p, err := planRequest(c.configuration, request)
	if err != nil {
		return nil, err
	}
	parent, known := c.inFlight.Find(outgoing.Trace, outgoing.Span)
	if !known {
		c.metrics.callsWithoutContext.Inc(1)
		request.Context = unmatchedContext(p)
		return c.invokeNested(ctx, p, request, nil)
	}
	nested, allocation, err := parent.NestedContext(start, newSpan())
	if err != nil {
		return nil, err
	}
	request.Context = nested.
		WithPriority(nestedPriority(nested.Priority, p.rule.Class)).
		WithRemaining(min(nested.Remaining, p.rule.Timeout))
	response, err := c.invokeNested(ctx, p, request, allocation)
	if err != nil && isOverload(hemlockcall.AsRefusal(err).Reason) {
		parent.MarkNestedRefused()
	}
	return response, err
}

// isOverload reports whether the reason of a refusal indicates overload: the request was shed, or its deadline expired or
// was too close, usually because it had waited for a slot.
func isOverload(reason hemlockcall.Reason) bool {
	return reason == hemlockcall.ReasonOverload || reason == hemlockcall.ReasonDeadline
}

// unmatchedContext returns the context of a call of the local target that matches none of its running requests. It has the
// lowest priority and no retries.
func unmatchedContext(p plan) hemlockcall.Context {
	return hemlockcall.Context{
		Trace:     newTrace(),
		Span:      newSpan(),
		Rank:      p.service.DefaultRank,
		Priority:  hemlockcall.Sheddable,
		Remaining: p.rule.Timeout,
	}
}

// invokeNested sends a call of the local target with its remaining time as the deadline, and returns the unused retries to
// the allocation of the call. The allocation is nil for a call that matches no running request.
func (c *CallHandler) invokeNested(
	ctx context.Context, p plan, request *hemlockcall.Request, allocation *hemlockretry.Allocation,
) (*hemlockcall.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Context.Remaining)
	interruptAtDeadline(ctx, request.Body)
	body, err := readBody(request.Body, request.Length, p.rule.MaxRequestBody, c.bodyMemory)
	if err != nil {
		cancel()
		returnUnused(allocation, request.Context.RetryBudget)
		return nil, err
	}
	request.Fingerprint = fingerprint(request, body.prefix)
	response, err := c.invoke(ctx, p, request, body)
	if err != nil {
		cancel()
		returnUnused(allocation, hemlockcall.AsRefusal(err).Feedback.UnusedRetries)
		return nil, err
	}
	if isBuffered(response) {
		cancel()
		returnUnused(allocation, response.Feedback().UnusedRetries)
		return response, nil
	}
	feedback := response.Feedback
	response.Body = observeEnd(response.Body, func(bool) {
		cancel()
		returnUnused(allocation, feedback().UnusedRetries)
	})
	return response, nil
}

func returnUnused(allocation *hemlockretry.Allocation, unused int) {
	if allocation != nil {
		allocation.Return(unused)
	}
}

func newTrace() hemlockcall.TraceID {
	var trace hemlockcall.TraceID
	_, _ = rand.Read(trace[:])
	return trace
}

func newSpan() hemlockcall.SpanID {
	var span hemlockcall.SpanID
	_, _ = rand.Read(span[:])
	return span
}

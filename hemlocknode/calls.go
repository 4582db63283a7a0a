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
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocktarget"
)

// CallHandler turns incoming requests into calls: those of callers at the entry, and those that the local target makes.
type CallHandler struct {
	configuration *hemlockconfiguration.Holder
	dispatcher    *Dispatcher
	claims        Claims
	repeats       *hemlockretry.CallerRetryBudget
	running       *hemlockinflight.Table
	budget        *byteBudget
	metrics       *Metrics
	log           logr.Logger
	// background counts stores and releases of claims that outlive their request; a graceful shutdown waits for them.
	background sync.WaitGroup
}

// Credentials are what a caller says of itself.
type Credentials struct {
	// Customer is the claimed name; it counts only when the configuration accepts the token.
	Customer, Token string
	// Host is the IP of the caller.
	Host string
}

// HandleCaller serves a request of a caller.
func (c *CallHandler) HandleCaller(ctx context.Context, request *hemlockcall.Request, from Credentials) (*hemlockcall.Response, error) {
	start := time.Now()
	response, err := c.enter(ctx, start, request, from)
	c.metrics.countCall(stageEntry, request.Context.Priority, err, time.Since(start))
	return response, err
}

func (c *CallHandler) enter(
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
	response, err := c.enterWithin(ctx, start, p, request, from)
	return release(response, err, cancel)
}

// release calls cancel when the call is over: at once for an error or a bounded response, at the end of the body for
// a streamed one.
func release(response *hemlockcall.Response, err error, cancel context.CancelFunc) (*hemlockcall.Response, error) {
	if err != nil || isBounded(response) {
		cancel()
		return response, err
	}
	response.Body = observe(response.Body, func(bool) { cancel() })
	return response, nil
}

func (c *CallHandler) enterWithin(
	ctx context.Context, start time.Time, p plan, request *hemlockcall.Request, from Credentials,
) (*hemlockcall.Response, error) {
	interruptAtEnd(ctx, request.Body)
	body, err := readBody(request.Body, request.Length, p.rule.MaxRequestBody, c.budget)
	if err != nil {
		return nil, err
	}
	request.Fingerprint = fingerprint(request, body.prefix)
	sender, print := from.sender(request.Context.Customer), repeatPrint(request)
	if !c.repeats.Allow(start, sender, print) {
		body.close()
		c.metrics.repeats.Inc(1)
		return nil, hemlockcall.Refuse(hemlockcall.ReasonRepeats, "this request was repeated too often").
			WithRetryAfter(c.repeats.RetryAfter(start, sender, print))
	}
	response, err := c.invoke(ctx, p, request, body)
	c.recordRepeat(sender, print, err)
	return response, err
}

// interruptible is a body whose blocked Read can be ended.
type interruptible interface {
	Interrupt()
}

// interruptAtEnd ends a stalled upload when the time of its request is over.
func interruptAtEnd(ctx context.Context, body io.Reader) {
	if upload, ok := body.(interruptible); ok {
		context.AfterFunc(ctx, func() {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				upload.Interrupt()
			}
		})
	}
}

// sender identifies whose repeats are counted together: the customer, or the host of an unknown caller.
func (c Credentials) sender(customer string) string {
	if customer != "" {
		return "customer " + customer
	}
	return "host " + c.Host
}

// repeatPrint identifies the repeats of one request. A new idempotency key makes a new request: two orders with equal
// content are two orders.
func repeatPrint(request *hemlockcall.Request) uint64 {
	if !request.AtMostOnce {
		return request.Fingerprint
	}
	return request.Fingerprint ^ xxhash.Sum64String(request.Header.Get(headerIdempotencyKey))
}

func (c *CallHandler) recordRepeat(sender string, print uint64, err error) {
	if err == nil {
		c.repeats.Succeeded(sender, print)
		return
	}
	now := time.Now()
	refusal := hemlockcall.AsRefusal(err)
	if refusal.Verdict == hemlockcall.VerdictNotRun && refusal.RetryAfter > 0 {
		c.repeats.Refused(now, sender, print, refusal.RetryAfter)
		return
	}
	c.repeats.Failed(now, sender, print)
}

// invoke carries out a prepared call and gives the memory of its body back.
func (c *CallHandler) invoke(
	ctx context.Context, p plan, request *hemlockcall.Request, body *requestBody,
) (*hemlockcall.Response, error) {
	request.Context = request.Context.WithRemaining(remainingOf(ctx, request.Context.Remaining))
	invoke := c.dispatcher.Invoke
	if p.rule.AtMostOnce {
		invoke = func(ctx context.Context, r *hemlockcall.Request, b *requestBody) (*hemlockcall.Response, error) {
			return c.invokeOnce(ctx, p, r, b)
		}
	}
	response, err := invoke(ctx, request, body)
	if err == nil && !p.rule.AtMostOnce {
		response, err = boundAnswer(response, p.rule.MaxResponseBody)
	}
	if err != nil || isBounded(response) {
		body.close()
		return response, err
	}
	response.Body = observe(response.Body, func(bool) { body.close() })
	return response, nil
}

func remainingOf(ctx context.Context, most time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(most, time.Until(deadline))
	}
	return most
}

// HandleOutgoing serves a call that the local target makes. It continues the customer request that the target runs.
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
	response, err := c.nested(ctx, start, outgoing, request)
	c.metrics.countCall(stageOutgoing, request.Context.Priority, err, time.Since(start))
	return response, err
}

func (c *CallHandler) nested(
	ctx context.Context, start time.Time, outgoing hemlocktarget.OutgoingCall, request *hemlockcall.Request,
) (*hemlockcall.Response, error) {
	p, err := planRequest(c.configuration, request)
	if err != nil {
		return nil, err
	}
	parent, known := c.running.Find(outgoing.Trace, outgoing.Span)
	if !known {
		c.metrics.orphans.Inc(1)
		request.Context = orphanContext(p)
		return c.invokeWithin(ctx, p, request, nil)
	}
	nested, share, err := parent.NestedContext(start, newSpan())
	if err != nil {
		return nil, err
	}
	request.Context = nested.
		WithPriority(nestedPriority(nested.Priority, p.rule.Class)).
		WithRemaining(min(nested.Remaining, p.rule.Timeout))
	response, err := c.invokeWithin(ctx, p, request, share)
	if err != nil && isLoad(hemlockcall.AsRefusal(err).Reason) {
		parent.MarkNestedShed()
	}
	return response, err
}

// isLoad reports whether a refusal came from load: at once, or at the deadline of a call that waited too long.
func isLoad(reason hemlockcall.Reason) bool {
	return reason == hemlockcall.ReasonOverload || reason == hemlockcall.ReasonDeadline
}

// orphanContext is the context of a call that belongs to no running request: the lowest priority and no retries.
func orphanContext(p plan) hemlockcall.Context {
	return hemlockcall.Context{
		Trace:     newTrace(),
		Span:      newSpan(),
		Rank:      p.service.DefaultRank,
		Priority:  hemlockcall.Sheddable,
		Remaining: p.rule.Timeout,
	}
}

// invokeWithin runs a nested call within its remaining time and returns the unused rest of its share.
func (c *CallHandler) invokeWithin(
	ctx context.Context, p plan, request *hemlockcall.Request, share *hemlockretry.Allocation,
) (*hemlockcall.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Context.Remaining)
	interruptAtEnd(ctx, request.Body)
	body, err := readBody(request.Body, request.Length, p.rule.MaxRequestBody, c.budget)
	if err != nil {
		cancel()
		settle(share, request.Context.RetryBudget)
		return nil, err
	}
	request.Fingerprint = fingerprint(request, body.prefix)
	response, err := c.invoke(ctx, p, request, body)
	if err != nil {
		cancel()
		settle(share, hemlockcall.AsRefusal(err).Feedback.UnusedRetries)
		return nil, err
	}
	if isBounded(response) {
		cancel()
		settle(share, response.Feedback().UnusedRetries)
		return response, nil
	}
	feedback := response.Feedback
	response.Body = observe(response.Body, func(bool) {
		cancel()
		settle(share, feedback().UnusedRetries)
	})
	return response, nil
}

func settle(share *hemlockretry.Allocation, unused int) {
	if share != nil {
		share.Return(unused)
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

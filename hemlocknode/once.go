package hemlocknode

import (
	"bytes"
	"context"
	"io"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockclaim"
)

// finishWait is how long a caller waits for its answer to be stored. It covers a usual write; the store goes on after
// it, and until it ends a repeated request gets an unknown outcome.
const finishWait = 250 * time.Millisecond

// Claims makes claims for requests that may not be repeated.
type Claims interface {
	// ForService returns the claimer of a service with its retention.
	ForService(service string, retention time.Duration) *hemlockclaim.Claimer
}

// invokeOnce claims the request's key before the call is sent, and stores the answer.
func (c *CallHandler) invokeOnce(
	ctx context.Context, p plan, request *hemlockcall.Request, body *requestBody,
) (*hemlockcall.Response, error) {
	if !body.whole() {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonTooLarge, "a request that may not be repeated has a body of at most 256 KiB").
			WithFeedback(hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget})
	}
	claimer := c.claims.ForService(p.service.Name, p.service.ClaimRetention)
	digest := hemlockclaim.Digest(request.Method, request.Path, body.prefix)
	claim, stored, err := claimer.Claim(ctx, request.Header.Get(headerIdempotencyKey), digest)
	if err != nil {
		return nil, hemlockclaim.Refusal(err).WithFeedback(hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget})
	}
	if stored != nil {
		return storedResponse(stored, request.Context.RetryBudget), nil
	}
	response, err := c.dispatcher.Invoke(ctx, request, body)
	if err != nil {
		if hemlockcall.AsRefusal(err).Verdict == hemlockcall.VerdictNotRun {
			c.release(ctx, claimer, claim)
		}
		return nil, err
	}
	return c.finish(ctx, p, claimer, claim, response)
}

// release gives a claim back in the background: the caller need not wait for it.
func (c *CallHandler) release(ctx context.Context, claimer *hemlockclaim.Claimer, claim hemlockclaim.Claim) {
	c.background.Go(func() {
		if err := claimer.Release(context.WithoutCancel(ctx), claim); err != nil {
			c.log.V(1).Info("claim not released", "error", err.Error())
		}
	})
}

// finish stores the whole answer and passes it on. An answer above the bound of its class is passed on unstored.
func (c *CallHandler) finish(
	ctx context.Context, p plan, claimer *hemlockclaim.Claimer, claim hemlockclaim.Claim, response *hemlockcall.Response,
) (*hemlockcall.Response, error) {
	if response.Length < 0 || response.Length > p.rule.MaxResponseBody || !isBounded(response) {
		return response, nil
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, "response broke off: "+err.Error())
	}
	answer := hemlockclaim.Answer{Status: response.Status, Header: response.Header, Body: text}
	done := make(chan struct{})
	c.background.Go(func() {
		defer close(done)
		if err := claimer.Finish(context.WithoutCancel(ctx), claim, answer); err != nil {
			c.log.V(1).Info("answer not stored", "error", err.Error())
		}
	})
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	passed := *response
	passed.Body = io.NopCloser(bytes.NewReader(text))
	return &passed, nil
}

func storedResponse(stored *hemlockclaim.Answer, retries int) *hemlockcall.Response {
	feedback := hemlockcall.Feedback{UnusedRetries: retries}
	return &hemlockcall.Response{
		Status:   stored.Status,
		Header:   stored.Header,
		Body:     io.NopCloser(bytes.NewReader(stored.Body)),
		Length:   int64(len(stored.Body)),
		Feedback: func() hemlockcall.Feedback { return feedback },
	}
}

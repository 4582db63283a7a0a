package hemlocknode

import (
	"bytes"
	"context"
	"io"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockresponse"
)

// maxStoreWait is the maximum time that a response is delayed until it is stored; most writes take less. After that time the
// write continues in the background, and a retry of the request gets an unknown outcome until it has ended.
const maxStoreWait = 250 * time.Millisecond

// Claims provides the claimers of idempotency keys. An at-most-once request runs only after its key has been claimed.
type Claims interface {
	// ForService returns the claimer for a service whose claims are kept for the retention time.
	ForService(service string, retention time.Duration) *hemlockclaim.Claimer
}

// invokeAtMostOnce claims the idempotency key of a request before it sends the call, and stores the response with the claim.
// If the key already has a stored response, it returns that one. A request that was refused before execution releases its
// claim, so that a retry can run.
func (c *CallHandler) invokeAtMostOnce(
	ctx context.Context, p plan, request *hemlockcall.Request, body *requestBody,
) (*hemlockcall.Response, error) {
	if !body.isComplete() {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonTooLarge, "the body of an at-most-once request may have at most 256 KiB").
			WithFeedback(hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget})
	}
	claimer := c.claims.ForService(p.service.Name, p.service.ClaimRetention)
	digest := hemlockclaim.Digest(request.Method, request.Path, body.prefix)
	claim, stored, err := claimer.Claim(ctx, request.Header.Get(headerIdempotencyKey), digest)
	if err != nil {
		return nil, hemlockclaim.Refusal(err).WithFeedback(hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget})
	}
	if stored != nil {
		return storedResponse(stored, request.Context.RetryBudget)
	}
	response, err := c.dispatcher.Invoke(ctx, request, body)
	if err != nil {
		if hemlockcall.AsRefusal(err).Verdict == hemlockcall.VerdictNotRun {
			c.releaseClaim(ctx, claimer, claim)
		}
		return nil, err
	}
	return c.storeResponse(ctx, p, claimer, claim, response)
}

// releaseClaim releases a claim in the background, because the caller need not wait for it.
func (c *CallHandler) releaseClaim(ctx context.Context, claimer *hemlockclaim.Claimer, claim hemlockclaim.Claim) {
	c.pendingClaims.Go(func() {
		if err := claimer.Release(context.WithoutCancel(ctx), claim); err != nil {
			c.log.V(1).Info("claim not released", "error", err.Error())
		}
	})
}

// storeResponse stores the complete response with the claim and returns it. A response that is streamed or larger than its
// class allows is returned without being stored.
func (c *CallHandler) storeResponse(
	ctx context.Context, p plan, claimer *hemlockclaim.Claimer, claim hemlockclaim.Claim, response *hemlockcall.Response,
) (*hemlockcall.Response, error) {
	if response.Length < 0 || response.Length > p.rule.MaxResponseBody || !isBuffered(response) {
		return response, nil
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, "response ended early: "+err.Error())
	}
	stored := hemlockclaim.StoredResponse{Status: response.Status, Header: response.Header, Body: content}
	done := make(chan struct{})
	c.pendingClaims.Go(func() {
		defer close(done)
		if err := claimer.Finish(context.WithoutCancel(ctx), claim, stored); err != nil {
			c.log.V(1).Info("answer not stored", "error", err.Error())
		}
	})
	timer := time.NewTimer(maxStoreWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	forwarded := *response
	forwarded.Body = io.NopCloser(bytes.NewReader(content))
	return &forwarded, nil
}

// storedResponse returns the response that is stored with a claim. A node that read the responses of targets less strictly may have
// stored it, so its head is checked again.
func storedResponse(stored *hemlockclaim.StoredResponse, unusedRetries int) (*hemlockcall.Response, error) {
	feedback := hemlockcall.Feedback{UnusedRetries: unusedRetries}
	if err := hemlockresponse.CheckHead(stored.Status, stored.Header); err != nil {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, "stored response: "+err.Error()).WithFeedback(feedback)
	}
	return &hemlockcall.Response{
		Status:   stored.Status,
		Header:   stored.Header,
		Body:     io.NopCloser(bytes.NewReader(stored.Body)),
		Length:   int64(len(stored.Body)),
		Feedback: func() hemlockcall.Feedback { return feedback },
	}, nil
}

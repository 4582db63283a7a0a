package hemlockpeer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// answerGrace is how much longer than the remaining time a client waits, so that the peer's own refusal at the
// deadline arrives and the connection stays usable.
const answerGrace = 20 * time.Millisecond

// Client carries calls and control messages to other nodes.
type Client struct {
	settings settings
	pool     *pool
	// calls numbers the calls; it starts at random, so that the calls of different clients differ.
	calls atomic.Uint64
}

// NewClient returns a client without connections.
func NewClient(options ...Option) *Client {
	s := newSettings(options)
	c := &Client{settings: s, pool: newPool(s)}
	c.calls.Store(rand.Uint64())
	return c
}

// Close closes the idle connections; calls in flight end by themselves.
func (c *Client) Close() {
	c.pool.close()
}

// InvokerFor returns an invoker that calls one peer.
func (c *Client) InvokerFor(address string) hemlockcall.Invoker {
	return &remote{client: c, address: address}
}

// ExchangeGossip sends a gossip message and returns the reply.
func (c *Client) ExchangeGossip(ctx context.Context, address string, message GossipMessage) (GossipMessage, error) {
	var reply GossipMessage
	err := c.control(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) error {
		wire, err := node.Exchange(ctx, encodeGossip(message))
		if err == nil {
			reply = decodeGossip(wire)
		}
		return err
	})
	return reply, err
}

// FetchConfiguration returns the configuration that the peer has in force; the body is empty when it is not newer.
func (c *Client) FetchConfiguration(ctx context.Context, address string, query ConfigurationQuery) (
	answer ConfigurationAnswer, err error) {
	err = c.control(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) error {
		wire, err := node.FetchConfiguration(ctx, encodeQuery(query))
		answer = decodeConfiguration(wire)
		return err
	})
	return answer, err
}

// Claim sends a batch of claim changes. Nothing was sent when the kind of the error is KindCapacity, KindConnection or
// KindClosed; after any other error the outcome is unknown.
func (c *Client) Claim(ctx context.Context, address string, changes []ClaimChange) ([]bool, error) {
	var results *hemlockwire.ClaimResults
	err := c.control(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) (err error) {
		results, err = node.Claim(ctx, encodeClaims(changes))
		return err
	})
	switch {
	case err != nil:
		return nil, err
	case results.GetFailure() != "":
		return nil, hemlockerror.New("claim", KindRemote, results.GetFailure())
	case len(results.GetApplied()) != len(changes):
		c.settings.countViolation()
		return nil, violation("claim", "number of results")
	}
	return results.GetApplied(), nil
}

func (c *Client) control(
	ctx context.Context, address string, send func(context.Context, hemlockwire.DRPCNodeClient) error,
) error {
	free, err := c.pool.enter(ctx, address, true)
	if err != nil {
		return err
	}
	defer free()
	taken, err := c.pool.take(ctx, address)
	if err != nil {
		return err
	}
	if err := send(ctx, hemlockwire.NewDRPCNodeClient(taken)); err != nil {
		_ = taken.Close()
		return hemlockerror.Wrap("control", KindRemote, err)
	}
	c.release(ctx, address, taken)
	return nil
}

// release puts a connection back once drpc has finished its stream. Before that, the end of the context would still
// close the connection.
func (c *Client) release(ctx context.Context, address string, taken *connection) {
	select {
	case <-taken.Unblocked():
		c.pool.put(address, taken)
	case <-ctx.Done():
		_ = taken.Close()
	}
}

// remote calls one peer.
type remote struct {
	client  *Client
	address string
}

// Invoke implements hemlockcall.Invoker.
func (r *remote) Invoke(ctx context.Context, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	remaining := remainingTime(ctx, request)
	if remaining < time.Millisecond {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonDeadline, "no time left for the call")
	}
	head, err := encodeRequest(request, remaining)
	if err != nil {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonInvalid, err.Error())
	}
	free, err := r.client.pool.enter(ctx, r.address, false)
	if err != nil {
		return nil, refuseUnopened(ctx, err)
	}
	taken, err := r.client.pool.take(ctx, r.address)
	if err != nil {
		free()
		return nil, refuseUnopened(ctx, err)
	}
	// The place in the pool may have taken part of the time.
	remaining = remainingTime(ctx, request)
	head.RemainingMilliseconds = uint32(min(remaining, maximumRemaining) / time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, remaining+answerGrace)
	call := &call{
		client: r.client, address: r.address, connection: taken, free: free, cancel: cancel, ctx: ctx,
		share: request.Context.RetryBudget, mark: taken.transport.WriteCount(),
	}
	return call.start(request, head)
}

// remainingTime is the shorter of the call's own time and the context's deadline.
func remainingTime(ctx context.Context, request *hemlockcall.Request) time.Duration {
	remaining := request.Context.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	return max(remaining, 0)
}

// refuseUnopened reports a call for which no connection was used.
func refuseUnopened(ctx context.Context, err error) *hemlockcall.Refusal {
	reason := hemlockcall.ReasonConnection
	if hemlockerror.KindOf[Kind](err) == KindCapacity {
		reason = hemlockcall.ReasonUnavailable
	}
	return hemlockcall.Refuse(contextReason(ctx, reason), err.Error())
}

// contextReason returns the reason for which the context ended, or the other one.
func contextReason(ctx context.Context, other hemlockcall.Reason) hemlockcall.Reason {
	switch ctx.Err() {
	case nil:
		return other
	case context.DeadlineExceeded:
		return hemlockcall.ReasonDeadline
	default:
		return hemlockcall.ReasonCancelled
	}
}

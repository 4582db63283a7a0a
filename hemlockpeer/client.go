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

// responseGrace is how much longer than the remaining time of a call a client waits for the response. The refusal that
// the peer sends at the deadline then still arrives, and the connection can be used again.
const responseGrace = 20 * time.Millisecond

// Client sends calls and control messages to other nodes. Control messages are gossip messages, configuration queries and
// batches of claim changes. It is safe for concurrent use.
type Client struct {
	settings settings
	pool     *pool
	// lastCallID is the id of the latest call. It starts at a random value, so that the ids of different clients differ.
	lastCallID atomic.Uint64
	sent       sentCalls
}

// NewClient returns a client without connections.
func NewClient(options ...Option) *Client {
	s := newSettings(options)
	c := &Client{settings: s, pool: newPool(s), sent: sentCalls{addresses: map[uint64]string{}}}
	c.lastCallID.Store(rand.Uint64())
	return c
}

// Close closes the idle connections; calls in flight are not interrupted.
func (c *Client) Close() {
	c.pool.close()
}

// InvokerFor returns an invoker that calls one peer.
func (c *Client) InvokerFor(address string) hemlockcall.Invoker {
	return &peerInvoker{client: c, address: address}
}

// ExchangeGossip sends a gossip message and returns the reply.
func (c *Client) ExchangeGossip(ctx context.Context, address string, message GossipMessage) (GossipMessage, error) {
	var reply GossipMessage
	err := c.sendControl(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) error {
		wire, err := node.Exchange(ctx, encodeGossip(message))
		if err == nil {
			reply = decodeGossip(wire)
		}
		return err
	})
	return reply, err
}

// FetchConfiguration returns the active configuration of the peer; the body is empty when it is not newer than the
// version in the query.
func (c *Client) FetchConfiguration(ctx context.Context, address string, query ConfigurationQuery) (
	response ConfigurationResponse, err error) {
	err = c.sendControl(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) error {
		wire, err := node.FetchConfiguration(ctx, encodeConfigurationQuery(query))
		response = decodeConfigurationResponse(wire)
		return err
	})
	return response, err
}

// Claim sends a batch of claim changes and reports for each whether it was applied. Nothing was sent when the kind of
// the error is KindCapacity, KindConnection or KindClosed; after any other error the outcome is unknown.
func (c *Client) Claim(ctx context.Context, address string, changes []ClaimChange) ([]bool, error) {
	var results *hemlockwire.ClaimResults
	err := c.sendControl(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) (err error) {
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
		return nil, violation("claim", "number of results differs from number of changes")
	}
	return results.GetApplied(), nil
}

func (c *Client) sendControl(
	ctx context.Context, address string, send func(context.Context, hemlockwire.DRPCNodeClient) error,
) error {
	releasePermit, err := c.pool.acquire(ctx, address, true)
	if err != nil {
		return err
	}
	defer releasePermit()
	conn, err := c.pool.get(ctx, address)
	if err != nil {
		return err
	}
	if err := send(ctx, hemlockwire.NewDRPCNodeClient(conn)); err != nil {
		_ = conn.Close()
		return hemlockerror.Wrap("control", KindRemote, err)
	}
	c.release(ctx, address, conn)
	return nil
}

// release returns a connection to the pool once drpc has finished its stream. Before that, the end of the context would
// still close the connection.
func (c *Client) release(ctx context.Context, address string, conn *pooledConnection) {
	select {
	case <-conn.Unblocked():
		c.pool.put(address, conn)
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// peerInvoker sends calls to one peer.
type peerInvoker struct {
	client  *Client
	address string
}

// Invoke implements hemlockcall.Invoker.
func (i *peerInvoker) Invoke(ctx context.Context, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	remaining := remainingTime(ctx, request)
	if remaining < time.Millisecond {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonDeadline, "deadline exceeded before the call was sent")
	}
	head, err := encodeRequest(request, remaining)
	if err != nil {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonInvalid, err.Error())
	}
	releasePermit, err := i.client.pool.acquire(ctx, i.address, false)
	if err != nil {
		return nil, refuseUnconnected(ctx, err)
	}
	conn, err := i.client.pool.get(ctx, i.address)
	if err != nil {
		releasePermit()
		return nil, refuseUnconnected(ctx, err)
	}
	// Waiting for the connection may have used up part of the remaining time.
	remaining = remainingTime(ctx, request)
	head.RemainingMilliseconds = uint32(min(remaining, maxDuration) / time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, remaining+responseGrace)
	call := &call{
		client: i.client, address: i.address, connection: conn, releasePermit: releasePermit, cancel: cancel, ctx: ctx,
		retryAllocation: request.Context.RetryBudget, writesBefore: conn.transport.WriteCount(),
	}
	return call.start(request, head)
}

// remainingTime returns the remaining time of the call or the time until the deadline of the context, whichever is
// shorter.
func remainingTime(ctx context.Context, request *hemlockcall.Request) time.Duration {
	remaining := request.Context.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	return max(remaining, 0)
}

// refuseUnconnected returns the refusal for a call that got no connection; nothing of it was sent.
func refuseUnconnected(ctx context.Context, err error) *hemlockcall.Refusal {
	reason := hemlockcall.ReasonConnection
	if hemlockerror.KindOf[Kind](err) == KindCapacity {
		reason = hemlockcall.ReasonUnavailable
	}
	return hemlockcall.Refuse(contextReason(ctx, reason), err.Error())
}

// contextReason returns why the context ended, or the fallback while it has not ended.
func contextReason(ctx context.Context, fallback hemlockcall.Reason) hemlockcall.Reason {
	switch ctx.Err() {
	case nil:
		return fallback
	case context.DeadlineExceeded:
		return hemlockcall.ReasonDeadline
	default:
		return hemlockcall.ReasonCancelled
	}
}

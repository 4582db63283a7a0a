package hemlockpeer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
	"hemlockhollow/hemlockresponse"
)

const (
	// probeAfter is how long a peer with pending calls may send nothing before it gets a probe. A peer that runs calls
	// sends a response every few milliseconds, so probes are rare.
	probeAfter = 300 * time.Millisecond
	// brokenAfter is how long a peer with pending calls may send nothing before the connection counts as broken. The probe
	// then had about 600 ms for its response, several times the round trip between zones and the pauses of a busy host.
	brokenAfter = 900 * time.Millisecond
)

// callResult is the outcome of a call: a response or an error.
type callResult struct {
	response *hemlockcall.RelayResponse
	err      error
}

// pendingCall is a call that has no result yet.
type pendingCall struct {
	// result has a buffer for the one result, so that the goroutine that sends it never blocks.
	result     chan callResult
	idempotent bool
	// response and body collect a response that is received in several parcels.
	response *hemlockcall.RelayResponse
	body     []byte
}

// relayConnection is a connection to a peer whose calls share one Carry stream. It is safe for concurrent use.
type relayConnection struct {
	queue       *sendQueue
	closeStream context.CancelFunc

	mutex sync.Mutex
	// calls are the pending calls by their number; nil after the connection has ended.
	calls map[uint64]*pendingCall
	// lastNumber is the number of the latest call.
	lastNumber uint64
	// lastReceived is when a message of the peer last arrived, or when a call began while no other was pending.
	lastReceived time.Time
	// lastBytes is when bytes of the peer last arrived, as a time.Duration since openedAt. A long message takes a while to arrive, and
	// its sender is not silent.
	lastBytes atomic.Int64
	openedAt  time.Time
	// probeSent is set when a probe was sent after lastReceived.
	probeSent bool
	// retired is set when the connection accepts no new calls. Pending calls that are not idempotent may still get their
	// response.
	retired bool
	monitor *livenessMonitor
	// monitored is set while the monitor checks this connection.
	monitored bool
}

func newRelayConnection(m *livenessMonitor, closeStream context.CancelFunc) *relayConnection {
	return &relayConnection{queue: newSendQueue(), closeStream: closeStream, calls: map[uint64]*pendingCall{},
		lastReceived: time.Now(), openedAt: time.Now(), monitor: m}
}

// markBytes records that bytes of the peer have arrived.
func (c *relayConnection) markBytes() {
	c.lastBytes.Store(int64(time.Since(c.openedAt)))
}

// receive handles what the peer sends until the stream fails.
func (c *relayConnection) receive(stream hemlockwire.DRPCNode_CarryStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := c.receiveBatch(batch.GetParcels()); err != nil {
			return err
		}
	}
}

func (c *relayConnection) receiveBatch(parcels []*hemlockwire.Parcel) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastReceived, c.probeSent = time.Now(), false
	for _, p := range parcels {
		if err := c.receiveParcel(p); err != nil {
			return err
		}
	}
	return nil
}

// receiveParcel is called with the lock held.
func (c *relayConnection) receiveParcel(p *hemlockwire.Parcel) error {
	call := c.calls[p.GetCall()]
	if call == nil {
		return nil // a call that has already ended here, or the response to a probe
	}
	if p.GetRefusal() != nil {
		refusal, err := decodeRefusal(p.GetRefusal(), 0)
		if err != nil {
			return err
		}
		refusal.SentByNode = true
		c.complete(p.GetCall(), callResult{err: refusal})
		return nil
	}
	if p.GetAnswer() != nil {
		response, err := decodeRelayResponse(p.GetAnswer())
		if err != nil {
			return err
		}
		if err := hemlockresponse.CheckHeadLines(response.Status, string(response.Header)); err != nil {
			// The messages of the peer are sound, so only this call fails.
			c.complete(p.GetCall(), callResult{err: hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, err.Error())})
			return nil
		}
		call.response = response
	}
	if call.response == nil {
		return violation("receive response", "body part before the head of its response")
	}
	if call.body == nil && !p.GetMore() {
		call.body = p.GetBody()
	} else {
		call.body = append(call.body, p.GetBody()...)
	}
	if !p.GetMore() {
		call.response.Body = call.body
		c.complete(p.GetCall(), callResult{response: call.response})
	}
	return nil
}

// complete passes the result of a call to its caller. It is called with the lock held.
func (c *relayConnection) complete(number uint64, r callResult) {
	call := c.calls[number]
	if call == nil {
		return
	}
	delete(c.calls, number)
	call.result <- r
	if c.retired && len(c.calls) == 0 {
		c.closeStream()
	}
}

// beginCall registers a call; it returns false when the connection accepts no calls.
func (c *relayConnection) beginCall(idempotent bool) (uint64, *pendingCall, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.calls == nil || c.retired {
		return 0, nil, false
	}
	c.lastNumber++
	call := &pendingCall{result: make(chan callResult, 1), idempotent: idempotent}
	if len(c.calls) == 0 {
		// Without pending calls the peer had nothing to send, so its silence counts from now on.
		c.lastReceived = time.Now()
	}
	c.calls[c.lastNumber] = call
	if !c.monitored {
		c.monitored = true
		c.monitor.add(c)
	}
	return c.lastNumber, call, true
}

// checkLiveness sends a probe to a silent peer, and retires the connection when the peer stays silent. It returns false
// when no call is pending.
func (c *relayConnection) checkLiveness() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.calls) == 0 {
		c.monitored = false
		return false
	}
	silence := min(time.Since(c.lastReceived), time.Since(c.openedAt)-time.Duration(c.lastBytes.Load()))
	switch {
	case silence >= brokenAfter && c.probeSent:
		c.retire("the peer did not respond to a probe")
	case silence >= probeAfter && !c.probeSent:
		c.probeSent = true
		c.queue.putProbe(probeRequest)
	}
	return true
}

// retire makes the connection accept no new calls. Pending calls that were not sent completely or are idempotent end
// immediately, so that they can be retried elsewhere; the others may still get their response. It is called with the lock held.
func (c *relayConnection) retire(detail string) {
	if c.retired {
		return
	}
	c.retired = true
	for number, call := range c.calls {
		if c.queue.remove(number) {
			c.cancelAtPeer(number) // a part of the body may have been sent
			c.complete(number, callResult{err: hemlockcall.Refuse(hemlockcall.ReasonConnection, detail)})
		} else if call.idempotent {
			c.complete(number, callResult{err: hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, detail)})
		}
	}
	if len(c.calls) == 0 {
		c.closeStream()
	}
}

// fail ends all pending calls after the stream has failed: those that were not sent as not run, the others with an
// unknown outcome.
func (c *relayConnection) fail(detail string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for number := range c.calls {
		refusal := hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, detail)
		if c.queue.remove(number) {
			refusal = hemlockcall.Refuse(hemlockcall.ReasonConnection, detail)
		}
		c.complete(number, callResult{err: refusal})
	}
	c.calls = nil
	c.queue.close()
}

// usable reports whether the connection accepts calls.
func (c *relayConnection) usable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls != nil && !c.retired
}

// relay sends one call to the peer and waits for its result.
func (c *relayConnection) relay(ctx context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	number, pending, ok := c.beginCall(call.Idempotent)
	if !ok {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonConnection, "the connection to the peer has ended")
	}
	request := &hemlockwire.Parcel{Call: number, Request: encodeRelayRequest(call)}
	if err := c.queue.put(splitBody(request, call.Body)...); err != nil {
		c.removeCall(number)
		return nil, hemlockcall.Refuse(hemlockcall.ReasonConnection, err.Error())
	}
	select {
	case r := <-pending.result:
		return r.response, r.err
	case <-ctx.Done():
		return nil, c.cancelCall(ctx, number, pending)
	}
}

// withdraw ends the calls that were not sent completely, and makes the peer refuse those that it has not passed to its target, also
// those that arrive there later.
func (c *relayConnection) withdraw() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for number := range c.calls {
		if c.queue.remove(number) {
			c.cancelAtPeer(number) // a part of the body may have been sent
			c.complete(number, callResult{err: hemlockcall.RefuseWithdrawn()})
		}
	}
	// A parcel without a body is only dropped when the stream has ended, which ends the calls too.
	_ = c.queue.put(&hemlockwire.Parcel{Withdraw: true})
}

// cancelCall cancels a call whose context has ended, here and at the peer, and returns its refusal. A response that has
// arrived in the meantime is dropped, because its caller no longer waits; a refusal that has arrived is returned.
func (c *relayConnection) cancelCall(ctx context.Context, number uint64, pending *pendingCall) error {
	c.removeCall(number)
	reason := contextReason(ctx, hemlockcall.ReasonCancelled)
	if c.queue.remove(number) {
		c.cancelAtPeer(number) // a part of the body may have been sent
		return hemlockcall.Refuse(reason, "cancelled or deadline exceeded before the call was sent completely")
	}
	select {
	case r := <-pending.result:
		if r.err != nil {
			return r.err
		}
	default:
		c.cancelAtPeer(number)
	}
	return hemlockcall.RefuseUnknown(reason, "cancelled or deadline exceeded while the call was in flight")
}

// cancelAtPeer makes the peer drop a call. A parcel without a body is only dropped when the stream has ended, which cancels the call
// at the peer too.
func (c *relayConnection) cancelAtPeer(number uint64) {
	_ = c.queue.put(&hemlockwire.Parcel{Call: number, Cancel: true})
}

func (c *relayConnection) removeCall(number uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.calls, number)
	if c.retired && len(c.calls) == 0 {
		c.closeStream()
	}
}

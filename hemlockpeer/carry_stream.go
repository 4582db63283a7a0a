package hemlockpeer

import (
	"context"
	"sync"
	"sync/atomic"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockmemory"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// WithRelayer sets the relayer that executes the calls of Carry streams.
func WithRelayer(relayer hemlockcall.Relayer) Option {
	return func(s *settings) { s.relayer = relayer }
}

// Carry implements hemlockwire.DRPCNodeServer.
func (s *service) Carry(stream hemlockwire.DRPCNode_CarryStream) error {
	if s.server.settings.relayer == nil {
		return notServed("carry")
	}
	disableManualFlush(stream)
	return newCarryStream(s.server).serve(stream)
}

// WithMemoryBudget sets the budget for the bodies of the calls of Carry streams. The default is 256 MiB for the server alone.
func WithMemoryBudget(budget *hemlockmemory.Budget) Option {
	return func(s *settings) { s.memory = budget }
}

// defaultMemory is the budget for bodies in bytes if WithMemoryBudget is not used.
const defaultMemory = 256 << 20

// incompleteCall is a call whose request body has not been received completely.
type incompleteCall struct {
	head   *hemlockwire.RelayRequest
	body   []byte
	memory *hemlockmemory.Reservation
}

// carryStream serves one Carry stream of a peer, which multiplexes many calls.
type carryStream struct {
	server *Server
	queue  *sendQueue
	// number identifies the connection among all of this process; never 0.
	number uint64
	// incomplete are the calls whose body is being received, by their number. Only the receiving goroutine uses it.
	incomplete map[uint64]*incompleteCall

	mutex sync.Mutex
	// cancels are the functions that cancel the running calls, by the number of the call.
	cancels map[uint64]context.CancelFunc
	// withdrawn is closed once the peer has withdrawn its calls; only the receiving goroutine closes it.
	withdrawn chan struct{}
}

// lastCarryStream is the number of the latest Carry stream of this process.
var lastCarryStream atomic.Uint64

func newCarryStream(server *Server) *carryStream {
	return &carryStream{server: server, queue: newSendQueue(), number: lastCarryStream.Add(1), cancels: map[uint64]context.CancelFunc{},
		incomplete: map[uint64]*incompleteCall{}, withdrawn: make(chan struct{})}
}

func (c *carryStream) serve(stream hemlockwire.DRPCNode_CarryStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel() // cancels the running calls, because the peer can no longer receive their responses
	defer c.queue.close()
	defer c.releaseIncomplete()
	go func() {
		if c.queue.run(stream, ctx.Done()) != nil {
			cancel()
		}
	}()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, p := range batch.GetParcels() {
			c.handleParcel(ctx, p)
		}
	}
}

func (c *carryStream) handleParcel(ctx context.Context, p *hemlockwire.Parcel) {
	switch {
	case p.GetProbe() == probeRequest:
		c.queue.putProbe(probeResponse)
	case p.GetCancel():
		c.dropIncomplete(p.GetCall())
		c.cancel(p.GetCall())
	case p.GetWithdraw():
		c.withdraw()
	case p.GetRequest() != nil:
		c.beginCall(ctx, p)
	default:
		c.appendBody(ctx, p)
	}
}

// beginCall handles the first parcel of a call. It starts the call, unless further parts of its body follow.
func (c *carryStream) beginCall(ctx context.Context, p *hemlockwire.Parcel) {
	memory, err := c.server.settings.memory.Reserve(int64(len(p.GetBody())))
	call := &incompleteCall{head: p.GetRequest(), body: p.GetBody(), memory: memory}
	switch {
	case err != nil:
		c.refuseForMemory(p.GetCall(), call)
	case p.GetMore():
		c.dropIncomplete(p.GetCall()) // a correct peer does not use a number twice
		c.incomplete[p.GetCall()] = call
	default:
		c.start(ctx, p.GetCall(), call)
	}
}

// refuseForMemory refuses a call whose body does not fit into the memory. It has not been passed on.
func (c *carryStream) refuseForMemory(number uint64, call *incompleteCall) {
	call.memory.Release()
	c.reply(number, nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, hemlockmemory.ErrFull.Error()))
}

// dropIncomplete forgets a call whose body has not been received completely. Its further parts are dropped.
func (c *carryStream) dropIncomplete(number uint64) {
	if call := c.incomplete[number]; call != nil {
		call.memory.Release()
		delete(c.incomplete, number)
	}
}

func (c *carryStream) releaseIncomplete() {
	for number := range c.incomplete {
		c.dropIncomplete(number)
	}
}

// appendBody appends a further body part to an incomplete call, and starts the call after the last part. Parts of a
// cancelled call are dropped.
func (c *carryStream) appendBody(ctx context.Context, p *hemlockwire.Parcel) {
	call := c.incomplete[p.GetCall()]
	if call == nil {
		return
	}
	if call.memory.Grow(int64(len(p.GetBody()))) != nil {
		delete(c.incomplete, p.GetCall())
		c.refuseForMemory(p.GetCall(), call)
		return
	}
	call.body = append(call.body, p.GetBody()...)
	if !p.GetMore() {
		delete(c.incomplete, p.GetCall())
		c.start(ctx, p.GetCall(), call)
	}
}

// start runs a call whose body is complete, and releases its memory at the end.
func (c *carryStream) start(ctx context.Context, number uint64, received *incompleteCall) {
	call := decodeRelayRequest(received.head)
	call.Body = received.body
	ctx, cancel := context.WithTimeout(ctx, call.Remaining)
	call.Withdrawn, call.Connection = c.withdrawn, c.number
	c.mutex.Lock()
	c.cancels[number] = cancel
	c.mutex.Unlock()
	accepted := c.server.beginCall()
	go func() {
		defer c.finish(number, cancel, accepted)
		defer received.memory.Release()
		var response *hemlockcall.RelayResponse
		var err error = hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the node is leaving")
		if accepted {
			if panicked := hemlockcall.RecoverPanic(func() { response, err = c.server.settings.relayer.Relay(ctx, call) }); panicked != nil {
				err = hemlockcall.RefuseUnknown(hemlockcall.ReasonPanic, panicked.Error())
			}
		}
		c.reply(number, response, err)
	}()
}

func (c *carryStream) reply(number uint64, response *hemlockcall.RelayResponse, err error) {
	if err != nil {
		// A parcel without a body is only dropped when the stream has ended; the peer then treats the outcome as unknown.
		_ = c.queue.put(&hemlockwire.Parcel{Call: number, Refusal: encodeRefusal(hemlockcall.AsRefusal(err))})
		return
	}
	err = c.queue.put(splitBody(&hemlockwire.Parcel{Call: number, Answer: encodeRelayResponse(response)}, response.Body)...)
	if hemlockerror.KindOf[Kind](err) == KindCapacity {
		// The peer does not read fast enough. It gets a refusal in place of the response, so that the caller need not wait until its
		// deadline.
		c.reply(number, nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, "the response was dropped: "+err.Error()))
	}
}

func (c *carryStream) finish(number uint64, cancel context.CancelFunc, accepted bool) {
	cancel()
	c.mutex.Lock()
	delete(c.cancels, number)
	c.mutex.Unlock()
	if accepted {
		c.server.endCall()
	}
}

func (c *carryStream) cancel(number uint64) {
	c.mutex.Lock()
	cancel := c.cancels[number]
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *carryStream) withdraw() {
	select {
	case <-c.withdrawn:
	default:
		close(c.withdrawn)
	}
}

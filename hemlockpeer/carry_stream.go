package hemlockpeer

import (
	"context"
	"sync"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
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
	c := &carryStream{server: s.server, queue: newSendQueue(), cancels: map[uint64]context.CancelFunc{},
		incomplete: map[uint64]*incompleteCall{}}
	return c.serve(stream)
}

// incompleteCall is a call whose request body has not been received completely.
type incompleteCall struct {
	head *hemlockwire.RelayRequest
	body []byte
}

// carryStream serves one Carry stream of a peer, which multiplexes many calls.
type carryStream struct {
	server *Server
	queue  *sendQueue
	// incomplete are the calls whose body is being received, by their number. Only the receiving goroutine uses it.
	incomplete map[uint64]*incompleteCall

	mutex sync.Mutex
	// cancels are the functions that cancel the running calls, by the number of the call.
	cancels map[uint64]context.CancelFunc
}

func (c *carryStream) serve(stream hemlockwire.DRPCNode_CarryStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel() // cancels the running calls, because the peer can no longer receive their responses
	defer c.queue.close()
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
		delete(c.incomplete, p.GetCall())
		c.cancel(p.GetCall())
	case p.GetRequest() != nil && p.GetMore():
		c.incomplete[p.GetCall()] = &incompleteCall{head: p.GetRequest(), body: p.GetBody()}
	case p.GetRequest() != nil:
		c.start(ctx, p.GetCall(), p.GetRequest(), p.GetBody())
	default:
		c.appendBody(ctx, p)
	}
}

// appendBody appends a further body part to an incomplete call, and starts the call after the last part. Parts of a
// cancelled call are dropped.
func (c *carryStream) appendBody(ctx context.Context, p *hemlockwire.Parcel) {
	call := c.incomplete[p.GetCall()]
	if call == nil {
		return
	}
	call.body = append(call.body, p.GetBody()...)
	if !p.GetMore() {
		delete(c.incomplete, p.GetCall())
		c.start(ctx, p.GetCall(), call.head, call.body)
	}
}

func (c *carryStream) start(ctx context.Context, number uint64, head *hemlockwire.RelayRequest, body []byte) {
	call := decodeRelayRequest(head)
	call.Body = body
	ctx, cancel := context.WithTimeout(ctx, call.Remaining)
	c.mutex.Lock()
	c.cancels[number] = cancel
	c.mutex.Unlock()
	accepted := c.server.beginCall()
	go func() {
		defer c.finish(number, cancel, accepted)
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

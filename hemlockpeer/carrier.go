package hemlockpeer

import (
	"context"
	"sync"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// WithRelayer sets how a server carries out the calls of Carry streams.
func WithRelayer(relayer hemlockcall.Relayer) Option {
	return func(s *settings) { s.relayer = relayer }
}

// Carry implements hemlockwire.DRPCNodeServer.
func (s *service) Carry(stream hemlockwire.DRPCNode_CarryStream) error {
	if s.server.settings.relayer == nil {
		return unset("carry")
	}
	c := &carrier{server: s.server, out: newOutbox(), running: map[uint64]context.CancelFunc{},
		partial: map[uint64]*partialCall{}}
	return c.serve(stream)
}

// partialCall is a call whose body is still arriving.
type partialCall struct {
	head *hemlockwire.RelayRequest
	body []byte
}

// carrier serves one Carry stream of a peer.
type carrier struct {
	server *Server
	out    *outbox
	// partial belongs to the receiving goroutine.
	partial map[uint64]*partialCall

	mutex sync.Mutex
	// running holds the calls that are being carried out, to cancel them.
	running map[uint64]context.CancelFunc
}

func (c *carrier) serve(stream hemlockwire.DRPCNode_CarryStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel() // cancels the calls that a vanished peer no longer waits for
	defer c.out.close()
	go func() {
		if c.out.run(stream, ctx.Done()) != nil {
			cancel()
		}
	}()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, p := range batch.GetParcels() {
			c.take(ctx, p)
		}
	}
}

func (c *carrier) take(ctx context.Context, p *hemlockwire.Parcel) {
	switch {
	case p.GetProbe() == probeAsk:
		c.out.putProbe(probeAnswer)
	case p.GetCancel():
		delete(c.partial, p.GetCall())
		c.cancel(p.GetCall())
	case p.GetRequest() != nil && p.GetMore():
		c.partial[p.GetCall()] = &partialCall{head: p.GetRequest(), body: p.GetBody()}
	case p.GetRequest() != nil:
		c.start(ctx, p.GetCall(), p.GetRequest(), p.GetBody())
	default:
		c.extend(ctx, p)
	}
}

// extend takes a further part of a body. Parts of a call that was cancelled are dropped.
func (c *carrier) extend(ctx context.Context, p *hemlockwire.Parcel) {
	partial := c.partial[p.GetCall()]
	if partial == nil {
		return
	}
	partial.body = append(partial.body, p.GetBody()...)
	if !p.GetMore() {
		delete(c.partial, p.GetCall())
		c.start(ctx, p.GetCall(), partial.head, partial.body)
	}
}

func (c *carrier) start(ctx context.Context, number uint64, head *hemlockwire.RelayRequest, body []byte) {
	call := decodeRelay(head)
	call.Body = body
	ctx, cancel := context.WithTimeout(ctx, call.Remaining)
	c.mutex.Lock()
	c.running[number] = cancel
	c.mutex.Unlock()
	counted := c.server.begin()
	go func() {
		defer c.finish(number, cancel, counted)
		var answer *hemlockcall.RelayResponse
		var err error = hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the node is stopping")
		if counted {
			if fault := hemlockcall.RecoverPanic(func() { answer, err = c.server.settings.relayer.Relay(ctx, call) }); fault != nil {
				err = hemlockcall.RefuseUnknown(hemlockcall.ReasonFault, fault.Error())
			}
		}
		c.reply(number, answer, err)
	}()
}

func (c *carrier) reply(number uint64, answer *hemlockcall.RelayResponse, err error) {
	if err != nil {
		// A put fails only when the stream has ended; the peer then knows that the outcome is unknown.
		_ = c.out.put(&hemlockwire.Parcel{Call: number, Refusal: encodeRefusal(hemlockcall.AsRefusal(err))})
		return
	}
	_ = c.out.put(partsOf(&hemlockwire.Parcel{Call: number, Answer: encodeRelayAnswer(answer)}, answer.Body)...)
}

func (c *carrier) finish(number uint64, cancel context.CancelFunc, counted bool) {
	cancel()
	c.mutex.Lock()
	delete(c.running, number)
	c.mutex.Unlock()
	if counted {
		c.server.done()
	}
}

func (c *carrier) cancel(number uint64) {
	c.mutex.Lock()
	cancel := c.running[number]
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

package hemlockpeer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlocknet"
)

// connection is a drpc connection whose transport counts writes.
type connection struct {
	*drpcconn.Conn
	transport *hemlocknet.Conn
}

// places bounds the concurrent use of one peer. Control messages have their own places, so that slow calls never
// hold them up.
type places struct {
	calls    chan struct{}
	controls chan struct{}
	// users counts those who hold or await a place; the entry is removed at zero, because addresses change for ever.
	users int
}

// pool keeps the idle connections of all peers and bounds their use.
type pool struct {
	settings settings
	idle     *drpcpool.Pool[string, *connection]

	mutex  sync.Mutex
	peers  map[string]*places
	closed bool
}

func newPool(s settings) *pool {
	return &pool{
		settings: s,
		idle: drpcpool.New[string, *connection](drpcpool.Options{
			Expiration:  s.idle,
			KeyCapacity: s.connections + s.controls,
		}),
		peers: make(map[string]*places),
	}
}

// enter waits for a place and returns the function that frees it.
func (p *pool) enter(ctx context.Context, address string, control bool) (func(), error) {
	peer, err := p.join(address)
	if err != nil {
		return nil, err
	}
	queue := peer.calls
	if control {
		queue = peer.controls
	}
	select {
	case queue <- struct{}{}:
	default:
		if err := p.wait(ctx, queue); err != nil {
			p.leave(address, peer)
			return nil, err
		}
	}
	return func() {
		<-queue
		p.leave(address, peer)
	}, nil
}

func (p *pool) wait(ctx context.Context, queue chan struct{}) error {
	timer := time.NewTimer(p.settings.poolWait)
	defer timer.Stop()
	select {
	case queue <- struct{}{}:
		return nil
	case <-timer.C:
		return hemlockerror.New("connect", KindCapacity, "no free connection to the peer")
	case <-ctx.Done():
		return hemlockerror.Wrap("connect", KindCapacity, ctx.Err())
	}
}

func (p *pool) join(address string) (*places, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, hemlockerror.New("connect", KindClosed, "client was closed")
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &places{
			calls:    make(chan struct{}, p.settings.connections),
			controls: make(chan struct{}, p.settings.controls),
		}
		p.peers[address] = peer
	}
	peer.users++
	return peer, nil
}

func (p *pool) leave(address string, peer *places) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer.users--
	if peer.users == 0 {
		delete(p.peers, address)
	}
}

// take returns an idle connection or opens one. The caller holds a place.
func (p *pool) take(ctx context.Context, address string) (*connection, error) {
	if idle, ok := p.idle.Take(address); ok {
		return idle, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.connectTimeout)
	defer cancel()
	transport, err := p.settings.dial(ctx, "tcp", address)
	if err != nil {
		return nil, hemlockerror.Wrap("connect", KindConnection, err)
	}
	counted := hemlocknet.NewConn(transport)
	return &connection{
		Conn:      drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions(0)}),
		transport: counted,
	}, nil
}

// put keeps a connection whose last call has ended in a known state.
func (p *pool) put(address string, c *connection) {
	p.idle.Put(address, c)
	p.mutex.Lock()
	closed := p.closed
	p.mutex.Unlock()
	if closed {
		_ = p.idle.Close()
	}
}

// forget closes the idle connections to a peer.
func (p *pool) forget(address string) {
	for {
		c, ok := p.idle.Take(address)
		if !ok {
			return
		}
		_ = c.Close()
	}
}

func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	_ = p.idle.Close()
}

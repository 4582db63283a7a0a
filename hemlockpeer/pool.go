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

// pooledConnection is a drpc connection whose transport counts writes: a call after which the count is unchanged was not
// sent.
type pooledConnection struct {
	*drpcconn.Conn
	transport *hemlocknet.Conn
}

// peerPermits are the semaphores that limit the concurrent use of one peer. Control messages have their own, so that slow
// calls never delay them.
type peerPermits struct {
	calls           chan struct{}
	controlMessages chan struct{}
	// users is the number of goroutines that hold or await a permit. The entry of the peer is deleted at zero, because
	// peers with new addresses appear for as long as the process runs.
	users int
}

// pool keeps the idle connections to all peers and limits their concurrent use. It is safe for concurrent use.
type pool struct {
	settings settings
	idle     *drpcpool.Pool[string, *pooledConnection]

	mutex  sync.Mutex
	peers  map[string]*peerPermits
	closed bool
}

func newPool(s settings) *pool {
	return &pool{
		settings: s,
		idle: drpcpool.New[string, *pooledConnection](drpcpool.Options{
			Expiration:  s.idleTimeout,
			KeyCapacity: s.maxConnections + s.maxControlMessages,
		}),
		peers: make(map[string]*peerPermits),
	}
}

// acquire waits for a permit to use a peer, for a control message or for a call, and returns the function that releases it.
func (p *pool) acquire(ctx context.Context, address string, control bool) (func(), error) {
	peer, err := p.addUser(address)
	if err != nil {
		return nil, err
	}
	semaphore := peer.calls
	if control {
		semaphore = peer.controlMessages
	}
	select {
	case semaphore <- struct{}{}:
	default:
		if err := p.waitForPermit(ctx, semaphore); err != nil {
			p.removeUser(address, peer)
			return nil, err
		}
	}
	return func() {
		<-semaphore
		p.removeUser(address, peer)
	}, nil
}

func (p *pool) waitForPermit(ctx context.Context, semaphore chan struct{}) error {
	timer := time.NewTimer(p.settings.poolTimeout)
	defer timer.Stop()
	select {
	case semaphore <- struct{}{}:
		return nil
	case <-timer.C:
		return hemlockerror.New("connect", KindCapacity, "no free connection to the peer")
	case <-ctx.Done():
		return hemlockerror.Wrap("connect", KindCapacity, ctx.Err())
	}
}

func (p *pool) addUser(address string) (*peerPermits, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, hemlockerror.New("connect", KindClosed, "client was closed")
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &peerPermits{
			calls:           make(chan struct{}, p.settings.maxConnections),
			controlMessages: make(chan struct{}, p.settings.maxControlMessages),
		}
		p.peers[address] = peer
	}
	peer.users++
	return peer, nil
}

func (p *pool) removeUser(address string, peer *peerPermits) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer.users--
	if peer.users == 0 {
		delete(p.peers, address)
	}
}

// get returns an idle connection or opens one. The caller holds a permit of the peer.
func (p *pool) get(ctx context.Context, address string) (*pooledConnection, error) {
	if idle, ok := p.idle.Take(address); ok {
		return idle, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.connectTimeout)
	defer cancel()
	transport, err := p.settings.dial(ctx, "tcp", address)
	if err != nil {
		return nil, hemlockerror.Wrap("connect", KindConnection, err)
	}
	counting := hemlocknet.NewConn(transport)
	return &pooledConnection{
		Conn:      drpcconn.NewWithOptions(counting, drpcconn.Options{Manager: managerOptions(0)}),
		transport: counting,
	}, nil
}

// put makes a connection available again. The stream of its last call must have ended without error on both sides.
func (p *pool) put(address string, c *pooledConnection) {
	p.idle.Put(address, c)
	p.mutex.Lock()
	closed := p.closed
	p.mutex.Unlock()
	if closed {
		// The connection may have been put back after close had closed the idle ones.
		_ = p.idle.Close()
	}
}

// closeIdle closes the idle connections to a peer.
func (p *pool) closeIdle(address string) {
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

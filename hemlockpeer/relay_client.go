package hemlockpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// dialBackoff is how long after a failed attempt to connect to a peer calls to it are refused without another attempt, so
// that they go elsewhere without waiting for another connect timeout.
const dialBackoff = 250 * time.Millisecond

// RelayClient relays calls to peers, over one long-lived connection to each. It is safe for concurrent use. Lock order:
// its mutex is locked before that of a relayPeer, and that one before the mutex of a relayConnection.
type RelayClient struct {
	settings settings
	monitor  *livenessMonitor
	// withdrawn is set by Withdraw.
	withdrawn atomic.Bool

	mutex sync.Mutex
	peers map[string]*relayPeer
}

// relayPeer holds the connection to one peer and the state of its last attempt to connect.
type relayPeer struct {
	mutex sync.Mutex
	// current is nil before the first connection and after a failed attempt to connect.
	current *relayConnection
	// opening is closed when the running attempt to connect has ended; nil when none is running.
	opening chan struct{}
	// dialError is the error of the last attempt to connect, or nil, and failedAt the time at which that attempt ended.
	dialError error
	failedAt  time.Time
	// removed is set by CloseOthers and never reset; calls that still wait here are refused.
	removed bool
}

// NewRelayClient returns a client without connections.
func NewRelayClient(options ...Option) *RelayClient {
	return &RelayClient{settings: newSettings(options), monitor: newLivenessMonitor(), peers: map[string]*relayPeer{}}
}

// Relay sends a call to the node with the given address, which relays it to its target, and returns the response.
func (c *RelayClient) Relay(ctx context.Context, address string, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	connection, err := c.peer(address).get(ctx, c, address)
	if err != nil {
		return nil, hemlockcall.Refuse(contextReason(ctx, hemlockcall.ReasonConnection), err.Error())
	}
	if c.withdrawn.Load() {
		return nil, hemlockcall.RefuseWithdrawn()
	}
	return connection.relay(ctx, call)
}

// Withdraw withdraws all calls: those that no peer has passed to its target are refused as not run, now and from now on. The others
// keep their response. A stopping node calls it once it begins nothing more.
func (c *RelayClient) Withdraw() {
	c.withdrawn.Store(true)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.peers {
		p.mutex.Lock()
		if p.current != nil {
			p.current.withdraw()
		}
		p.mutex.Unlock()
	}
}

func (c *RelayClient) peer(address string) *relayPeer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &relayPeer{}
		c.peers[address] = p
	}
	return p
}

// CloseOthers closes the connections to peers whose addresses are not in keep. A call in flight on such a connection ends,
// unless it has been sent and is not idempotent; the connection stays open until the last of these sent calls has ended.
func (c *RelayClient) CloseOthers(keep map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, p := range c.peers {
		if keep[address] {
			continue
		}
		delete(c.peers, address)
		p.mutex.Lock()
		p.removed = true
		p.retireCurrent()
		p.mutex.Unlock()
	}
}

// retireCurrent retires the current connection, if there is one. It is called with the lock held.
func (p *relayPeer) retireCurrent() {
	if p.current == nil {
		return
	}
	p.current.mutex.Lock()
	defer p.current.mutex.Unlock()
	p.current.retire("the connection to the peer was closed")
}

// get returns the current connection. If there is none, it waits for the running attempt to connect or starts one.
func (p *relayPeer) get(ctx context.Context, client *RelayClient, address string) (*relayConnection, error) {
	for {
		p.mutex.Lock()
		if p.current != nil && p.current.usable() {
			current := p.current
			p.mutex.Unlock()
			return current, nil
		}
		if p.removed {
			p.mutex.Unlock()
			return nil, hemlockerror.New("connect", KindClosed, "the connection to the peer was closed")
		}
		if p.opening == nil {
			if p.dialError != nil && time.Since(p.failedAt) < dialBackoff {
				p.mutex.Unlock()
				return nil, p.dialError
			}
			p.opening = make(chan struct{})
			go p.open(client, address, p.opening)
		}
		opening := p.opening
		p.mutex.Unlock()
		select {
		case <-opening:
		case <-ctx.Done():
			return nil, hemlockerror.Wrap("connect", KindConnection, ctx.Err())
		}
	}
}

// open connects to the peer. It runs in a goroutine of its own, because the connection serves all waiting calls, even if
// the one that started the attempt is cancelled.
func (p *relayPeer) open(client *RelayClient, address string, opening chan struct{}) {
	connection, err := client.connect(address)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.current, p.dialError, p.failedAt = connection, err, time.Now()
	p.opening = nil
	if p.removed {
		p.retireCurrent()
	}
	close(opening)
}

func (c *RelayClient) connect(address string) (*relayConnection, error) {
	s := c.settings
	dialContext, cancelDial := context.WithTimeout(context.Background(), s.connectTimeout)
	defer cancelDial()
	transport, err := s.dial(dialContext, "tcp", address)
	if err != nil {
		return nil, hemlockerror.Wrap("connect", KindConnection, err)
	}
	observed := &observedConn{Conn: transport}
	connection := drpcconn.NewWithOptions(observed, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := hemlockwire.NewDRPCNodeClient(connection).Carry(ctx)
	if err != nil {
		cancel()
		_ = connection.Close()
		return nil, hemlockerror.Wrap("connect", KindConnection, err)
	}
	created := newRelayConnection(c.monitor, func() {
		cancel()
		_ = transport.Close()
	})
	observed.relay.Store(created)
	go func() {
		if created.queue.run(stream, ctx.Done()) != nil {
			created.closeStream()
		}
	}()
	go func() {
		var err error
		if panicked := hemlockcall.RecoverPanic(func() { err = created.receive(stream) }); panicked != nil {
			s.onPanic(panicked)
			err = panicked
		}
		created.fail("the connection to the peer failed: " + err.Error())
		created.closeStream()
		_ = connection.Close()
	}()
	return created, nil
}

// observedConn tells a relayConnection when bytes of the peer arrive.
type observedConn struct {
	net.Conn
	relay atomic.Pointer[relayConnection]
}

// Read implements net.Conn.
func (o *observedConn) Read(into []byte) (int, error) {
	n, err := o.Conn.Read(into)
	if relay := o.relay.Load(); relay != nil && n > 0 {
		relay.markBytes()
	}
	return n, err
}

// Close closes the connections to all peers as CloseOthers does.
func (c *RelayClient) Close() {
	c.CloseOthers(nil)
}

package hemlockpeer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// dialPause is how long calls to a peer are refused at once after a connection to it could not be opened, so that
// they go elsewhere without waiting for the same time-out.
const dialPause = 250 * time.Millisecond

// RelayClient carries calls to peers, over one long-lived connection to each. It is safe for concurrent use; its mutex comes
// before that of a peerLink.
type RelayClient struct {
	settings settings
	watch    *watch

	mutex sync.Mutex
	peers map[string]*peerLink
}

// peerLink is the way to one peer.
type peerLink struct {
	mutex sync.Mutex
	// current is nil before the first connection.
	current *link
	// opening is closed when the attempt under way has ended; nil without one.
	opening  chan struct{}
	failure  error
	failedAt time.Time
}

// NewRelayClient returns links without connections.
func NewRelayClient(options ...Option) *RelayClient {
	return &RelayClient{settings: newSettings(options), watch: newWatch(), peers: map[string]*peerLink{}}
}

// Relay carries a call out at the node beside the target with the given address.
func (l *RelayClient) Relay(ctx context.Context, address string, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	current, err := l.peer(address).get(ctx, l, address)
	if err != nil {
		return nil, hemlockcall.Refuse(contextReason(ctx, hemlockcall.ReasonConnection), err.Error())
	}
	return current.relay(ctx, call)
}

func (l *RelayClient) peer(address string) *peerLink {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.peers[address]
	if p == nil {
		p = &peerLink{}
		l.peers[address] = p
	}
	return p
}

// CloseOthers closes the connections to peers that are not in the list.
func (l *RelayClient) CloseOthers(keep map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, p := range l.peers {
		if keep[address] {
			continue
		}
		delete(l.peers, address)
		p.mutex.Lock()
		if p.current != nil {
			p.current.mutex.Lock()
			p.current.retire("the peer is gone")
			p.current.mutex.Unlock()
		}
		p.mutex.Unlock()
	}
}

// get returns the current link, waits for the attempt under way, or opens a connection.
func (p *peerLink) get(ctx context.Context, all *RelayClient, address string) (*link, error) {
	for {
		p.mutex.Lock()
		if p.current != nil && p.current.usable() {
			current := p.current
			p.mutex.Unlock()
			return current, nil
		}
		if p.opening == nil {
			if p.failure != nil && time.Since(p.failedAt) < dialPause {
				p.mutex.Unlock()
				return nil, p.failure
			}
			p.opening = make(chan struct{})
			go p.open(all, address, p.opening)
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

// open connects in a goroutine of its own: the attempt serves all calls that wait, also when its first caller leaves.
func (p *peerLink) open(all *RelayClient, address string, opened chan struct{}) {
	fresh, err := all.connect(address)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.current, p.failure, p.failedAt = fresh, err, time.Now()
	p.opening = nil
	close(opened)
}

func (l *RelayClient) connect(address string) (*link, error) {
	s := l.settings
	opening, cancelDial := context.WithTimeout(context.Background(), s.connectTimeout)
	defer cancelDial()
	transport, err := s.dial(opening, "tcp", address)
	if err != nil {
		return nil, hemlockerror.Wrap("connect", KindConnection, err)
	}
	connection := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessage},
		Stream: drpcstream.Options{ManualFlush: true},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := hemlockwire.NewDRPCNodeClient(connection).Carry(ctx)
	if err != nil {
		cancel()
		_ = connection.Close()
		return nil, hemlockerror.Wrap("connect", KindConnection, err)
	}
	fresh := newLink(l.watch, func() {
		cancel()
		_ = transport.Close()
	})
	go func() {
		if fresh.out.run(stream, ctx.Done()) != nil {
			fresh.stop()
		}
	}()
	go func() {
		var err error
		if fault := hemlockcall.RecoverPanic(func() { err = fresh.receive(stream) }); fault != nil {
			s.fault(fault)
			err = fault
		}
		fresh.broken("the connection to the peer broke: " + err.Error())
		fresh.stop()
		_ = connection.Close()
	}()
	return fresh, nil
}

// Close ends all connections.
func (l *RelayClient) Close() {
	l.CloseOthers(nil)
}

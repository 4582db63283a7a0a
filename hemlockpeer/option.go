package hemlockpeer

import (
	"context"
	"net"
	"time"

	"github.com/uber-go/tally/v4"

	"hemlockhollow/hemlockcall"
)

// Option changes a default of a Server or a Client.
type Option func(*settings)

type settings struct {
	scope         tally.Scope
	linger        time.Duration
	exchange      func(context.Context, GossipMessage) (GossipMessage, error)
	configuration func(context.Context, ConfigurationQuery) (ConfigurationAnswer, error)
	claim         func(context.Context, []ClaimChange) ([]bool, error)

	relayer hemlockcall.Relayer
	fault   func(error)

	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	connections    int
	controls       int
	idle           time.Duration
	connectTimeout time.Duration
	poolWait       time.Duration
}

func newSettings(options []Option) settings {
	s := settings{
		scope:  tally.NoopScope,
		fault:  func(error) {},
		linger: defaultLinger,
		dial:   (&net.Dialer{}).DialContext,
		// The bound keeps one slow peer from taking the memory of its callers.
		connections:    64,
		controls:       4,
		idle:           time.Minute,
		connectTimeout: 500 * time.Millisecond,
		poolWait:       100 * time.Millisecond,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

func (s *settings) countViolation() {
	s.scope.Counter("peer-violations").Inc(1)
}

// WithScope sets where counters go.
func WithScope(scope tally.Scope) Option {
	return func(s *settings) { s.scope = scope }
}

// WithPanicHandler sets what is called with a panic that ended a connection.
func WithPanicHandler(report func(error)) Option {
	return func(s *settings) { s.fault = report }
}

// WithLinger sets how long a server that is leaving goes on refusing calls after the last one.
func WithLinger(linger time.Duration) Option {
	return func(s *settings) { s.linger = linger }
}

// WithGossipHandler sets what a server does with a gossip message.
func WithGossipHandler(exchange func(context.Context, GossipMessage) (GossipMessage, error)) Option {
	return func(s *settings) { s.exchange = exchange }
}

// WithConfigurationHandler sets where a server reads the configuration in force; an empty body means none that is newer. The
// function may wait for a newer one as long as the query says.
func WithConfigurationHandler(fetch func(context.Context, ConfigurationQuery) (ConfigurationAnswer, error)) Option {
	return func(s *settings) { s.configuration = fetch }
}

// WithClaimHandler sets how a server carries out a batch of claim changes.
func WithClaimHandler(claim func(context.Context, []ClaimChange) ([]bool, error)) Option {
	return func(s *settings) { s.claim = claim }
}

// WithDial sets how a client opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = dial }
}

// WithMaxConnections bounds the calls of a client to one peer.
func WithMaxConnections(count int) Option {
	return func(s *settings) { s.connections = count }
}

// WithIdleTimeout sets how long a client keeps an unused connection; it stays below the inactivity limit of the server.
func WithIdleTimeout(idle time.Duration) Option {
	return func(s *settings) { s.idle = min(idle, inactivity/2) }
}

// WithConnectTimeout bounds the opening of a connection.
func WithConnectTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.connectTimeout = timeout }
}

// WithPoolTimeout bounds the wait for a place in the pool of a peer.
func WithPoolTimeout(wait time.Duration) Option {
	return func(s *settings) { s.poolWait = wait }
}

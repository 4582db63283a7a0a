package hemlockpeer

import (
	"context"
	"net"
	"time"

	"github.com/uber-go/tally/v4"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmemory"
)

// Option changes a default of a Server, a Client or a RelayClient.
type Option func(*settings)

type settings struct {
	scope                tally.Scope
	linger               time.Duration
	gossipHandler        func(context.Context, GossipMessage) (GossipMessage, error)
	configurationHandler func(context.Context, ConfigurationQuery) (ConfigurationResponse, error)
	claimHandler         func(context.Context, []ClaimChange) ([]bool, error)
	quotaHandler         QuotaHandler

	relayer hemlockcall.Relayer
	// memory limits the bodies of the calls of Carry streams.
	memory  *hemlockmemory.Budget
	onPanic func(error)
	// onAcceptFailure is called when a connection could not be accepted.
	onAcceptFailure func(error)

	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// maxConnections and maxControlMessages limit the concurrent calls and control messages to one peer.
	maxConnections     int
	maxControlMessages int
	// idleTimeout is how long an unused connection is kept.
	idleTimeout    time.Duration
	connectTimeout time.Duration
	poolTimeout    time.Duration
}

func newSettings(options []Option) settings {
	s := settings{
		scope:   tally.NoopScope,
		memory:  hemlockmemory.NewBudget(defaultMemory),
		onPanic: func(error) {}, onAcceptFailure: func(error) {},
		linger: defaultLinger,
		dial:   (&net.Dialer{}).DialContext,
		// The limit keeps one slow peer from using up the memory of the nodes that call it.
		maxConnections:     64,
		maxControlMessages: 4,
		idleTimeout:        time.Minute,
		connectTimeout:     500 * time.Millisecond,
		poolTimeout:        100 * time.Millisecond,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

func (s *settings) countViolation() {
	s.scope.Counter("peer-violations").Inc(1)
}

// WithScope sets the metrics scope in which protocol violations are counted.
func WithScope(scope tally.Scope) Option {
	return func(s *settings) { s.scope = scope }
}

// WithPanicHandler sets the function that is called with a panic that ended a connection.
func WithPanicHandler(handler func(error)) Option {
	return func(s *settings) { s.onPanic = handler }
}

// WithLinger sets how long a server that is shutting down must have refused no call before it closes its connections.
func WithLinger(linger time.Duration) Option {
	return func(s *settings) { s.linger = linger }
}

// WithGossipHandler sets the function that handles a gossip message and returns the reply.
func WithGossipHandler(handler func(context.Context, GossipMessage) (GossipMessage, error)) Option {
	return func(s *settings) { s.gossipHandler = handler }
}

// WithConfigurationHandler sets the function that returns the active configuration of the node; an empty body means that
// it is not newer than the version in the query. The function may wait for a newer one as long as the query allows.
func WithConfigurationHandler(handler func(context.Context, ConfigurationQuery) (ConfigurationResponse, error)) Option {
	return func(s *settings) { s.configurationHandler = handler }
}

// WithClaimHandler sets the function that executes a batch of claim changes and reports for each whether it was applied.
func WithClaimHandler(handler func(context.Context, []ClaimChange) ([]bool, error)) Option {
	return func(s *settings) { s.claimHandler = handler }
}

// WithDial sets how a client opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = dial }
}

// WithMaxConnections limits the concurrent calls of a client to one peer; each uses a connection of its own.
func WithMaxConnections(count int) Option {
	return func(s *settings) { s.maxConnections = count }
}

// WithIdleTimeout sets how long a client keeps an unused connection. A longer time than half of the server's
// inactivity timeout is reduced to that.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.idleTimeout = min(timeout, inactivityTimeout/2) }
}

// WithConnectTimeout limits the time to open a connection.
func WithConnectTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.connectTimeout = timeout }
}

// WithPoolTimeout limits how long a call waits while all connections to its peer are in use.
func WithPoolTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.poolTimeout = timeout }
}

// WithAcceptFailureHandler sets a callback for connections that could not be accepted. It must not block.
func WithAcceptFailureHandler(handler func(error)) Option {
	return func(s *settings) { s.onAcceptFailure = handler }
}

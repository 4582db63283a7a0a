// Package hemlocktarget is the node's side of the local target: the client that runs requests at it and the listener
// for its announcements and outgoing calls.
package hemlocktarget

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
	"hemlockhollow/hemlocknet"
)

// Client runs requests at the local target.
type Client struct {
	settings settings

	mutex sync.Mutex
	// address is empty until the target has announced itself.
	address     string
	connections int
	transport   *http.Transport
}

// Option changes a default of a Client.
type Option func(*settings)

type settings struct {
	connections   int
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	notRun        func(status int) bool
	maximumAnswer func(*hemlockcall.Request) int64
	stall         time.Duration
	idle          time.Duration
}

// WithMaxConnections bounds the connections to the target.
func WithMaxConnections(count int) Option {
	return func(s *settings) { s.connections = count }
}

// WithDial sets how connections to the target are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = dial }
}

// WithNotRunStatuses sets which response statuses mean that the target did not run the request.
func WithNotRunStatuses(notRun func(status int) bool) Option {
	return func(s *settings) { s.notRun = notRun }
}

// WithMaxBufferedResponse sets up to which size the answer to a request is withheld until it is whole.
func WithMaxBufferedResponse(maximum func(*hemlockcall.Request) int64) Option {
	return func(s *settings) { s.maximumAnswer = maximum }
}

// WithStallTimeout sets how long an upload may make no progress before its run is aborted.
func WithStallTimeout(stall time.Duration) Option {
	return func(s *settings) { s.stall = stall }
}

// WithIdleTimeout sets how long an unused connection to the target is kept. It must be below the keep-alive time of the
// target: a request on a connection that the target just closes has an unknown outcome.
func WithIdleTimeout(idle time.Duration) Option {
	return func(s *settings) { s.idle = idle }
}

// NewClient returns a client that has no address yet.
func NewClient(options ...Option) *Client {
	s := settings{
		connections:   1000,
		dial:          (&net.Dialer{Timeout: time.Second}).DialContext,
		notRun:        func(int) bool { return false },
		maximumAnswer: func(*hemlockcall.Request) int64 { return hemlockhttp.MaxBufferedResponse },
		stall:         2 * time.Second,
		idle:          20 * time.Second,
	}
	for _, o := range options {
		o(&s)
	}
	c := &Client{settings: s, connections: s.connections}
	c.transport = c.newTransport(s.connections)
	return c
}

func (c *Client) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := c.settings.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return hemlocknet.NewConn(connection), nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        c.settings.idle,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// SetAddress sets the address of the target; empty means that there is none. Connections to an earlier address are
// closed when they become idle.
func (c *Client) SetAddress(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.address != address {
		c.address = address
		c.replaceTransport()
	}
}

// SetMaxConnections changes the bound of the connections to the target. Requests in flight keep their connections.
func (c *Client) SetMaxConnections(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections != count {
		c.connections = count
		c.replaceTransport()
	}
}

// replaceTransport needs the mutex. The old transport closes its connections as their requests end.
func (c *Client) replaceTransport() {
	old := c.transport
	c.transport = c.newTransport(c.connections)
	old.CloseIdleConnections()
}

// Close closes the idle connections; requests in flight end by themselves.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.transport.CloseIdleConnections()
}

func (c *Client) current() (string, *http.Transport) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.address, c.transport
}

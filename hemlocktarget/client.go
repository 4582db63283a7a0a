// Package hemlocktarget connects the node to the local target: the client sends requests to the target, the server
// receives its announcements and its outgoing calls.
package hemlocktarget

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
	"hemlockhollow/hemlockmemory"
	"hemlockhollow/hemlocknet"
	"hemlockhollow/hemlockresponse"
)

// Client sends requests to the local target.
type Client struct {
	settings settings

	mutex sync.Mutex
	// address is empty until the target has announced itself.
	address        string
	maxConnections int
	// transport reuses its connections; singleUse opens one for each request.
	transport, singleUse *http.Transport
	// headMemory limits the heads of all responses together, bodyMemory the bodies that are being buffered.
	headMemory, bodyMemory *hemlockmemory.Budget
	// openConnections counts the connections of both transports.
	openConnections atomic.Int64
}

// Option changes a default of a Client.
type Option func(*settings)

type settings struct {
	maxConnections int
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	isNotRun       func(status int) bool
	maxBuffered    func(*hemlockcall.Request) int64
	stallTimeout   time.Duration
	idleTimeout    time.Duration
	headMemory     int64
	bodyMemory     int64
}

// WithMaxConnections sets the maximum number of connections to the target. The default is 1,000.
func WithMaxConnections(count int) Option {
	return func(s *settings) { s.maxConnections = count }
}

// WithDial sets how connections to the target are opened. The default is plain TCP with a timeout of 1 s.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = dial }
}

// WithNotRunStatuses sets which response statuses mean that the target did not run the request. The default is none.
func WithNotRunStatuses(isNotRun func(status int) bool) Option {
	return func(s *settings) { s.isNotRun = isNotRun }
}

// WithMaxBufferedResponse sets the maximum size in bytes of a response that is buffered until it is complete. A larger
// response is streamed. The default is hemlockhttp.MaxBufferedResponse.
func WithMaxBufferedResponse(limit func(*hemlockcall.Request) int64) Option {
	return func(s *settings) { s.maxBuffered = limit }
}

// WithStallTimeout sets how long a read of the request body may block before the request is aborted. The default is 2 s.
func WithStallTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.stallTimeout = timeout }
}

// WithIdleTimeout sets how long an unused connection to the target is kept open. It must be shorter than the keep-alive
// timeout of the target: a request on a connection that the target closes at that moment has an unknown outcome. The default
// is 20 s.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.idleTimeout = timeout }
}

// WithHeadMemory sets the memory in bytes that the heads of all responses may use while they are read. The default is 16 MiB.
func WithHeadMemory(bytes int64) Option {
	return func(s *settings) { s.headMemory = bytes }
}

// WithBodyMemory sets the memory in bytes that the bodies of all responses may use while they are buffered. The default is 256 MiB.
func WithBodyMemory(bytes int64) Option {
	return func(s *settings) { s.bodyMemory = bytes }
}

// NewClient returns a client that has no address yet.
func NewClient(options ...Option) *Client {
	s := settings{
		maxConnections: 1000,
		dial:           (&net.Dialer{Timeout: time.Second}).DialContext,
		isNotRun:       func(int) bool { return false },
		maxBuffered:    func(*hemlockcall.Request) int64 { return hemlockhttp.MaxBufferedResponse },
		stallTimeout:   2 * time.Second,
		idleTimeout:    20 * time.Second,
		headMemory:     16 << 20,
		bodyMemory:     256 << 20,
	}
	for _, o := range options {
		o(&s)
	}
	c := &Client{settings: s, maxConnections: s.maxConnections, headMemory: hemlockmemory.NewBudget(s.headMemory),
		bodyMemory: hemlockmemory.NewBudget(s.bodyMemory)}
	c.setTransports()
	return c
}

// dial opens a connection. If the target has as many as it accepts, it first closes the idle ones.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.mutex.Lock()
	pooled, maxConnections := c.transport, c.maxConnections
	c.mutex.Unlock()
	if c.openConnections.Load() >= int64(maxConnections) {
		pooled.CloseIdleConnections()
	}
	connection, err := c.settings.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.openConnections.Add(1)
	checked := hemlockresponse.NewConn(&countedConnection{Conn: connection, open: &c.openConnections},
		hemlockresponse.WithMemoryBudget(c.headMemory))
	return &targetConnection{Conn: hemlocknet.NewConn(checked), responses: checked}, nil
}

// targetConnection is a connection to the target that counts writes and checks responses.
type targetConnection struct {
	*hemlocknet.Conn
	responses *hemlockresponse.Conn
}

// countedConnection decreases a count when it is closed.
type countedConnection struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func (c *Client) newTransport(maxConnections int) *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConns:           maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        c.settings.idleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// SetAddress sets the address of the target; empty means that there is none. Idle connections to the previous address are
// closed immediately, the others when their requests end.
func (c *Client) SetAddress(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.address != address {
		c.address = address
		c.replaceTransport()
	}
}

// SetMaxConnections changes the maximum number of connections to the target. Requests in flight keep their connections.
func (c *Client) SetMaxConnections(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.maxConnections != count {
		c.maxConnections = count
		c.replaceTransport()
	}
}

// replaceTransport must be called with the mutex locked. The old transport closes its connections as their requests end.
func (c *Client) replaceTransport() {
	old := c.transport
	c.setTransports()
	old.CloseIdleConnections()
}

func (c *Client) setTransports() {
	c.transport, c.singleUse = c.newTransport(c.maxConnections), c.newTransport(c.maxConnections)
	c.singleUse.DisableKeepAlives = true
}

// Close closes the idle connections. Requests in flight are not interrupted.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.transport.CloseIdleConnections()
}

// addressAndTransport returns the address of the target and the transport for a request. Responses carry no id, so on a reused
// connection a late copy of an earlier refusal would count as the response. A request that must run at most once therefore gets a
// connection of its own.
func (c *Client) addressAndTransport(atMostOnce bool) (string, *http.Transport) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if atMostOnce {
		return c.address, c.singleUse
	}
	return c.address, c.transport
}

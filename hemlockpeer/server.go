package hemlockpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

const (
	// maximumMessage is the reader limit of drpc; the largest message is a whole configuration.
	maximumMessage = 4 << 20
	// inactivity closes connections whose client is gone without a trace. It exceeds the idle time of the client's
	// pool, because a connection that the server closes first can lose a call that the client is just sending.
	inactivity = 5 * time.Minute
	// defaultLinger keeps refusing calls after the last one ended, until clients know that the node is leaving.
	defaultLinger = time.Second
)

// Handler carries out the calls of peers.
type Handler = hemlockcall.Invoker

// Server serves calls and control messages from other nodes.
type Server struct {
	handler  Handler
	settings settings
	drpc     *drpcserver.Server

	mutex sync.Mutex
	// connections holds the open connections; nil after the server was closed.
	connections map[net.Conn]struct{}
	listeners   map[net.Listener]struct{}
	// running is the number of calls in flight.
	running  int
	draining bool
	// idle is closed when a draining server has no call in flight.
	idle chan struct{}
	// refused counts the calls that were refused while draining.
	refused uint64
	serving sync.WaitGroup
}

// NewServer returns a server that gives calls to the handler.
func NewServer(handler Handler, options ...Option) *Server {
	s := &Server{
		handler:     handler,
		settings:    newSettings(options),
		connections: make(map[net.Conn]struct{}),
		listeners:   make(map[net.Listener]struct{}),
		idle:        make(chan struct{}),
	}
	mux := drpcmux.New()
	if err := hemlockwire.DRPCRegisterNode(mux, &service{server: s}); err != nil {
		panic(errors.Wrap(err, "register the node service"))
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(inactivity)})
	return s
}

// managerOptions has no soft cancel: a cancelled call closes its connection, because late frames of it could still
// arrive on a connection that is kept.
func managerOptions(inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maximumMessage},
		Stream:            drpcstream.Options{ManualFlush: true, MaximumBufferSize: 2 * chunkSize},
		InactivityTimeout: inactivity,
	}
}

// Serve accepts connections until the context ends or the server is shut down.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		return hemlockerror.New("serve", KindClosed, "server was shut down")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || s.closed() {
				s.serving.Wait()
				return nil
			}
			return hemlockerror.Wrap("serve", KindConnection, err)
		}
		if s.addConnection(connection) {
			go s.serveConnection(ctx, connection)
		}
	}
}

func (s *Server) serveConnection(ctx context.Context, connection net.Conn) {
	defer s.serving.Done()
	defer s.removeConnection(connection)
	fault := hemlockcall.RecoverPanic(func() {
		// The error says how the connection ended, which is not worth a log line: peers come and go.
		_ = s.drpc.ServeOne(ctx, connection)
	})
	if fault != nil {
		s.settings.fault(fault)
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections == nil {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) addConnection(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections == nil {
		_ = connection.Close()
		return false
	}
	s.connections[connection] = struct{}{}
	s.serving.Add(1)
	return true
}

func (s *Server) removeConnection(connection net.Conn) {
	_ = connection.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, connection)
}

func (s *Server) closed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connections == nil
}

// begin registers a call; it returns false when the server is leaving.
func (s *Server) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		s.refused++
		return false
	}
	s.running++
	return true
}

func (s *Server) leaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

func (s *Server) done() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if s.draining && s.running == 0 {
		close(s.idle)
	}
}

// Drain makes the server refuse new calls as not run, while it still accepts connections to say so.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.running == 0 {
		close(s.idle)
	}
}

// Shutdown drains the server, waits for the calls in flight and then for a linger time without new calls, and closes
// all connections. When the context ends first, it closes at once and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	defer s.close()
	select {
	case <-s.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	for before := s.refusals(); ; {
		select {
		case <-time.After(s.settings.linger):
		case <-ctx.Done():
			return ctx.Err()
		}
		now := s.refusals()
		if now == before {
			return nil
		}
		before = now
	}
}

func (s *Server) refusals() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refused
}

func (s *Server) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.connections {
		_ = c.Close()
	}
	s.connections = nil
}

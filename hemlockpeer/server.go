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
	// maxMessageSize is the size limit of the drpc reader, in bytes; the largest message contains a whole configuration.
	maxMessageSize = 4 << 20
	// inactivityTimeout is how long a connection may be unused before the server closes it, because its client may have
	// vanished. It exceeds the idle timeout of the client's pool: if the server closed an idle connection first, a call
	// that the client is just sending on it could be lost.
	inactivityTimeout = 5 * time.Minute
	// defaultLinger is how long a server that is shutting down waits for another call after the last one that it refused.
	// Clients that have not yet learned that the node is leaving then get a refusal instead of a lost connection.
	defaultLinger = time.Second
)

// Handler executes the calls of peers.
type Handler = hemlockcall.Invoker

// Server serves calls and control messages from other nodes.
type Server struct {
	handler  Handler
	settings settings
	drpc     *drpcserver.Server

	mutex sync.Mutex
	// connections are the open connections; nil after the server was closed.
	connections map[net.Conn]struct{}
	listeners   map[net.Listener]struct{}
	// inFlight is the number of calls in flight.
	inFlight int
	draining bool
	// drained is closed when a draining server has no call in flight.
	drained chan struct{}
	// refused counts the calls that were refused while draining.
	refused uint64
	serving sync.WaitGroup
	calls   servedCalls
}

// NewServer returns a server that passes calls to the handler.
func NewServer(handler Handler, options ...Option) *Server {
	s := &Server{
		handler:     handler,
		settings:    newSettings(options),
		connections: make(map[net.Conn]struct{}),
		listeners:   make(map[net.Listener]struct{}),
		drained:     make(chan struct{}),
		calls:       servedCalls{withdrawn: map[uint64]chan struct{}{}},
	}
	mux := drpcmux.New()
	if err := hemlockwire.DRPCRegisterNode(mux, &service{server: s}); err != nil {
		panic(errors.Wrap(err, "register the node service"))
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(inactivityTimeout)})
	return s
}

// managerOptions returns the drpc options of a Server and a Client. Soft cancel stays off: a cancelled call closes
// its connection, because late frames of that call could still arrive on a connection that is used again.
func managerOptions(inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		Stream:            drpcstream.Options{ManualFlush: true, MaximumBufferSize: 2 * chunkSize},
		InactivityTimeout: inactivity,
	}
}

// acceptRetryDelay is the wait after a failed accept, for example for a lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections until the context ends, the server is shut down or the listener is closed. Other failures of an accept
// are reported, and the accept is retried.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		return hemlockerror.New("serve", KindClosed, "server was shut down")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || s.isClosed() {
				s.serving.Wait()
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return hemlockerror.Wrap("serve", KindConnection, err)
			}
			s.settings.onAcceptFailure(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.addConnection(connection) {
			go s.serveConnection(ctx, connection)
		}
	}
}

func (s *Server) serveConnection(ctx context.Context, connection net.Conn) {
	defer s.serving.Done()
	defer s.removeConnection(connection)
	panicked := hemlockcall.RecoverPanic(func() {
		// The error only says how the connection ended. It is not logged, because peers connect and disconnect all the time.
		_ = s.drpc.ServeOne(ctx, connection)
	})
	if panicked != nil {
		s.settings.onPanic(panicked)
	}
}

// CallsInFlight returns the number of calls of peers that are running or whose results are not queued yet.
func (s *Server) CallsInFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inFlight
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

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connections == nil
}

// beginCall registers a call. It returns false when the server is draining; the call must then be refused.
func (s *Server) beginCall() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		s.refused++
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) isDraining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

func (s *Server) endCall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	if s.draining && s.inFlight == 0 {
		close(s.drained)
	}
}

// Drain makes the server refuse new calls before execution. It still accepts connections in order to send these
// refusals.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.inFlight == 0 {
		close(s.drained)
	}
}

// Shutdown drains the server, waits for the calls in flight to end, then until no call was refused for the linger time,
// and closes all connections. When the context ends first, it closes them immediately and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	defer s.close()
	select {
	case <-s.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	for previous := s.refusals(); ; {
		select {
		case <-time.After(s.settings.linger):
		case <-ctx.Done():
			return ctx.Err()
		}
		current := s.refusals()
		if current == previous {
			return nil
		}
		previous = current
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

package hemlocktarget

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/pkg/errors"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockhttp"
)

const (
	pathAnnounce = "/announce"
	pathDrain    = "/drain"
	// maxAnnouncementBytes is the maximum size of the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxSlots is the maximum number of slots that an announcement may declare.
	maxSlots = 1 << 20
	// idleTimeout exceeds the idle timeouts of common HTTP clients, so that the target is the side that closes connections.
	idleTimeout = 5 * time.Minute
	// readHeaderTimeout limits the wait for the headers of a request.
	readHeaderTimeout = 10 * time.Second
)

// Announcement is what a target announces about itself every second.
type Announcement struct {
	Service string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Address is the host and port at which the target accepts requests.
	Address string
	// Instance identifies the process of the target, so that a restarted target differs from the previous process at the
	// same address; it may be empty.
	Instance string
}

type announcementBody struct {
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Address  string `json:"address"`
	Instance string `json:"instance"`
}

// Handlers are the functions that a Server calls; all are required.
type Handlers struct {
	// Announce handles an announcement; its error is returned to the target.
	Announce func(Announcement) error
	// Drain is called when the target sends its drain notice: it is leaving and accepts no new requests.
	Drain func()
	// Outgoing runs a call that the target makes.
	Outgoing OutgoingHandler
}

// Server is the HTTP server for the local target.
type Server struct {
	handlers  Handlers
	container *restful.Container
	server    *http.Server
}

// NewServer returns a server that listens once Serve is called.
func NewServer(handlers Handlers) *Server {
	s := &Server{handlers: handlers, container: restful.NewContainer()}
	announce := new(restful.WebService).Path(pathAnnounce)
	announce.Route(announce.POST("").To(s.serveAnnouncement))
	drain := new(restful.WebService).Path(pathDrain)
	drain.Route(drain.POST("").To(s.serveDrain))
	s.container.Add(announce).Add(drain)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return s
}

// Serve serves until Shutdown is called, and then returns nil. It rejects a listener that other hosts can reach with an error
// of KindAddress, and returns an error of KindListen if the server fails.
func (s *Server) Serve(listener net.Listener) error {
	if address, ok := listener.Addr().(*net.TCPAddr); ok && !address.IP.IsLoopback() {
		return hemlockerror.New("serve target", KindAddress, listener.Addr().String()+" is not a loopback address")
	}
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return hemlockerror.Wrap("serve target", KindListen, err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for the calls in flight. If the context ends first, it closes their
// connections and returns the error of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

// ServeHTTP implements http.Handler. Outgoing calls bypass the container, whose multiplexer redirects paths with empty
// or dot segments instead of passing them on.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathAnnounce || r.URL.Path == pathDrain {
		s.container.ServeHTTP(w, r)
		return
	}
	s.serveCall(w, r)
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	outgoing, err := readOutgoing(r)
	if err != nil {
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	request := &hemlockcall.Request{Body: outgoing.Body}
	body := hemlockhttp.WrapRequestBody(w, request)
	outgoing.Body = request.Body
	response, err := s.handlers.Outgoing(r.Context(), outgoing)
	if err != nil {
		body.Interrupt()
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	hemlockhttp.WriteResponse(w, r, response)
}

func (s *Server) serveAnnouncement(request *restful.Request, response *restful.Response) {
	announcement, err := readAnnouncement(request.Request.Body)
	if err == nil {
		err = s.handlers.Announce(announcement)
	}
	if err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	response.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDrain(_ *restful.Request, response *restful.Response) {
	s.handlers.Drain()
	response.WriteHeader(http.StatusNoContent)
}

func readAnnouncement(body io.Reader) (Announcement, error) {
	const operation = "read announcement"
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	var message announcementBody
	if err := decoder.Decode(&message); err != nil {
		return Announcement{}, hemlockerror.Wrap(operation, KindMessage, err)
	}
	if message.Service == "" || message.Slots < 1 || message.Slots > maxSlots {
		return Announcement{}, hemlockerror.New(operation, KindMessage, "service missing or slots out of range")
	}
	if _, _, err := net.SplitHostPort(message.Address); err != nil {
		return Announcement{}, hemlockerror.Wrap(operation, KindMessage, err)
	}
	return Announcement(message), nil
}

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
	// maximumMessage bounds the body of an announcement.
	maximumMessage = 4 << 10
	maximumSlots   = 1 << 20
	// keepAlive exceeds the idle time of common HTTP clients, so that the target closes connections first.
	keepAlive = 5 * time.Minute
	// readHeader bounds the wait for the headers of a call.
	readHeader = 10 * time.Second
)

// Announcement is what a target says about itself every second.
type Announcement struct {
	Service string
	Slots   int
	Address string
	// Instance tells a restarted target from the process before it at the same address; it may be empty.
	Instance string
}

type announcementBody struct {
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Address  string `json:"address"`
	Instance string `json:"instance"`
}

// Handlers is what a Listener calls; all fields are required.
type Handlers struct {
	// Announce takes an announcement; its error is shown to the target.
	Announce func(Announcement) error
	// Drain is called when the target leaves.
	Drain func()
	// Outgoing carries out an outgoing call.
	Outgoing OutgoingHandler
}

// Server is the HTTP listener for the local target.
type Server struct {
	handlers  Handlers
	container *restful.Container
	server    *http.Server
}

// NewServer returns a listener that serves nothing yet.
func NewServer(handlers Handlers) *Server {
	l := &Server{handlers: handlers, container: restful.NewContainer()}
	announce := new(restful.WebService).Path(pathAnnounce)
	announce.Route(announce.POST("").To(l.announce))
	drain := new(restful.WebService).Path(pathDrain)
	drain.Route(drain.POST("").To(l.drain))
	l.container.Add(announce).Add(drain)
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: readHeader, IdleTimeout: keepAlive}
	return l
}

// Serve serves until Shutdown. It refuses an address that other hosts can reach.
func (l *Server) Serve(listener net.Listener) error {
	if address, ok := listener.Addr().(*net.TCPAddr); ok && !address.IP.IsLoopback() {
		return hemlockerror.New("serve target", KindAddress, listener.Addr().String()+" is no loopback address")
	}
	if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return hemlockerror.Wrap("serve target", KindListen, err)
	}
	return nil
}

// Shutdown stops accepting and waits for the calls in flight. When the context ends first, it closes them.
func (l *Server) Shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

// ServeHTTP implements http.Handler. Calls do not go through the container, whose multiplexer redirects paths with
// empty or dot segments instead of passing them on.
func (l *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathAnnounce || r.URL.Path == pathDrain {
		l.container.ServeHTTP(w, r)
		return
	}
	l.call(w, r)
}

func (l *Server) call(w http.ResponseWriter, r *http.Request) {
	outgoing, err := readOutgoing(r)
	if err != nil {
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	request := &hemlockcall.Request{Body: outgoing.Body}
	upload := hemlockhttp.WrapRequestBody(w, request)
	outgoing.Body = request.Body
	response, err := l.handlers.Outgoing(r.Context(), outgoing)
	if err != nil {
		upload.Interrupt()
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	hemlockhttp.WriteResponse(w, r, response)
}

func (l *Server) announce(request *restful.Request, response *restful.Response) {
	announcement, err := readAnnouncement(request.Request.Body)
	if err == nil {
		err = l.handlers.Announce(announcement)
	}
	if err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	response.WriteHeader(http.StatusNoContent)
}

func (l *Server) drain(_ *restful.Request, response *restful.Response) {
	l.handlers.Drain()
	response.WriteHeader(http.StatusNoContent)
}

func readAnnouncement(body io.Reader) (Announcement, error) {
	const operation = "read announcement"
	decoder := json.NewDecoder(io.LimitReader(body, maximumMessage))
	decoder.DisallowUnknownFields()
	var message announcementBody
	if err := decoder.Decode(&message); err != nil {
		return Announcement{}, hemlockerror.Wrap(operation, KindMessage, err)
	}
	if message.Service == "" || message.Slots < 1 || message.Slots > maximumSlots {
		return Announcement{}, hemlockerror.New(operation, KindMessage, "service missing or slots out of range")
	}
	if _, _, err := net.SplitHostPort(message.Address); err != nil {
		return Announcement{}, hemlockerror.Wrap(operation, KindMessage, err)
	}
	return Announcement(message), nil
}

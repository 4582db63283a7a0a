// Package hemlockcaller serves callers over HTTP/1.1 and HTTP/2.
package hemlockcaller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockhttp"
)

const (
	headerCustomer = "Hemlock-Customer"
	headerToken    = "Hemlock-Customer-Token"

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// Kind says what kind of error an operation of this package ended in.
type Kind string

// KindServe is a listener that failed while it was serving.
const KindServe Kind = "cannot serve"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Caller is what a caller says of itself, and where it calls from.
type Caller struct {
	// Customer and Token are unchecked.
	Customer, Token string
	// Host is the IP of the caller's connection.
	Host string
}

// Handler serves one request of a caller; its error is a *hemlockcall.Refusal.
type Handler func(ctx context.Context, request *hemlockcall.Request, from Caller) (*hemlockcall.Response, error)

// Server is the HTTP interface for callers.
type Server struct {
	handler  Handler
	server   *http.Server
	draining atomic.Bool
}

// New returns a listener that gives each request to the handler.
func New(handler Handler) *Server {
	l := &Server{handler: handler}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l.server = &http.Server{
		// Paths go to the handler as they are; the multiplexer of the container would redirect empty segments.
		Handler:           http.HandlerFunc(l.serve),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return l
}

// Serve serves until Shutdown.
func (l *Server) Serve(listener net.Listener) error {
	if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return hemlockerror.Wrap("serve callers", KindServe, err)
	}
	return nil
}

// Drain asks callers to open no further requests on their connections: every answer from now on ends its connection.
func (l *Server) Drain() {
	l.draining.Store(true)
}

// Shutdown stops accepting and waits for the requests in flight. When the context ends first, it breaks them off and
// returns its error.
func (l *Server) Shutdown(ctx context.Context) error {
	l.draining.Store(true)
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

func (l *Server) serve(w http.ResponseWriter, r *http.Request) {
	if l.draining.Load() {
		// For HTTP/2 the server turns this header into GOAWAY.
		w.Header().Set("Connection", "close")
	}
	request, err := hemlockhttp.ReadRequest(r)
	if err != nil {
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	upload := hemlockhttp.WrapRequestBody(w, request)
	response, err := l.handler(r.Context(), request, callerOf(r))
	if err != nil {
		upload.Interrupt()
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	hemlockhttp.WriteResponse(w, r, response)
}

func callerOf(r *http.Request) Caller {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return Caller{Customer: r.Header.Get(headerCustomer), Token: r.Header.Get(headerToken), Host: host}
}

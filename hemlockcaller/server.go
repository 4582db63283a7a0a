// Package hemlockcaller is the HTTP/1.1 and HTTP/2 server for callers: programs outside the system that send requests to
// a node.
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

// KindServe means that the server failed while it accepted connections.
const KindServe Kind = "cannot serve"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Caller identifies a caller by what it states about itself and by its host.
type Caller struct {
	// Customer and Token come from the headers of the request and are not verified.
	Customer, Token string
	// Host is the IP address of the caller's connection.
	Host string
}

// Handler handles one request of a caller; its error is a *hemlockcall.Refusal.
type Handler func(ctx context.Context, request *hemlockcall.Request, from Caller) (*hemlockcall.Response, error)

// Server is the HTTP server for callers.
type Server struct {
	handler  Handler
	server   *http.Server
	draining atomic.Bool
}

// New returns a server that passes each request that can be parsed to the handler.
func New(handler Handler) *Server {
	s := &Server{handler: handler}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{
		// No multiplexer is used, so that the handler gets every path unchanged: a multiplexer redirects paths with empty
		// segments.
		Handler:           http.HandlerFunc(s.serve),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve serves until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return hemlockerror.Wrap("serve callers", KindServe, err)
	}
	return nil
}

// Drain makes every response from now on end its connection, so that callers send no further requests on it.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown closes the listener and waits for the requests in flight. If the context ends first, it closes their
// connections and returns the error of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		// For HTTP/2, net/http sends GOAWAY instead of this header.
		w.Header().Set("Connection", "close")
	}
	request, err := hemlockhttp.ReadRequest(r)
	if err != nil {
		hemlockhttp.WriteRefusal(w, err)
		return
	}
	body := hemlockhttp.WrapRequestBody(w, request)
	response, err := s.handler(r.Context(), request, callerOf(r))
	if err != nil {
		body.Interrupt()
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

// Package hemlockoperator serves metrics, a state dump, health checks and profiles to operators over HTTP.
package hemlockoperator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/emicklei/go-restful/v3"
)

const readHeaderTimeout = 5 * time.Second

// Server provides the HTTP interface for operators of one process.
type Server struct {
	// metrics serves /metrics; never nil.
	metrics http.Handler
	// state returns a value that can be encoded as JSON; it is called once for each dump.
	state func() any
	// ready reports whether the process serves requests.
	ready func() bool
}

// Option configures a Server in New.
type Option func(*Server)

// WithMetrics sets the handler of /metrics.
func WithMetrics(handler http.Handler) Option {
	return func(s *Server) { s.metrics = handler }
}

// WithState sets the function that returns the value for the state dump, /state.
func WithState(state func() any) Option {
	return func(s *Server) { s.state = state }
}

// WithReady sets the function behind /health/ready: with true the status is 200, with false 503.
func WithReady(ready func() bool) Option {
	return func(s *Server) { s.ready = ready }
}

// New returns a server. Without options, /metrics responds with 404, the state is empty and the process is always ready.
func New(options ...Option) *Server {
	server := &Server{
		metrics: http.NotFoundHandler(),
		state:   func() any { return struct{}{} },
		ready:   func() bool { return true },
	}
	for _, apply := range options {
		apply(server)
	}
	return server
}

// HTTP returns the HTTP server without an address; the caller runs and stops it.
func (s *Server) HTTP() *http.Server {
	service := new(restful.WebService)
	service.Path("/")
	service.Route(service.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		s.metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	service.Route(service.GET("/state").To(func(_ *restful.Request, w *restful.Response) {
		s.writeState(w)
	}))
	service.Route(service.GET("/health/live").To(func(_ *restful.Request, w *restful.Response) {
		w.WriteHeader(http.StatusOK)
	}))
	service.Route(service.GET("/health/ready").To(func(_ *restful.Request, w *restful.Response) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}))
	container := restful.NewContainer()
	container.Add(service)
	container.HandleWithFilter("/debug/pprof/", http.HandlerFunc(pprof.Index))
	container.HandleWithFilter("/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	return &http.Server{Handler: container, ReadHeaderTimeout: readHeaderTimeout}
}

func (s *Server) writeState(w *restful.Response) {
	text, err := EncodeState(s.state())
	if err != nil {
		http.Error(w.ResponseWriter, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails when the client has disconnected; then there is no one to report it to.
	_, _ = w.Write(text)
}

// EncodeState returns the state dump as indented JSON with a final newline.
func EncodeState(state any) ([]byte, error) {
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(text, '\n'), nil
}

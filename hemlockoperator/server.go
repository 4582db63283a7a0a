// Package hemlockoperator serves the operators: metrics, the state dump and liveness.
package hemlockoperator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/emicklei/go-restful/v3"
)

const readHeaderTimeout = 5 * time.Second

// Server is the operators' HTTP interface of one process.
type Server struct {
	// metrics serves the scrape format; never nil.
	metrics http.Handler
	// state returns a value that encodes as JSON; it is called once for each dump.
	state func() any
	// ready reports whether the process serves requests.
	ready func() bool
}

// Option changes a Listener under construction.
type Option func(*Server)

// WithMetrics sets the handler of /metrics.
func WithMetrics(handler http.Handler) Option {
	return func(l *Server) { l.metrics = handler }
}

// WithState sets the source of the state dump.
func WithState(state func() any) Option {
	return func(l *Server) { l.state = state }
}

// WithReady sets the source of /health/ready.
func WithReady(ready func() bool) Option {
	return func(l *Server) { l.ready = ready }
}

// New returns a listener; without options it serves empty metrics, an empty state and always ready.
func New(options ...Option) *Server {
	listener := &Server{
		metrics: http.NotFoundHandler(),
		state:   func() any { return struct{}{} },
		ready:   func() bool { return true },
	}
	for _, apply := range options {
		apply(listener)
	}
	return listener
}

// HTTP returns the HTTP server; the caller runs and stops it.
func (l *Server) HTTP() *http.Server {
	service := new(restful.WebService)
	service.Path("/")
	service.Route(service.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		l.metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	service.Route(service.GET("/state").To(func(_ *restful.Request, w *restful.Response) {
		l.writeState(w)
	}))
	service.Route(service.GET("/health/live").To(func(_ *restful.Request, w *restful.Response) {
		w.WriteHeader(http.StatusOK)
	}))
	service.Route(service.GET("/health/ready").To(func(_ *restful.Request, w *restful.Response) {
		if !l.ready() {
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

func (l *Server) writeState(w *restful.Response) {
	text, err := EncodeState(l.state())
	if err != nil {
		http.Error(w.ResponseWriter, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A reader that goes away needs no second answer.
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

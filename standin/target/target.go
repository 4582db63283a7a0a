package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	headerCrash          = "X-Crash"
	headerID             = "X-Request-Id"
	headerBodyDigest     = "X-Body-Digest"
	headerResponseDigest = "X-Answer-Digest"
	headerKey            = "Idempotency-Key"
	// maxResponse limits the body size that a query may ask for, in bytes.
	maxResponse = 1 << 30
)

type options struct {
	slots       int
	serviceTime time.Duration
	// spread is the largest deviation of the service time from its mean, as a fraction of it; the distribution is uniform.
	spread          float64
	seed            uint64
	slowStart       time.Duration
	slowStartFactor float64
	alwaysHealthy   bool
	// crash ends the process immediately.
	crash func()
}

// target is the simulated service.
type target struct {
	options    options
	downstream *downstream
	log        *runLog
	mux        *http.ServeMux
	started    time.Time
	draining   atomic.Bool
	slots      chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
}

func newTarget(o options) *target {
	t := &target{
		options: o, log: newRunLog(), mux: http.NewServeMux(), started: time.Now(),
		slots: make(chan struct{}, o.slots), random: rand.New(rand.NewPCG(o.seed, 0)),
	}
	t.mux.HandleFunc("GET /health", t.health)
	t.mux.HandleFunc("GET /log/runs", t.log.serveRuns)
	t.mux.HandleFunc("GET /log/counters", t.log.serveCounters)
	t.mux.HandleFunc("/", t.handle)
	return t
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mux.ServeHTTP(w, r)
}

func (t *target) health(w http.ResponseWriter, _ *http.Request) {
	if !t.options.alwaysHealthy && (t.draining.Load() || len(t.slots) == cap(t.slots)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handle runs one request, or refuses it before execution when all slots are in use.
func (t *target) handle(w http.ResponseWriter, r *http.Request) {
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		t.log.count("shed", 1)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.log.run(r.Header.Get(headerKey))
	if r.Header.Get(headerCrash) != "" {
		t.options.crash()
	}
	bodyHash := sha256.New()
	count, err := io.Copy(bodyHash, r.Body)
	t.log.count("uploaded", count)
	if err != nil {
		t.log.count("uploads-broken", 1)
		panic(http.ErrAbortHandler)
	}
	if !t.waitServiceTime(r.Context()) {
		t.log.count("cancelled", 1)
		panic(http.ErrAbortHandler)
	}
	if t.downstream != nil {
		if err := t.downstream.run(r.Context(), r.Header.Get("Traceparent")); err != nil {
			// Not 503, because that says that the request was not run.
			t.log.count("downstream-failed", 1)
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	t.respond(w, r, bodyHash)
}

// waitServiceTime waits for the service time; it returns false when the request was cancelled.
func (t *target) waitServiceTime(ctx context.Context) bool {
	return hemlockcall.Sleep(ctx, t.drawServiceTime())
}

func (t *target) drawServiceTime() time.Duration {
	t.mutex.Lock()
	factor := 1 + t.options.spread*(2*t.random.Float64()-1)
	t.mutex.Unlock()
	if time.Since(t.started) < t.options.slowStart {
		factor *= t.options.slowStartFactor
	}
	return time.Duration(float64(t.options.serviceTime) * factor)
}

// respond echoes the request's id and the digest of its body, and sends as many bytes as the query asks for.
func (t *target) respond(w http.ResponseWriter, r *http.Request, bodyHash hash.Hash) {
	id, query := r.Header.Get(headerID), r.URL.Query()
	size, stream := parseSize(query.Get("size")), parseSize(query.Get("stream"))
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set(headerID, id)
	header.Set(headerBodyDigest, hex.EncodeToString(bodyHash.Sum(nil)))
	expected := sha256.New()
	_ = writePattern(expected, id, max(size, stream), nil)
	header.Set(headerResponseDigest, hex.EncodeToString(expected.Sum(nil)))
	flush := func() error { return nil }
	if stream > 0 {
		flush = http.NewResponseController(w).Flush
	} else {
		header.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if err := writePattern(w, id, max(size, stream), flush); err != nil {
		t.log.count("answers-broken", 1)
		panic(http.ErrAbortHandler)
	}
	t.log.count("answered", 1)
}

func parseSize(text string) int64 {
	size, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return min(max(size, 0), maxResponse)
}

// writePattern writes size bytes that depend on the id, so that a caller can detect the response to another request.
func writePattern(w io.Writer, id string, size int64, flush func() error) error {
	unit := []byte(id + ";")
	chunk := make([]byte, 0, 32<<10)
	for len(chunk)+len(unit) <= cap(chunk) {
		chunk = append(chunk, unit...)
	}
	if len(chunk) == 0 {
		chunk = unit
	}
	for size > 0 {
		part := chunk[:min(size, int64(len(chunk)))]
		if _, err := w.Write(part); err != nil {
			return err
		}
		if flush != nil {
			if err := flush(); err != nil {
				return err
			}
		}
		size -= int64(len(part))
	}
	return nil
}

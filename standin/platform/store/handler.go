package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hemlockhollow/platform/hemlockplatform"
)

// maxBody limits the body of a request, in bytes.
const maxBody = 16 << 20

// Handler serves the platform's HTTP interface and, under /admin/, the fault injection.
type Handler struct {
	store    *Store
	injector *injector
	latency  time.Duration
	mux      *http.ServeMux
	// copied is the last copy that was taken through the interface.
	copied atomic.Pointer[Copy]
}

// NewHandler returns a handler; latency is added to every call.
func NewHandler(s *Store, latency time.Duration) *Handler {
	h := &Handler{store: s, injector: newInjector(), latency: latency, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /table/transact", h.withFaults(true, h.transact))
	h.mux.HandleFunc("GET /table/rows/{key}", h.withFaults(false, h.read))
	h.mux.HandleFunc("GET /table/rows", h.withFaults(false, h.list))
	h.mux.HandleFunc("PUT /objects/{name}", h.withFaults(true, h.put))
	h.mux.HandleFunc("GET /objects/{name}", h.withFaults(false, h.get))
	h.mux.HandleFunc("PUT /admin/faults", h.setFaults)
	h.mux.HandleFunc("POST /admin/faults", h.setFaults)
	h.mux.HandleFunc("POST /admin/copy", func(w http.ResponseWriter, _ *http.Request) {
		c := h.store.Copy()
		h.copied.Store(&c)
		w.WriteHeader(http.StatusNoContent)
	})
	h.mux.HandleFunc("POST /admin/restore", h.restore)
	h.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, h.store.Counts())
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (h *Handler) SetFaults(faults Faults) error {
	if err := faults.check(); err != nil {
		return err
	}
	h.injector.set(faults, time.Now())
	return nil
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	faults, err := parseFaults(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.injector.set(faults, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// restore makes the store return from the last copy.
func (h *Handler) restore(w http.ResponseWriter, _ *http.Request) {
	c := h.copied.Load()
	if c == nil {
		http.Error(w, "no copy was taken", http.StatusConflict)
		return
	}
	h.store.Restore(*c)
	w.WriteHeader(http.StatusNoContent)
}

// operation checks a request. It returns a function that applies it and returns the response, or else an error status.
type operation func(r *http.Request, body []byte) (apply func() response, status int)

type response struct {
	status int
	json   any
	raw    []byte
}

// withFaults returns a handler that runs an operation with the injected faults.
func (h *Handler) withFaults(writes bool, run operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		drawn := h.injector.draw(time.Now(), writes)
		if drawn.cutOff != "" {
			if drawn.cutOff == "hang" {
				waitUntil(r, drawn.cutOffUntil)
			}
			panic(http.ErrAbortHandler)
		}
		if wait := h.latency + drawn.delay; wait > 0 {
			waitUntil(r, time.Now().Add(wait))
		}
		if drawn.fails {
			http.Error(w, "injected failure", http.StatusServiceUnavailable)
			return
		}
		apply, status := run(r, body)
		if status != 0 {
			http.Error(w, http.StatusText(status), status)
			return
		}
		if drawn.writesLate {
			time.AfterFunc(drawn.lateWriteDelay, func() { apply() })
			panic(http.ErrAbortHandler)
		}
		var result response
		era := h.store.InEra(func() { result = apply() })
		if drawn.losesReply {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(hemlockplatform.EraHeader, strconv.FormatUint(era, 10))
		if result.raw != nil {
			w.WriteHeader(result.status)
			_, _ = w.Write(result.raw)
			return
		}
		writeJSON(w, result.status, result.json)
	}
}

// waitUntil waits until the given time or, when that is zero, until the client disconnects. A client that disconnects
// does not shorten a delay, because its request has arrived and takes effect.
func waitUntil(r *http.Request, until time.Time) {
	if until.IsZero() {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Until(until))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (h *Handler) transact(_ *http.Request, body []byte) (func() response, int) {
	var request struct {
		Writes []Write `json:"writes"`
	}
	if err := json.Unmarshal(body, &request); err != nil || len(request.Writes) == 0 {
		return nil, http.StatusBadRequest
	}
	seen := map[string]bool{}
	for _, w := range request.Writes {
		if w.Key == "" || w.IfVersion == nil || seen[w.Key] {
			return nil, http.StatusBadRequest
		}
		seen[w.Key] = true
	}
	return func() response {
		if failed := h.store.Transact(request.Writes); failed != nil {
			return response{status: http.StatusConflict, json: map[string][]string{"failed": failed}}
		}
		return response{status: http.StatusOK, json: struct{}{}}
	}, 0
}

func (h *Handler) read(r *http.Request, _ []byte) (func() response, int) {
	return func() response {
		row, found := h.store.Read(r.PathValue("key"))
		if !found {
			return response{status: http.StatusNotFound, json: struct{}{}}
		}
		return response{status: http.StatusOK, json: row}
	}, 0
}

func (h *Handler) list(r *http.Request, _ []byte) (func() response, int) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		return nil, http.StatusBadRequest
	}
	return func() response {
		rows := h.store.List(query.Get("prefix"), query.Get("after"), limit)
		return response{status: http.StatusOK, json: map[string][]Row{"rows": rows}}
	}, 0
}

func (h *Handler) put(r *http.Request, body []byte) (func() response, int) {
	return func() response {
		if !h.store.PutObject(r.PathValue("name"), body, r.Header.Get("If-None-Match") == "*") {
			return response{status: http.StatusPreconditionFailed, json: struct{}{}}
		}
		return response{status: http.StatusCreated, json: struct{}{}}
	}, 0
}

func (h *Handler) get(r *http.Request, _ []byte) (func() response, int) {
	return func() response {
		body, found := h.store.GetObject(r.PathValue("name"))
		if !found {
			return response{status: http.StatusNotFound, json: struct{}{}}
		}
		return response{status: http.StatusOK, raw: body}
	}, 0
}

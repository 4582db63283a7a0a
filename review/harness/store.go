package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the store, in the JSON form of the pages.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store stands in for the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	rec     *recorder
	started time.Time

	mutex   sync.Mutex
	rows    map[rowKey]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	// silentBefore is the time before which connections were opened that are silent now: nothing is answered on them.
	silentBefore time.Time
}

// openedAt is the key of the time at which the connection of a call was opened.
type openedAt struct{}

// silence makes all open connections silent, without a reset. New ones work.
func (s *store) silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silentBefore = time.Now()
}

// isSilent reports whether the connection of a call is silent.
func (s *store) isSilent(r *http.Request) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	opened, _ := r.Context().Value(openedAt{}).(time.Time)
	return opened.Before(s.silentBefore)
}

const (
	storeAnswerTime      = 4 * time.Millisecond
	storeTransactionTime = 6 * time.Millisecond
)

func startStore(rec *recorder, address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, started: time.Now(), rows: map[rowKey]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		w.Header().Set("Content-Type", "application/json")
		answer := httptest.NewRecorder()
		if !s.isSilent(r) {
			mux.ServeHTTP(answer, r)
		}
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
	server := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedAt{}, time.Now())
	}}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put is a write of the operator.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.write(storeRow{Table: table, Key: key, Value: value})
	s.signal()
	return s.version
}

// write is called with the mutex held, after the version was raised.
func (s *store) write(row storeRow) {
	row.Ver = s.version
	key := rowKey{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.history = append(s.history, row)
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now_s"] = time.Since(s.started).Seconds()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mutex.Lock()
	rows := s.matching(q)
	version := s.version
	s.mutex.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": version})
}

func (s *store) matching(q url.Values) []storeRow {
	rows := []storeRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mutex.Unlock()
		expired := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []storeRow `json:"precondition"`
		Writes       []storeRow `json:"writes"`
		Remove       []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(storeTransactionTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, row := range append(append([]storeRow{}, tx.Writes...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	current, holds := []storeRow{}, true
	for _, p := range tx.Precondition {
		row, ok := s.rows[rowKey{p.Table, p.Part, p.Key}]
		holds = holds && row.Ver == p.Ver
		if ok {
			current = append(current, row)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version})
		return
	}
	s.version++
	for _, row := range tx.Writes {
		s.write(row)
		s.rec.log("store   row %s/%s written: %s", row.Table, row.Key, row.Value)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		s.write(row)
	}
	s.signal()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.version})
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is a row of the platform's store; ver is that of its last write.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	started time.Time

	mutex   sync.Mutex
	changed chan struct{}
	ver     uint64
	oldest  uint64 // versions up to this one are no longer in the history
	rows    map[rowKey]storedRow
	history []storedRow
	server  *http.Server
}

func startStore(address string) (*store, error) {
	s := &store{address: address, started: time.Now(), changed: make(chan struct{}), ver: 100, oldest: 100, rows: map[rowKey]storedRow{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row of the operator.
func (s *store) put(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ver++
	s.write(storedRow{Table: table, Key: key, Value: value, Ver: s.ver})
	s.wake()
}

func (s *store) write(row storedRow) {
	key := rowKey{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.history = append(s.history, row)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() float64 { return time.Since(s.started).Seconds() }

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []storedRow `json:"precondition"`
		Writes       []storedRow `json:"writes"`
		Remove       []storedRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(6 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	failed := []storedRow{}
	for _, p := range t.Precondition {
		if row := s.rows[rowKey{p.Table, p.Part, p.Key}]; row.Ver != p.Ver {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": failed, "ver": s.ver, "now_s": s.now()})
		return
	}
	s.ver++
	for _, row := range t.Writes {
		row.Ver = s.ver
		s.write(row)
	}
	for _, row := range t.Remove {
		row.Ver, row.Deleted, row.Value = s.ver, true, nil
		s.write(row)
	}
	s.wake()
	s.reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_s": s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []storedRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "now_s": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		if after < s.oldest || after > s.ver {
			s.mutex.Unlock()
			s.reply(w, http.StatusGone, map[string]any{"ver": s.ver, "now_s": s.now()})
			return
		}
		rows := []storedRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mutex.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_s": s.now()})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_s": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

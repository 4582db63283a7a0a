package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// runLog counts the runs of each Idempotency-Key and other events. Tests read from it which requests have run.
type runLog struct {
	mutex    sync.Mutex
	runs     map[string]int
	counters map[string]int64
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]int), counters: make(map[string]int64)}
}

// run counts a run. A run of a request without a key is counted only in the counters.
func (l *runLog) run(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counters["runs"]++
	if key != "" {
		l.runs[key]++
	}
}

func (l *runLog) count(name string, n int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counters[name] += n
}

func (l *runLog) serveRuns(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	runs := maps.Clone(l.runs)
	l.mutex.Unlock()
	writeJSON(w, runs)
}

func (l *runLog) serveCounters(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	counters := maps.Clone(l.counters)
	l.mutex.Unlock()
	writeJSON(w, counters)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

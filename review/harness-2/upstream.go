package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached an upstream.
type arrival struct {
	at time.Time
	id string
}

// upstream is an application upstream. Its behaviour is that of a sound one, unless a field changes it.
type upstream struct {
	id, service, address, control, zone string
	born                                int64
	slots                               int

	mutex    sync.Mutex
	work     time.Duration
	size     int
	arrivals []arrival
	running  atomic.Int64
}

func startUpstream(u *upstream) error {
	if u.born == 0 {
		u.born = time.Now().UnixMilli()
	}
	if u.slots == 0 {
		u.slots = 132
	}
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(u.serve)) }()
	go u.beatAll()
	return nil
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mutex.Lock()
	work, size := u.work, u.size
	u.mutex.Unlock()
	w.Header().Set("Instance-Id", u.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mutex.Lock()
	u.arrivals = append(u.arrivals, arrival{time.Now(), id})
	u.mutex.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if int(u.running.Add(1)) > u.slots {
		u.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Response-Seal", "seal-"+u.id+"-"+id)
	_, _ = w.Write(bytes.Repeat([]byte("x"), max(size, 2)))
}

// beat sends one check-in and reports whether it was acknowledged.
func (u *upstream) beat(seq int) bool {
	body, _ := json.Marshal(map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "cold_left_s": 0, "seq": seq, "born": u.born})
	request, _ := http.NewRequest(http.MethodPut, "http://"+u.control+"/api/instances/"+u.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// beatAll sends check-ins for as long as the process runs.
func (u *upstream) beatAll() {
	for seq := 1; ; seq++ {
		pause := 1500 * time.Millisecond
		if !u.beat(seq) {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (u *upstream) set(change func()) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	change()
}

func (u *upstream) seen() []arrival {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]arrival{}, u.arrivals...)
}

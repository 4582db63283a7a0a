package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at an upstream.
type run struct {
	id, caller, upstream string
	startedAt            time.Duration
}

// upstream stands in for an application upstream. The path of a request names its work in milliseconds and the size of its
// response in bytes: /prefix/WORK/SIZE.
type upstream struct {
	rec               *recorder
	id, service, zone string
	address, control  string
	slots             int
	born              int64
	sequence          atomic.Int64
	leaving           atomic.Bool
	stopBeats         chan struct{}
	listener          net.Listener
	// shed decides whether a request is refused before execution.
	shed func() bool
	// repeatLate decides whether a second copy of an answer follows late, in front of the next answer of the connection.
	repeatLate func() bool

	mutex       sync.Mutex
	running     int
	runs        []run
	connections map[net.Conn]struct{}
}

func newUpstream(rec *recorder, id, service, zone, address, control string) *upstream {
	never := func() bool { return false }
	return &upstream{rec: rec, id: id, service: service, zone: zone, address: address, control: control, slots: 132,
		born: time.Now().UnixMilli(), stopBeats: make(chan struct{}), shed: never, repeatLate: never,
		connections: map[net.Conn]struct{}{}}
}

func (u *upstream) listen() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.listener = listener
	u.rec.log("server  %s of %s listens at %s", u.id, u.service, u.address)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.mutex.Lock()
			u.connections[conn] = struct{}{}
			u.mutex.Unlock()
			go u.serve(conn)
		}
	}()
	return nil
}

// end stops the upstream: it closes all connections and sends nothing more.
func (u *upstream) end() {
	u.rec.log("server  %s ends", u.id)
	_ = u.listener.Close()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for c := range u.connections {
		_ = c.Close()
	}
}

const heartbeatInterval = 1500 * time.Millisecond

// beatRegularly sends check-ins until stopBeats is closed.
func (u *upstream) beatRegularly() {
	for {
		_ = u.beat(u.nextBeat())
		select {
		case <-u.stopBeats:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// nextBeat returns the body of the next check-in.
func (u *upstream) nextBeat() []byte {
	state := "ready"
	if u.leaving.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1",
		"slots": u.slots, "state": state, "cold_left_s": 0, "seq": u.sequence.Add(1), "born": u.born})
	return body
}

func (u *upstream) beat(body []byte) error {
	return u.announce(http.MethodPut, u.id, body)
}

// deregister sends a DELETE and returns nil once it is confirmed.
func (u *upstream) deregister() error {
	body, _ := json.Marshal(map[string]any{"born": u.born})
	return u.announce(http.MethodDelete, u.id, body)
}

// announce sends a check-in or a DELETE. A confirmation is a 2xx response within a second.
func (u *upstream) announce(method, id string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+u.control+"/api/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		u.rec.log("beat    %s %s %s: no answer", method, id, body)
		return err
	}
	_ = response.Body.Close()
	u.rec.log("beat    %s %s %s: %d", method, id, body, response.StatusCode)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (u *upstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		u.mutex.Lock()
		delete(u.connections, conn)
		u.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte // a second copy of an earlier answer
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			u.rec.log("server  %s sends a second copy of an earlier answer late", u.id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := u.handle(request, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if request.URL.Path != "/health" && u.repeats() {
			late = answer
		}
	}
}

// repeats decides whether the last answer is sent once more.
func (u *upstream) repeats() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.repeatLate()
}

// handle runs or refuses a request and returns the bytes of the response.
func (u *upstream) handle(request *http.Request, body []byte) []byte {
	id := request.Header.Get("Request-Id")
	header := "Keep-Alive: timeout=10\r\n"
	if u.leaving.Load() {
		header += "Server-Leaving: 1\r\n"
	}
	if request.URL.Path == "/health" {
		status := http.StatusOK
		if u.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		return respond(status, header+"Instance-Id: "+u.id+"\r\n", nil)
	}
	header += "Request-Id: " + id + "\r\n"
	refused := header + "Not-Executed: 1\r\n"
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		u.rec.log("server  %s refuses %s with 421, expected is %s", u.id, id, expected)
		return respond(http.StatusMisdirectedRequest, refused+"Instance-Id: "+u.id+"\r\n", nil)
	}
	if id == "" {
		return respond(http.StatusBadRequest, refused, nil)
	}
	u.mutex.Lock()
	full := u.running >= u.slots || u.shed()
	if !full {
		u.running++
		u.runs = append(u.runs, run{id: id, caller: request.Header.Get("Caller-Service"), upstream: u.id, startedAt: u.rec.now()})
	}
	u.mutex.Unlock()
	if full {
		u.rec.log("server  %s refuses %s with 503, not executed", u.id, id)
		return respond(http.StatusServiceUnavailable, refused, nil)
	}
	defer func() {
		u.mutex.Lock()
		u.running--
		u.mutex.Unlock()
	}()
	u.rec.log("server  %s runs %s %s %s, %d bytes, Caller-Service %s, Request-Deadline %s", u.id, request.Method, request.RequestURI,
		id, len(body), request.Header.Get("Caller-Service"), request.Header.Get("Request-Deadline"))
	work, size := workAndSize(request.URL.Path)
	if ms, err := strconv.Atoi(request.Header.Get("Request-Deadline")); err == nil && time.Duration(ms)*time.Millisecond < work {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return respond(http.StatusGatewayTimeout, header+"Response-Seal: "+seal(id, nil)+"\r\n", nil)
	}
	time.Sleep(work)
	content := bytes.Repeat([]byte(id[:1]), size)
	return respond(http.StatusOK, header+"Response-Seal: "+seal(id, content)+"\r\n", content)
}

func respond(status int, header string, body []byte) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	return append(out, body...)
}

// seal is the digest of an answer.
func seal(id string, body []byte) string {
	digest := sha256.Sum256(append([]byte(id+"\n"), body...))
	return fmt.Sprintf("%x", digest[:8])
}

// workAndSize reads the work and the size of the response from a path of the form /prefix/WORK/SIZE.
func workAndSize(path string) (time.Duration, int) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) < 3 {
		return 0, 100
	}
	ms, _ := strconv.Atoi(parts[1])
	size, _ := strconv.Atoi(parts[2])
	return time.Duration(ms) * time.Millisecond, size
}

// allRuns returns the runs so far.
func (u *upstream) allRuns() []run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]run(nil), u.runs...)
}

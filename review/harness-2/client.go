package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

func (n *node) isReady() bool {
	r, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int // 0 without a complete answer
	seal   string
	header http.Header
	body   int
	err    error
}

// request is what a client sends, on a connection of its own.
func request(n *node, method, host, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + 300*time.Millisecond))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + a.id + "\r\nRequest-Deadline: " +
		strconv.Itoa(int(deadline.Milliseconds())) + "\r\n"
	if body != nil {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	a.sent = time.Now()
	if _, err = io.WriteString(c, head+"\r\n"); err == nil && body != nil {
		_, err = c.Write(body)
	}
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	}
	if err == nil {
		var text []byte
		text, err = io.ReadAll(r.Body)
		a.body, a.header, a.seal = len(text), r.Header, r.Header.Get("Response-Seal")
		if err == nil {
			a.status = r.StatusCode
		}
	}
	a.err, a.ended = err, time.Now()
	return a
}

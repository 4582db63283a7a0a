package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["uploads"] = uploads }

// upload sends a body in chunks and returns the status of the answer, or 0 without one.
func upload(n *node, id string, size int, deadline time.Duration) int {
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + 300*time.Millisecond))
	go func() {
		_, err := fmt.Fprintf(c, "POST /load/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			hostName, id, deadline.Milliseconds())
		block := bytes.Repeat([]byte("scan"), 8<<10)
		for sent := 0; sent < size && err == nil; sent += len(block) {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(block), block)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}()
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// uploads lets clients send large bodies, all within the limits of the configuration, beside other clients that send safe requests on kept
// connections. With trouble false, the bodies have the largest size that the site file names. The rule LOST is broken if more than three
// requests of kept connections were passed on to an upstream and got no answer.
func uploads(f *fleet, trouble bool) (int, error) {
	const memoryMB, uploading, browsing = 184, 3, 8 // clients of each machine
	size, deadline := 54<<20, 1200*time.Millisecond // limits.max_body_bytes is 64 << 20
	if !trouble {
		size = 360000
	}
	upstreams, err := deploy(f, memoryMB, "cat", "cat", "ord", "ord")
	if err != nil {
		return couldNot, err
	}
	c, err := f.watch(memoryMB)
	if err != nil {
		return couldNot, err
	}
	var over atomic.Bool
	var clients sync.WaitGroup
	uploaded := &answerCounts{counts: map[string]int{}}
	for _, n := range f.nodes {
		for range uploading {
			clients.Go(func() {
				for !over.Load() {
					uploaded.add(strconv.Itoa(upload(n, newID(), size, deadline)))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	c.browse(&clients, browsing, over.Load)
	length := 60 * time.Second
	if !trouble {
		length = 30 * time.Second
	}
	for end := time.Now().Add(length); time.Now().Before(end) && c.killed.total() < 12; {
		time.Sleep(100 * time.Millisecond)
	}
	over.Store(true)
	clients.Wait()
	f.note("uploads by status of the answer: %v", uploaded.counts)
	return c.result(upstreams), nil
}

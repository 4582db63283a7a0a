package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["uploads"] = uploads }

// upload sends a body in chunks. It returns the status of the answer, or 0 without one, and the wait that the answer asks for.
func upload(n *node, id string, size int, end time.Time) (status int, wait time.Duration) {
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	limit := time.Until(end)
	go func() {
		_, err := fmt.Fprintf(c, "POST /load/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			hostName, id, limit.Milliseconds())
		block := bytes.Repeat([]byte("scan"), 8<<10)
		for sent := 0; sent < size && err == nil; sent += len(block) {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(block), block)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}()
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return r.StatusCode, time.Duration(seconds * float64(time.Second))
}

// uploadWithRetries repeats an upload that was refused: once, after the wait that the answer asks for, or, if the client is one of those
// that do not wait, three times at once.
func (f *fleet) uploadWithRetries(n *node, size int, limit time.Duration, impatient bool, counts *answerCounts) {
	end := time.Now().Add(limit)
	retries := 1
	if impatient {
		retries = 3
	}
	for attempt := 0; ; attempt++ {
		id, started := newID(), time.Now()
		status, wait := upload(n, id, size, end)
		counts.add(strconv.Itoa(status))
		f.note("upload %s of %d bytes to %s, attempt %d: answer %d after %.3f s", id, size, n.name, attempt+1, status, time.Since(started).Seconds())
		if status != http.StatusServiceUnavailable || attempt == retries {
			return
		}
		if !impatient {
			time.Sleep(min(wait, time.Until(end)/3))
		}
		if time.Until(end) < 100*time.Millisecond {
			return
		}
	}
}

// uploads lets clients send large bodies, all within the limits of the configuration, beside other clients that send safe requests on kept
// connections. With trouble false, the bodies have the largest size that the site file names. The rule LOST is broken if more than three
// requests of kept connections were passed on to an upstream and got no answer.
func uploads(f *fleet, trouble bool) (int, error) {
	const memoryMB, browsing, perTenSeconds, impatientOfTen = 184, 8, 25, 4 // at each machine
	const length, impatientSpan, spanInterval = 18 * time.Second, 5 * time.Second, 6 * time.Second
	size, limit := 55<<20, 3*time.Second // limits.max_body_bytes is 64 << 20
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
	started := time.Now()
	end := started.Add(length)
	for _, n := range f.nodes {
		clients.Go(func() {
			for time.Now().Before(end) {
				impatient := rand.IntN(10) < impatientOfTen && time.Since(started)%spanInterval < impatientSpan
				clients.Go(func() { f.uploadWithRetries(n, size, limit, impatient, uploaded) })
				time.Sleep(time.Second * 10 / perTenSeconds)
			}
		})
	}
	c.browse(&clients, browsing, over.Load)
	time.Sleep(time.Until(end.Add(limit)))
	over.Store(true)
	clients.Wait()
	f.note("uploads by status of the answer: %v", uploaded.counts)
	return c.result(upstreams), nil
}

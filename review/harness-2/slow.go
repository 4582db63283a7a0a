package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["slow"] = slowReaders }

// dialSmall opens a connection whose buffers are as small as those of a client behind a network: on loopback, the kernel would hold
// megabytes for it.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	return dialer.Dial("tcp", address)
}

// readSlowly sends safe requests on one connection, before the first one is answered, reads the answers at 4 KB/s, and leaves when the
// time limit of the requests has passed. With slow false, it reads without pauses. It returns the number of bytes read.
func readSlowly(n *node, requests int, deadline time.Duration, slow bool) (read int) {
	c, err := dialSmall(n.outbound)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0
	}
	defer func() { _ = c.Close() }()
	var text strings.Builder
	for range requests {
		fmt.Fprintf(&text, "GET /browse/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n\r\n", hostName, newID(), deadline.Milliseconds())
	}
	end := time.Now().Add(deadline)
	_ = c.SetDeadline(end)
	if _, err := c.Write([]byte(text.String())); err != nil {
		return 0
	}
	size, pause := 64<<10, time.Duration(0)
	if slow {
		size, pause = 1<<10, 250*time.Millisecond
	}
	buffer := make([]byte, size)
	for {
		count, err := c.Read(buffer)
		read += count
		if err != nil {
			return read
		}
		time.Sleep(pause)
	}
}

// slowReaders lets clients of one machine read slowly, beside others that send safe requests on kept connections. With trouble false, they
// read at once.
func slowReaders(f *fleet, trouble bool) (int, error) {
	const memoryMB, slowClients, requests, browsing = 184, 250, 32, 8
	const deadline = 5 * time.Second
	upstreams, err := deploy(f, memoryMB, "cat", "cat", "ord", "ord")
	if err != nil {
		return couldNot, err
	}
	for _, u := range upstreams {
		u.set(func() { u.size = 30000 }) // the largest answer that the site file names for the requests that are sent in this way
	}
	c, err := f.watch(memoryMB)
	if err != nil {
		return couldNot, err
	}
	var over atomic.Bool
	var clients sync.WaitGroup
	entry := f.nodes[2]
	for i := range slowClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * deadline / slowClients)
			for !over.Load() {
				read := readSlowly(entry, requests, deadline, trouble)
				f.note("a client sent %d requests and read %d bytes of their answers", requests, read)
			}
		})
	}
	c.browse(&clients, browsing, over.Load)
	length := 40 * time.Second
	for end := time.Now().Add(length); time.Now().Before(end) && c.killed.total() < 6; {
		time.Sleep(100 * time.Millisecond)
	}
	over.Store(true)
	clients.Wait()
	return c.result(upstreams), nil
}

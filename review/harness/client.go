package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

// client is one connection of a client to its node.
type client struct {
	rec    *recorder
	conn   net.Conn
	reader *bufio.Reader
	// closed is set after an answer that closes the connection, and after a failure.
	closed bool
	// stall is how long the client pauses before it sends the last eighth of a request.
	stall time.Duration
}

// connectTimeout is how long a client allows for a new connection.
const connectTimeout = time.Second

func dial(rec *recorder, address string) (*client, error) {
	return dialWith(rec, address, &net.Dialer{Timeout: connectTimeout})
}

// dialSmall opens a connection with a small receive buffer, for a client that reads slowly.
func dialSmall(rec *recorder, address string) (*client, error) {
	return dialWith(rec, address, &net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
		if err != nil {
			return err
		}
		return failure
	}})
}

func dialWith(rec *recorder, address string, dialer *net.Dialer) (*client, error) {
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{rec: rec, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	limit                  time.Duration
	body                   []byte
}

// answer is what the client saw of a request. Status is 0 if the connection ended without a complete answer.
type answer struct {
	request
	sentAt, endedAt time.Duration
	status          int
	sealed, whole   bool
	// behind is set if the request was sent behind an answer that closed the connection.
	behind bool
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) send(r request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", r.method, r.path, r.host, r.id,
		r.limit.Milliseconds())
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	out := append([]byte(head+"\r\n"), r.body...)
	c.rec.log("client  sends %s %s %s, %d bytes, time limit %d ms, from %s", r.method, r.path, r.id, len(r.body), r.limit.Milliseconds(),
		c.conn.LocalAddr())
	_ = c.conn.SetDeadline(time.Now().Add(r.limit))
	if c.stall > 0 {
		most := len(out) / 8 * 7
		if _, err := c.conn.Write(out[:most]); err != nil {
			return err
		}
		time.Sleep(c.stall)
		out = out[most:]
	}
	_, err := c.conn.Write(out)
	return err
}

// do sends a request and reads its answer.
func (c *client) do(r request) answer {
	a := answer{request: r, sentAt: c.rec.now()}
	a.err = c.send(r)
	if a.err == nil {
		c.read(&a)
	}
	a.endedAt = c.rec.now()
	if a.err != nil {
		c.closed = true
		_ = c.conn.Close()
		c.rec.log("client  %s ends without a complete answer: %v", r.id, a.err)
	} else {
		c.rec.log("client  %s is answered %d, seal %t, whole %t", r.id, a.status, a.sealed, a.whole)
	}
	return a
}

func (c *client) read(a *answer) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return
	}
	a.status = response.StatusCode
	a.sealed = response.Header.Get("Response-Seal") != ""
	a.whole = response.Header.Get("Response-Seal") == seal(a.id, body)
	if response.Close {
		c.closed = true
		_ = c.conn.Close()
	}
}

func (c *client) close() { _ = c.conn.Close() }

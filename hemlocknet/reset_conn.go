package hemlocknet

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// writeEndWait is how long a read at the end of the connection waits for a write in progress before it interrupts it. A peer that has
// sent its response and goes on reading gets the rest of the request within this time.
const writeEndWait = 200 * time.Millisecond

// ResetConn reports to its reader that the connection was reset, also if a write got the error. The kernel reports a reset once: if a
// concurrent write gets it, the next read returns io.EOF, as at the plain end of a connection. One goroutine at a time may read.
type ResetConn struct {
	net.Conn
	// writer is full while a write is in progress. It guards writeErr.
	writer chan struct{}
	// writeErr is the error of the first write that failed for another reason than a deadline, or nil.
	writeErr error
}

// NewResetConn returns a connection that tells a reset from a plain end.
func NewResetConn(connection net.Conn) *ResetConn {
	return &ResetConn{Conn: connection, writer: make(chan struct{}, 1)}
}

// Write implements net.Conn.
func (c *ResetConn) Write(data []byte) (int, error) {
	c.writer <- struct{}{}
	defer func() { <-c.writer }()
	return c.write(data)
}

// WriteInBackground writes data in another goroutine and then calls done with the error of the write. The write is in progress for a read
// that begins after WriteInBackground has returned, even if the goroutine has not been scheduled yet.
func (c *ResetConn) WriteInBackground(data []byte, done func(err error)) {
	c.writer <- struct{}{}
	go func() {
		defer func() { <-c.writer }()
		_, err := c.write(data)
		done(err)
	}()
}

// write must be called with writer full.
func (c *ResetConn) write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (c *ResetConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != io.EOF { //nolint:errorlint // net.Conn returns io.EOF itself
		return n, err
	}
	if failure := c.lastWriteError(); failure != nil {
		return n, errors.Wrap(failure, "the connection was reset while a request was being written")
	}
	return n, io.EOF
}

// lastWriteError waits for a write in progress and returns the error of the first write that failed. A write that got the reset has
// returned from the kernel, so it ends even if it is interrupted.
func (c *ResetConn) lastWriteError() error {
	timer := time.NewTimer(writeEndWait)
	defer timer.Stop()
	select {
	case c.writer <- struct{}{}:
	case <-timer.C:
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writer <- struct{}{}
	}
	defer func() { <-c.writer }()
	return c.writeErr
}

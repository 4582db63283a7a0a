// Package hemlocknet wraps network connections. Conn reports whether a write has started since an earlier moment,
// which decides whether a failed request can be refused with the verdict not-run. LimitedReader limits how many bytes
// a peer may send. ResetConn tells a reset from a plain end.
package hemlocknet

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errClosedUnwritten = errors.New("write on a connection that was closed by CloseIfUnwritten")

// Conn counts writes. A write is counted before its first byte is sent, so an unchanged count proves that nothing was
// sent.
type Conn struct {
	net.Conn

	mutex           sync.Mutex
	writes          uint64 // never decreases
	closedUnwritten bool   // set by CloseIfUnwritten, never reset
}

// NewConn returns a counting connection.
func NewConn(connection net.Conn) *Conn {
	return &Conn{Conn: connection}
}

// Write implements net.Conn. It fails after CloseIfUnwritten has returned true.
func (c *Conn) Write(data []byte) (int, error) {
	if err := c.countWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *Conn) countWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closedUnwritten {
		return errClosedUnwritten
	}
	c.writes++
	return nil
}

// WriteCount returns the number of writes so far, including those in progress and those that failed.
func (c *Conn) WriteCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// CloseIfUnwritten reports whether no write has started since WriteCount returned the given count. If so, it also makes
// every later write fail and closes the connection, so that a writer that still runs in another goroutine cannot make
// the result wrong afterwards.
func (c *Conn) CloseIfUnwritten(count uint64) bool {
	c.mutex.Lock()
	unwritten := c.writes == count
	if unwritten {
		c.closedUnwritten = true
	}
	c.mutex.Unlock()
	if unwritten {
		_ = c.Close()
	}
	return unwritten
}

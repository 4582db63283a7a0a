// Package hemlocknet knows whether a connection has written anything since a given moment, which decides whether a
// failed request can be reported as not run.
package hemlocknet

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("write on a sealed connection")

// Conn counts writes. A write counts before its first byte leaves, so that a count that did not change proves that
// nothing was sent.
type Conn struct {
	net.Conn

	mutex  sync.Mutex
	writes uint64 // never decreases
	sealed bool   // never reset
}

// NewConn returns a counting connection.
func NewConn(connection net.Conn) *Conn {
	return &Conn{Conn: connection}
}

// Write implements net.Conn. It fails on a sealed connection.
func (c *Conn) Write(data []byte) (int, error) {
	if err := c.count(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *Conn) count() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return errSealed
	}
	c.writes++
	return nil
}

// WriteCount returns the number of writes so far.
func (c *Conn) WriteCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// CloseIfUnwritten reports whether nothing was written since the mark. If so, it also forbids every later write and closes the
// connection: a writer that still runs in another goroutine cannot make the report wrong afterwards.
func (c *Conn) CloseIfUnwritten(mark uint64) bool {
	c.mutex.Lock()
	unwritten := c.writes == mark
	if unwritten {
		c.sealed = true
	}
	c.mutex.Unlock()
	if unwritten {
		_ = c.Close()
	}
	return unwritten
}

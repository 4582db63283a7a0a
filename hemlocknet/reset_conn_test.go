package hemlocknet

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// scriptedConn is a connection whose reads are at its end and whose writes block until their error is known or the write deadline has
// been set.
type scriptedConn struct {
	net.Conn
	writeErr chan error
	deadline chan struct{}
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{writeErr: make(chan error, 1), deadline: make(chan struct{})}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write(data []byte) (int, error) {
	select {
	case err := <-c.writeErr:
		return len(data), err
	case <-c.deadline:
		return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
	}
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// Guards against a reset that a concurrent write has got from the kernel, and that the reader takes for a plain end.
func TestReadReportsResetThatAWriteGot(t *testing.T) {
	reset := &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	for name, c := range map[string]struct {
		// after is when the write returns its error.
		after time.Duration
		err   error
	}{
		"before the read":           {after: 0, err: reset},
		"after the read has ended":  {after: 50 * time.Millisecond, err: reset},
		"and the request is whole":  {after: 50 * time.Millisecond},
		"and the peer reads slowly": {after: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripted := newScriptedConn()
				connection := NewResetConn(scripted)
				written := make(chan struct{})
				connection.WriteInBackground([]byte("x"), func(error) { close(written) })
				time.AfterFunc(c.after, func() { scripted.writeErr <- c.err })
				if c.after == 0 {
					<-written
				}
				started := time.Now()
				_, err := connection.Read(make([]byte, 1))
				if got := errors.Is(err, syscall.ECONNRESET); got != (c.err != nil) || !got && err != io.EOF { //nolint:errorlint // io.EOF must not be wrapped
					t.Errorf("error %v, want the reset: %v", err, c.err != nil)
				}
				if took := time.Since(started); took > writeEndWait {
					t.Errorf("the read ended after %v, want at most %v", took, writeEndWait)
				}
				<-written
				time.Sleep(c.after)
			})
		})
	}
}

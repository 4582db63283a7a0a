// Package hemlockresponse is the strict reading of HTTP/1.1 responses (RFC 9110 and 9112) that the clients of targets and of the store share.
// Conn checks the bytes of a peer before a parser of a library sees them: what a lenient parser would repair is no response. CheckHead and
// CheckHeadLines hold responses that arrive in other formats to the same rules.
//
// A recipient may repair these, and Conn passes them on: the same Content-Length more than once, a missing blank behind the status, an
// unknown minor version. It refuses what a recipient may repair only at the risk of another framing: line feeds without a carriage
// return, folded lines, blanks before a colon, Content-Length beside Transfer-Encoding.
package hemlockresponse

import (
	"bytes"
	"io"
	"net"
	"sync"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockmemory"
	"hemlockhollow/hemlocknet"
)

// Conn is the client's end of an HTTP/1.1 connection. Its reader gets the head of a response only once the whole head has been checked, and
// the lines that frame a body only once each has been. The first byte that breaks the protocol fails the read, and all later ones. Conn
// also tells a reset from the plain end of a connection, see hemlocknet.ResetConn.
//
// One goroutine at a time may read. The other methods are safe for concurrent use.
type Conn struct {
	*hemlocknet.ResetConn
	// memory limits the heads of all connections together; nil means that they are not limited.
	memory *hemlockmemory.Budget

	mutex  sync.Mutex
	parser parser
	// buffer holds the bytes that were received and not read: first those that have been checked and may be read, then the checked lines
	// of an incomplete head, then an incomplete line or what follows a complete response.
	buffer []byte
	// readable is the number of bytes in buffer that may be read, checked that of those that have been checked, and searched that of those
	// before which no unchecked line ends; readable <= checked <= searched <= len(buffer).
	readable, checked, searched int
	// err is returned once the readable bytes have been read; never reset.
	err error
	// reservation is the memory of the heads since Expect; nil while it is not worth counting.
	reservation *hemlockmemory.Reservation
	// closed is set by Close, so that a read in progress reserves no memory after it.
	closed bool
}

// Option configures a Conn.
type Option func(*Conn)

// WithMemoryBudget sets the budget that limits the heads of all connections together.
func WithMemoryBudget(budget *hemlockmemory.Budget) Option {
	return func(c *Conn) { c.memory = budget }
}

// NewConn returns a connection that expects no response yet.
func NewConn(connection net.Conn, options ...Option) *Conn {
	c := &Conn{ResetConn: hemlocknet.NewResetConn(connection)}
	for _, o := range options {
		o(c)
	}
	return c
}

// Expect begins a response to a request with the method. It must precede each response, also one that is skipped. It has no effect while a
// response is incomplete.
func (c *Conn) Expect(method string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.parser.phase == phaseIdle {
		c.releaseMemory()
		c.parser.expect(method)
	}
}

// IsIdle reports whether no response is expected and nothing has been received behind the last one, so that the connection may carry
// another request.
func (c *Conn) IsIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parser.phase == phaseIdle && len(c.buffer) == 0 && c.err == nil
}

// ReleaseMemory frees the memory that was reserved for the heads since Expect. Their headers must no longer be in use.
func (c *Conn) ReleaseMemory() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.releaseMemory()
}

// Close implements net.Conn. It also frees the memory that was reserved.
func (c *Conn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.releaseMemory()
	c.mutex.Unlock()
	return c.ResetConn.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	for len(into) > 0 {
		if n, err := c.readBuffer(into); n > 0 || err != nil {
			return n, err
		}
		n, err := c.ResetConn.Read(into)
		if readable := c.receive(into[:n], err); readable > 0 {
			return readable, nil
		}
	}
	return 0, nil
}

// readBuffer returns checked bytes, or the error behind the last of them, or neither if more must be received.
func (c *Conn) readBuffer(into []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readable == 0 && c.err == nil {
		c.err = c.checkUnread()
	}
	if c.readable == 0 {
		return 0, c.err
	}
	n := copy(into, c.buffer[:c.readable])
	c.removeReadable(n)
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n, nil
}

// removeReadable removes bytes that have been read from the buffer.
func (c *Conn) removeReadable(n int) {
	c.buffer = c.buffer[n:]
	c.readable, c.checked, c.searched = c.readable-n, c.checked-n, c.searched-n
}

// checkUnread checks the bytes that arrived behind the last response. Unless another response is expected by now, they belong to none. A
// transport of net/http reads on while its connection is idle, so the heads of the last response are no longer in use.
func (c *Conn) checkUnread() error {
	if c.parser.phase != phaseIdle {
		return c.checkBuffer()
	}
	c.releaseMemory()
	if len(c.buffer) > 0 {
		return hemlockerror.New(operationRead, KindSurplus, "the peer sent bytes without a request")
	}
	return nil
}

// receive takes what a read of the connection returned. It returns the number of bytes from the first one on that may be read at once, and
// keeps a copy of the others.
func (c *Conn) receive(received []byte, err error) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isEmpty := len(c.buffer) == 0
	if isEmpty {
		c.buffer = received // not copied, as usually all of it is readable
	} else {
		c.buffer = append(c.buffer, received...)
	}
	if failure := c.checkBuffer(); failure != nil {
		c.err = failure
	} else if err != nil {
		c.err = c.endError(err)
	}
	if !isEmpty {
		return 0
	}
	readable := c.readable
	c.removeReadable(readable)
	c.buffer = append([]byte(nil), c.buffer...)
	return readable
}

// endError returns the error of a read that follows the last received byte. It wraps io.ErrUnexpectedEOF if a response is incomplete.
func (c *Conn) endError(err error) error {
	if err == io.EOF && (!c.parser.mayEnd() || c.checked < len(c.buffer)) { //nolint:errorlint // ResetConn returns io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkBuffer checks the bytes that have not been, as far as they are complete lines and data of expected responses.
func (c *Conn) checkBuffer() error {
	for c.checked < len(c.buffer) && c.parser.phase != phaseIdle {
		if n := c.parser.skipData(c.buffer[c.checked:]); n > 0 {
			c.markChecked(c.checked + n)
			continue
		}
		end := bytes.IndexByte(c.buffer[c.searched:], '\n')
		if end < 0 {
			c.searched = len(c.buffer)
			return c.checkLimits(len(c.buffer) - c.checked)
		}
		if err := c.checkLine(c.buffer[c.checked : c.searched+end]); err != nil {
			return err
		}
		c.markChecked(c.searched + end + 1)
	}
	return nil
}

// checkLine checks a line that ends with its line feed, which is not part of the argument.
func (c *Conn) checkLine(line []byte) error {
	text, ended := bytes.CutSuffix(line, []byte{'\r'})
	if !ended {
		if c.parser.inHead() {
			return headError("a line that ends without a carriage return")
		}
		return bodyError("a line that ends without a carriage return")
	}
	if err := c.checkLimits(len(text)); err != nil {
		return err
	}
	return c.parser.addLine(text)
}

// markChecked records that the bytes before an index have been checked. Those of an incomplete head stay unreadable.
func (c *Conn) markChecked(index int) {
	c.checked, c.searched = index, index
	if c.parser.phase != phaseField {
		c.readable = index
	}
}

// checkLimits checks the size of an incomplete line, and reserves memory for the head that it belongs to.
func (c *Conn) checkLimits(lineBytes int) error {
	if err := c.parser.checkLineBytes(lineBytes); err != nil {
		return err
	}
	return c.reserveMemory(lineBytes)
}

const (
	// bytesPerHeadByte and bytesPerField are the memory of a parsed head: its bytes exist in the buffer, as values of headers and as
	// header lines, and each field has an entry in a map.
	bytesPerHeadByte = 3
	bytesPerField    = 128
	// uncountedHeadMemory is the memory of a usual head, which is not counted.
	uncountedHeadMemory = 8 << 10
)

// reserveMemory reserves the memory of the head so far, with an incomplete line.
func (c *Conn) reserveMemory(lineBytes int) error {
	if c.memory == nil || c.closed || !c.parser.inHead() {
		return nil
	}
	needed := int64((c.parser.sectionBytes+lineBytes)*bytesPerHeadByte + (c.parser.fieldCount+1)*bytesPerField)
	if needed <= uncountedHeadMemory {
		return nil
	}
	if c.reservation == nil {
		c.reservation, _ = c.memory.Reserve(0) // nothing always fits
	}
	if needed <= c.reservation.Bytes() {
		return nil
	}
	if err := c.reservation.Grow(needed - c.reservation.Bytes()); err != nil {
		return hemlockerror.Wrap(operationRead, KindMemory, err)
	}
	return nil
}

func (c *Conn) releaseMemory() {
	if c.reservation != nil {
		c.reservation.Release()
		c.reservation = nil
	}
}

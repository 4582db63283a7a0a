package hemlocknet

import (
	"io"

	"github.com/pkg/errors"
)

// ErrLimit is the error of a read after as many bytes as the limit of a LimitedReader allows, also at the end of the data.
var ErrLimit = errors.New("the peer sent more bytes than the limit allows")

// LimitedReader fails after a given number of bytes, which protects against peers that send endless data. Unlike
// io.LimitedReader, it returns ErrLimit instead of io.EOF, and the limit can be set again.
type LimitedReader struct {
	source    io.Reader
	remaining int64
	// err is the error of the last read, or nil.
	err error
}

// NewLimitedReader returns a reader with a limit of 0: every read fails until SetLimit is called.
func NewLimitedReader(source io.Reader) *LimitedReader {
	return &LimitedReader{source: source}
}

// SetLimit sets how many further bytes may be read. Bytes that a buffer on top of this reader already contains do not
// count.
func (r *LimitedReader) SetLimit(bytes int64) {
	r.remaining = bytes
}

// Err returns the error with which the last read failed, or nil. A parser on top of this reader may report an error of its own for
// data that ends early.
func (r *LimitedReader) Err() error { return r.err }

// Read implements io.Reader.
func (r *LimitedReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		r.err = ErrLimit
		return 0, ErrLimit
	}
	if int64(len(buffer)) > r.remaining {
		buffer = buffer[:r.remaining]
	}
	n, err := r.source.Read(buffer)
	r.remaining -= int64(n)
	r.err = err
	return n, err
}

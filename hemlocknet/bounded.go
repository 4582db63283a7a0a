package hemlocknet

import (
	"io"

	"github.com/pkg/errors"
)

// ErrBound is a read beyond what a peer may send.
var ErrBound = errors.New("the peer sends more than it may")

// BoundedReader fails after a number of bytes, for peers that send without an end.
type BoundedReader struct {
	source io.Reader
	left   int64
}

// NewBoundedReader returns a reader of which no byte may be read before Allow.
func NewBoundedReader(source io.Reader) *BoundedReader {
	return &BoundedReader{source: source}
}

// Allow sets how many further bytes may be read. A buffer above this reader may hold others already.
func (b *BoundedReader) Allow(bytes int64) {
	b.left = bytes
}

// Read implements io.Reader.
func (b *BoundedReader) Read(into []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrBound
	}
	if int64(len(into)) > b.left {
		into = into[:b.left]
	}
	n, err := b.source.Read(into)
	b.left -= int64(n)
	return n, err
}

package hemlocknet

import (
	"io"

	"github.com/pkg/errors"
)

// ErrLimit is a read beyond what a peer may send.
var ErrLimit = errors.New("the peer sends more than it may")

// LimitedReader fails after a number of bytes, for peers that send without an end.
type LimitedReader struct {
	source io.Reader
	left   int64
}

// NewLimitedReader returns a reader of which no byte may be read before Allow.
func NewLimitedReader(source io.Reader) *LimitedReader {
	return &LimitedReader{source: source}
}

// SetLimit sets how many further bytes may be read. A buffer above this reader may hold others already.
func (b *LimitedReader) SetLimit(bytes int64) {
	b.left = bytes
}

// Read implements io.Reader.
func (b *LimitedReader) Read(into []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrLimit
	}
	if int64(len(into)) > b.left {
		into = into[:b.left]
	}
	n, err := b.source.Read(into)
	b.left -= int64(n)
	return n, err
}

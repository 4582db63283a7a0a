// Package hemlockmemory limits the memory of the bodies that a process holds for others, and of the heads of responses. It does no I/O.
package hemlockmemory

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxSmallBody is the size in bytes up to which a body counts as small.
	maxSmallBody = 64 << 10
	// largeFraction is the fraction of a budget that all large bodies together may use. The rest is left to small ones.
	largeFraction = 0.75
)

// ErrFull means that the budget has no memory left for a body.
var ErrFull = errors.New("no memory is left for bodies")

// Budget limits the bytes of all bodies that a process holds; a head counts as a body. It is safe for concurrent use.
type Budget struct {
	// total limits all bodies, maxLarge the large ones among them.
	total, maxLarge int64

	mutex sync.Mutex
	// used is the memory of all bodies, usedByLarge that of the large ones among them; neither exceeds its limit.
	used, usedByLarge int64
	// refused counts the bodies that did not fit.
	refused uint64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	total := max(1, bytes)
	return &Budget{total: total, maxLarge: int64(float64(total) * largeFraction)}
}

// Snapshot is the state of a budget at a point in time.
type Snapshot struct {
	Total   int64  `json:"total"`
	Used    int64  `json:"used"`
	Refused uint64 `json:"refused"`
}

// Snapshot returns the current state.
func (b *Budget) Snapshot() Snapshot {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Snapshot{Total: b.total, Used: b.used, Refused: b.refused}
}

// Reserve reserves memory for a body of the given size, which may grow. It returns ErrFull if that does not fit.
func (b *Budget) Reserve(bytes int64) (*Reservation, error) {
	r := &Reservation{budget: b}
	return r, r.Grow(bytes)
}

// change changes the size of one body, if the result fits.
func (b *Budget) change(from, to int64) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	used, usedByLarge := b.used+to-from, b.usedByLarge+largePart(to)-largePart(from)
	if to > from && (used > b.total || usedByLarge > b.maxLarge && to > maxSmallBody) {
		b.refused++
		return ErrFull
	}
	b.used, b.usedByLarge = used, usedByLarge
	return nil
}

// largePart returns the bytes by which a body counts as large.
func largePart(bytes int64) int64 {
	if bytes > maxSmallBody {
		return bytes
	}
	return 0
}

// Reservation is the memory reserved for one body. It is used by one goroutine at a time.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Grow reserves memory for further bytes. It returns ErrFull, and reserves nothing, if they do not fit.
func (r *Reservation) Grow(bytes int64) error {
	if err := r.budget.change(r.bytes, r.bytes+bytes); err != nil {
		return err
	}
	r.bytes += bytes
	return nil
}

// Bytes returns the number of reserved bytes.
func (r *Reservation) Bytes() int64 {
	return r.bytes
}

// Release frees the reserved memory. Further calls have no effect.
func (r *Reservation) Release() {
	_ = r.budget.change(r.bytes, 0) // a smaller size always fits
	r.bytes = 0
}

// Reader returns a reader that reserves memory for all bytes read from the source, and fails with ErrFull when they do not fit.
func (r *Reservation) Reader(source io.Reader) io.Reader {
	return &reservingReader{reservation: r, source: source}
}

type reservingReader struct {
	reservation *Reservation
	source      io.Reader
}

// Read implements io.Reader.
func (r *reservingReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	if failure := r.reservation.Grow(int64(n)); failure != nil {
		return n, failure
	}
	return n, err
}

package hemlockmemory

import (
	"errors"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against large bodies that leave no memory for small ones.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := NewBudget(40 << 20)
	var large []*Reservation
	for {
		r, err := b.Reserve(4 << 20)
		if err != nil {
			break
		}
		large = append(large, r)
	}
	if len(large) != 7 { // 28 of 30 MiB
		t.Errorf("%d large bodies fit, want 7", len(large))
	}
	for range 100 {
		if _, err := b.Reserve(maxSmallBody); err != nil {
			t.Fatalf("a small body does not fit beside large ones: %v", err)
		}
	}
	large[0].Release()
	if _, err := b.Reserve(4 << 20); err != nil {
		t.Errorf("a large body does not fit after another one was released: %v", err)
	}
}

// Guards against a body without a declared length that grows beyond the budget.
func TestBodyThatGrowsBeyondTheBudget(t *testing.T) {
	b := NewBudget(1 << 20)
	r, err := b.Reserve(0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, r.Reader(strings.NewReader(strings.Repeat("x", 2<<20))))
	if !errors.Is(err, ErrFull) {
		t.Errorf("error %v, want ErrFull", err)
	}
	r.Release()
	r.Release()
	if s := b.Snapshot(); s.Used != 0 || s.Refused != 1 {
		t.Errorf("snapshot %+v, want nothing used and one refused body", s)
	}
}

// Guards against memory that is never freed, and against more reserved memory than the budget has.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(rapid.Int64Range(1, 1<<20).Draw(t, "budget"))
		var reservations []*Reservation
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			size := rapid.Int64Range(0, 1<<19).Draw(t, "size")
			if len(reservations) > 0 && rapid.Bool().Draw(t, "release") {
				reservations[0].Release()
				reservations = reservations[1:]
			} else if r, err := b.Reserve(size); err == nil {
				reservations = append(reservations, r)
				_ = r.Grow(size) // it may not fit
			}
			var sum int64
			for _, r := range reservations {
				sum += r.Bytes()
			}
			if s := b.Snapshot(); s.Used != sum || s.Used > s.Total {
				t.Fatalf("snapshot %+v, want %d used and no more than the total", s, sum)
			}
		}
		for _, r := range reservations {
			r.Release()
		}
		if s := b.Snapshot(); s.Used != 0 || b.usedByLarge != 0 {
			t.Fatalf("snapshot %+v, want nothing used", s)
		}
	})
}

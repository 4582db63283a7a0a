package hemlockclaim_test

import (
	"context"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"hemlockhollow/hemlockclaim"
)

// fault determines what happens to a transaction.
type fault int

const (
	none   fault = iota // the write succeeds
	unsent              // fails and never takes effect
	lost                // takes effect, but the reply is lost
	late                // takes effect when applyLate is called, but the reply is lost
)

// fakeTable is a table that never reuses a row version. The faults of injectFaults apply to its next transactions, one
// each; the conditions of the changes decide about further transactions.
type fakeTable struct {
	mutex        sync.Mutex
	rows         map[string]hemlockclaim.Row
	version      uint64
	faults       []fault
	failReads    bool
	lateWrites   [][]hemlockclaim.Change
	latency      time.Duration
	transactions int
	batchSizes   []int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]hemlockclaim.Row{}}
}

func (f *fakeTable) Read(_ context.Context, key string) (hemlockclaim.Row, bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failReads {
		return hemlockclaim.Row{}, false, hemlockclaim.NewError("read", hemlockclaim.KindUnavailable, "fault")
	}
	row, found := f.rows[key]
	return row, found, nil
}

func (f *fakeTable) Transact(ctx context.Context, changes []hemlockclaim.Change) ([]string, error) {
	if f.latency > 0 {
		select {
		case <-time.After(f.latency):
		case <-ctx.Done():
			return nil, hemlockclaim.WrapError("write", hemlockclaim.KindUnknown, ctx.Err())
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.transactions++
	f.batchSizes = append(f.batchSizes, len(changes))
	var current fault
	if len(f.faults) > 0 {
		current, f.faults = f.faults[0], f.faults[1:]
	}
	switch current {
	case unsent:
		return nil, hemlockclaim.NewError("write", hemlockclaim.KindUnavailable, "fault")
	case late:
		f.lateWrites = append(f.lateWrites, changes)
		return nil, hemlockclaim.NewError("write", hemlockclaim.KindUnknown, "fault")
	case lost:
		f.apply(changes)
		return nil, hemlockclaim.NewError("write", hemlockclaim.KindUnknown, "fault")
	}
	return f.apply(changes), nil
}

func (f *fakeTable) apply(changes []hemlockclaim.Change) []string {
	var failed []string
	for _, c := range changes {
		if f.rows[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return failed
	}
	for _, c := range changes {
		f.version++
		c.Row.Version = f.version
		f.rows[c.Key] = c.Row
		if c.Delete {
			delete(f.rows, c.Key)
		}
	}
	return nil
}

// applyLate applies the late write with the given index and removes it from the late writes.
func (f *fakeTable) applyLate(index int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.apply(f.lateWrites[index])
	f.lateWrites = append(f.lateWrites[:index:index], f.lateWrites[index+1:]...)
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]hemlockclaim.Entry, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var entries []hemlockclaim.Entry
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, hemlockclaim.Entry{Key: key, Row: row})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries[:min(limit, len(entries))], nil
}

func (f *fakeTable) injectFaults(faults ...fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

func (f *fakeTable) claimer(options ...hemlockclaim.Option) *hemlockclaim.Claimer {
	batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(f))
	return hemlockclaim.New(hemlockclaim.NewStore(f, batcher), "orders", time.Hour, options...)
}

// keyAt returns a UUID version 7 with the given time and serial number.
func keyAt(at time.Time, serial byte) string {
	var id uuid.UUID
	for i, milliseconds := 5, at.UnixMilli(); i >= 0; i, milliseconds = i-1, milliseconds>>8 {
		id[i] = byte(milliseconds)
	}
	id[6], id[8], id[15] = 0x70, 0x80, serial
	return id.String()
}

// wantKind checks the kind of a claim error. The empty kind stands for nil, but an error that is not a claim error passes
// as well.
func wantKind(t testing.TB, err error, kind hemlockclaim.Kind) {
	t.Helper()
	if got := hemlockclaim.KindOf(err); got != kind {
		t.Errorf("error %v, want kind %q", err, kind)
	}
}

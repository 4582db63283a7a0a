package hemlockclaim_test

import (
	"context"
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
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

// fakeTable is a table that reuses a row version only after it has returned from a copy. The faults of injectFaults apply to its next
// transactions, one each; the conditions of the changes decide about further transactions.
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
	// era rises with each return from a copy; eraRecord is valid if eraVersion is above 0.
	era        int
	eraRecord  hemlockclaim.EraRecord
	eraVersion uint64
}

// copy returns a function that makes the table return from a copy of its present content.
func (f *fakeTable) copy() (restore func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rows, version, record, eraVersion := maps.Clone(f.rows), f.version, f.eraRecord, f.eraVersion
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.era++
		f.rows, f.version, f.eraRecord, f.eraVersion = maps.Clone(rows), version, record, eraVersion
	}
}

// fakeClient is the access of one node to a fakeTable.
type fakeClient struct {
	*fakeTable
	// stated is the era of the last response.
	stated atomic.Int64
}

func (c *fakeClient) observe() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stated.Store(int64(c.era))
	return fmt.Sprint(c.era)
}

func (c *fakeClient) Read(ctx context.Context, key string) (hemlockclaim.Row, bool, error) {
	row, found, err := c.fakeTable.Read(ctx, key)
	if err == nil {
		row.ReadEra = c.observe()
	}
	return row, found, err
}

func (c *fakeClient) Transact(ctx context.Context, changes []hemlockclaim.Change) ([]string, error) {
	failed, err := c.fakeTable.Transact(ctx, changes)
	if err != nil || failed != nil {
		return failed, err
	}
	era := c.observe()
	for _, change := range changes {
		if !change.Delete && change.Row.Era != era {
			return nil, hemlockclaim.NewError("write", hemlockclaim.KindUnknown, "another era")
		}
	}
	return nil, nil
}

func (c *fakeClient) StatedEra() string { return fmt.Sprint(c.stated.Load()) }

func (c *fakeClient) ReadEra(context.Context) (hemlockclaim.EraRecord, uint64, string, error) {
	if c.failReads {
		return hemlockclaim.EraRecord{}, 0, "", hemlockclaim.NewError("read", hemlockclaim.KindUnavailable, "fault")
	}
	stated := c.observe()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.eraRecord, c.eraVersion, stated, nil
}

func (c *fakeClient) WriteEra(_ context.Context, version uint64, record hemlockclaim.EraRecord) (bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version != c.eraVersion || record.Era != fmt.Sprint(c.era) {
		return false, nil
	}
	c.version++
	c.eraRecord, c.eraVersion = record, c.version
	return true, nil
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]hemlockclaim.Row{}, eraRecord: hemlockclaim.EraRecord{Era: "0"}, eraVersion: 1, version: 1}
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
	client := &fakeClient{fakeTable: f}
	batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(client))
	options = append([]hemlockclaim.Option{hemlockclaim.WithEras(hemlockclaim.NewEraTracker(client))}, options...)
	return hemlockclaim.New(hemlockclaim.NewStore(client, batcher), "orders", time.Hour, options...)
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

package hemlockclaim

import (
	"context"
	"sync"
	"time"
)

// Batcher combines the changes of concurrent callers into batches for its Writer. It starts at most one write per
// interval: a change that arrives after an idle interval is written immediately, otherwise the write starts one
// interval after the start of the last one, or later if the maximum number of writes is running. It is safe for
// concurrent use.
type Batcher struct {
	writer   Writer
	settings batchSettings

	mutex sync.Mutex
	// queue contains the changes that are in no batch yet, in order of arrival; at most settings.maxQueued.
	queue []*pendingChange
	// lastStart is when the last write was started.
	lastStart time.Time
	// scheduled is true while a timer is pending that calls flush.
	scheduled bool
	// running is the number of running writes; at most settings.maxRunning.
	running int
	counts  BatchCounts
}

// BatchCounts are the totals of a Batcher since its creation, and the current values of Queued and InFlight.
type BatchCounts struct {
	// Writes is the number of calls to the Writer.
	Writes uint64 `json:"writes"`
	// Changes is the number of changes in these calls.
	Changes uint64 `json:"changes"`
	// Failed is the number of writes that returned an error.
	Failed uint64 `json:"failed"`
	// Rejected is the number of changes that were rejected because the queue was full.
	Rejected uint64 `json:"rejected"`
	// Abandoned is the number of queued changes that were removed because the context of their Write call ended.
	Abandoned uint64 `json:"abandoned"`
	// Queued and InFlight are the current numbers of queued changes and running writes.
	Queued   int `json:"queued"`
	InFlight int `json:"in-flight"`
}

// pendingChange is one change of a caller. The mutex of the Batcher protects sent.
type pendingChange struct {
	change Change
	// sent is set when the change becomes part of a batch; from then on it may take effect.
	sent   bool
	result chan outcome
}

type outcome struct {
	applied bool
	err     error
}

type batchSettings struct {
	interval   func() time.Duration
	maxChanges int
	maxBytes   int
	maxQueued  int
	maxRunning int
	timeout    time.Duration
}

// BatchOption changes a setting of a Batcher.
type BatchOption func(*batchSettings)

// WithInterval sets the minimum time between the starts of two writes; the default is 5 ms.
func WithInterval(interval time.Duration) BatchOption {
	return WithIntervalFunc(func() time.Duration { return interval })
}

// WithIntervalFunc sets a function that returns the minimum time between the starts of two writes. It is called whenever
// a write is scheduled, so that the interval can depend on the number of batchers that share the store.
func WithIntervalFunc(interval func() time.Duration) BatchOption {
	return func(s *batchSettings) { s.interval = interval }
}

// WithBatchLimits sets the maximum number of changes and of bytes in one write; the defaults are 256 and 512 KiB. A
// change that exceeds the byte limit by itself is written alone.
func WithBatchLimits(changes, bytes int) BatchOption {
	return func(s *batchSettings) { s.maxChanges, s.maxBytes = changes, bytes }
}

// WithQueueLimit sets the maximum number of queued changes; the default is 4096.
func WithQueueLimit(changes int) BatchOption {
	return func(s *batchSettings) { s.maxQueued = changes }
}

// WithConcurrency sets the maximum number of concurrent writes; the default is 32.
func WithConcurrency(writes int) BatchOption {
	return func(s *batchSettings) { s.maxRunning = writes }
}

// WithWriteTimeout sets the timeout of one write; the default is 450 ms.
func WithWriteTimeout(timeout time.Duration) BatchOption {
	return func(s *batchSettings) { s.timeout = timeout }
}

// NewBatcher returns a Batcher that writes through the given Writer.
func NewBatcher(writer Writer, options ...BatchOption) *Batcher {
	s := batchSettings{
		interval:   func() time.Duration { return 5 * time.Millisecond },
		maxChanges: 256,
		maxBytes:   512 << 10,
		maxQueued:  4096,
		// Allows a write every 5 ms as long as the store takes up to 160 ms for each.
		maxRunning: 32,
		// Longer than the timeout of a call to the platform, shorter than that of a claim.
		timeout: 450 * time.Millisecond,
	}
	for _, o := range options {
		o(&s)
	}
	return &Batcher{writer: writer, settings: s}
}

// Write implements Writer. Changes that are still queued when the context ends are removed from the queue. If the queue
// has no space for all changes, none is queued and the error is of KindUnavailable.
func (b *Batcher) Write(ctx context.Context, changes []Change) ([]bool, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	if ctx.Err() != nil {
		return nil, wrapError("batch", KindUnavailable, ctx.Err())
	}
	items, err := b.enqueue(changes)
	if err != nil {
		return nil, err
	}
	applied := make([]bool, len(items))
	failures := make([]error, len(items))
	for i, item := range items {
		select {
		case o := <-item.result:
			applied[i], failures[i] = o.applied, o.err
		case <-ctx.Done():
			failures[i] = b.abandon(ctx, item)
		}
	}
	return mergeResults(applied, failures)
}

// mergeResults combines the results of changes that may have been part of different writes. If any change failed, it
// returns an error instead of results. The error is of KindUnavailable only if every change failed with that kind.
func mergeResults(applied []bool, failures []error) ([]bool, error) {
	var failure error
	unwritten := 0
	for _, err := range failures {
		if KindOf(err) == KindUnavailable {
			unwritten++
		}
		if err != nil && (failure == nil || KindOf(failure) == KindUnavailable) {
			failure = err
		}
	}
	if failure != nil && unwritten < len(failures) && KindOf(failure) == KindUnavailable {
		failure = wrapError("batch", KindUnknown, failure)
	}
	if failure != nil {
		return nil, failure
	}
	return applied, nil
}

func (b *Batcher) enqueue(changes []Change) ([]*pendingChange, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.queue)+len(changes) > b.settings.maxQueued {
		b.counts.Rejected += uint64(len(changes))
		return nil, newError("batch", KindUnavailable, "the queue of claim writes is full")
	}
	items := make([]*pendingChange, len(changes))
	for i, change := range changes {
		items[i] = &pendingChange{change: change, result: make(chan outcome, 1)}
	}
	b.queue = append(b.queue, items...)
	b.schedule()
	return items, nil
}

// abandon stops waiting for one change after its context has ended, and returns the error of the change. A change that
// was not sent yet is removed from the queue and has no effect; its error is of KindUnavailable. The error of a change
// that was sent is of KindUnknown.
func (b *Batcher) abandon(ctx context.Context, item *pendingChange) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if item.sent {
		return wrapError("batch", KindUnknown, ctx.Err())
	}
	for i, queued := range b.queue {
		if queued == item {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			break
		}
	}
	b.counts.Abandoned++
	return wrapError("batch", KindUnavailable, ctx.Err())
}

// schedule starts the timer for the next flush if one is needed. The caller holds the mutex.
func (b *Batcher) schedule() {
	if b.scheduled || len(b.queue) == 0 || b.running >= b.settings.maxRunning {
		return
	}
	b.scheduled = true
	time.AfterFunc(max(0, b.settings.interval()-time.Since(b.lastStart)), b.flush)
}

// flush writes the next batch. It runs in the goroutine of the timer.
func (b *Batcher) flush() {
	items := b.nextBatch()
	if len(items) == 0 {
		return
	}
	changes := make([]Change, len(items))
	for i, item := range items {
		changes[i] = item.change
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.timeout)
	defer cancel()
	applied, err := b.writer.Write(ctx, changes)
	if err == nil && len(applied) != len(items) {
		err = newError("batch", KindUnknown, "the number of results differs from the number of changes")
	}
	b.mutex.Lock()
	b.running--
	if err != nil {
		b.counts.Failed++
	}
	b.schedule()
	b.mutex.Unlock()
	for i, item := range items {
		if err != nil {
			item.result <- outcome{err: err}
			continue
		}
		item.result <- outcome{applied: applied[i]}
	}
}

// nextBatch removes the next batch from the queue. Of several changes to one key, only the first becomes part of the
// batch, as at most one of their conditions can hold.
func (b *Batcher) nextBatch() []*pendingChange {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.scheduled = false
	if len(b.queue) == 0 {
		return nil
	}
	var items, remaining []*pendingChange
	seen := map[string]struct{}{}
	size := 0
	for i, item := range b.queue {
		if len(items) >= b.settings.maxChanges || len(items) > 0 && size+item.change.encodedSize() > b.settings.maxBytes {
			remaining = append(remaining, b.queue[i:]...)
			break
		}
		if _, duplicate := seen[item.change.Key]; duplicate {
			remaining = append(remaining, item)
			continue
		}
		seen[item.change.Key] = struct{}{}
		size += item.change.encodedSize()
		item.sent = true
		items = append(items, item)
	}
	b.queue = remaining
	b.lastStart = time.Now()
	b.running++
	b.counts.Writes++
	b.counts.Changes += uint64(len(items))
	b.schedule()
	return items
}

// Counts returns the totals since the creation of the Batcher, the current queue length and the number of running writes.
func (b *Batcher) Counts() BatchCounts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.counts
	counts.Queued, counts.InFlight = len(b.queue), b.running
	return counts
}

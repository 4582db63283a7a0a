package hemlockclaim

import (
	"context"
	"sync"
	"time"
)

// Batcher collects the changes of many callers into one write of its Writer. It starts a write at most once per
// interval: at once after a pause, otherwise when the interval since the last start has passed. It is safe for
// concurrent use.
type Batcher struct {
	writer   Writer
	settings batchSettings

	mutex sync.Mutex
	// queue holds the changes that no write has taken yet, in order of arrival; at most settings.queue.
	queue []*pending
	// last is when the last write was started.
	last time.Time
	// scheduled is true while a timer will call flush.
	scheduled bool
	// inFlight is the number of writes that are running; at most settings.concurrency.
	inFlight int
	counts   BatchCounts
}

// BatchCounts are the totals of a Batcher since its start.
type BatchCounts struct {
	// Writes is the number of calls of the Writer.
	Writes uint64 `json:"writes"`
	// Changes is the number of changes in them.
	Changes uint64 `json:"changes"`
	// Failed is the number of writes that ended with an error.
	Failed uint64 `json:"failed"`
	// Rejected is the number of changes that found the queue full.
	Rejected uint64 `json:"rejected"`
	// Abandoned is the number of changes whose caller left before they were sent.
	Abandoned uint64 `json:"abandoned"`
	// Queued and InFlight are the present numbers of waiting changes and running writes.
	Queued   int `json:"queued"`
	InFlight int `json:"in-flight"`
}

// pending is one change of a caller. The mutex of the Batcher protects taken.
type pending struct {
	change Change
	// taken is set when a write takes the change; from then on it may take effect.
	taken  bool
	result chan outcome
}

type outcome struct {
	applied bool
	err     error
}

type batchSettings struct {
	interval    func() time.Duration
	changes     int
	bytes       int
	queue       int
	concurrency int
	timeout     time.Duration
}

// BatchOption changes a setting of a Batcher.
type BatchOption func(*batchSettings)

// WithInterval sets the shortest time between the starts of two writes; the default is 5 ms.
func WithInterval(interval time.Duration) BatchOption {
	return WithIntervalFunc(func() time.Duration { return interval })
}

// WithIntervalFunc sets where the shortest time between the starts of two writes is read before each write, so that
// it can follow the number of batchers that share the store.
func WithIntervalFunc(interval func() time.Duration) BatchOption {
	return func(s *batchSettings) { s.interval = interval }
}

// WithBatchLimits sets the most changes and bytes in one write; the defaults are 256 and 512 KiB. A single change is
// never too large.
func WithBatchLimits(changes, bytes int) BatchOption {
	return func(s *batchSettings) { s.changes, s.bytes = changes, bytes }
}

// WithQueueLimit sets how many changes may wait; the default is 4096.
func WithQueueLimit(changes int) BatchOption {
	return func(s *batchSettings) { s.queue = changes }
}

// WithConcurrency sets how many writes may run at the same time; the default is 32.
func WithConcurrency(writes int) BatchOption {
	return func(s *batchSettings) { s.concurrency = writes }
}

// WithWriteTimeout sets the time limit of one write; the default is 450 ms.
func WithWriteTimeout(timeout time.Duration) BatchOption {
	return func(s *batchSettings) { s.timeout = timeout }
}

// NewBatcher returns a Batcher on top of a Writer.
func NewBatcher(writer Writer, options ...BatchOption) *Batcher {
	s := batchSettings{
		interval: func() time.Duration { return 5 * time.Millisecond },
		changes:  256,
		bytes:    512 << 10,
		queue:    4096,
		// With a slow store, a write every 5 ms that takes up to 160 ms still keeps the interval.
		concurrency: 32,
		// Longer than one call to the platform, shorter than the time limit of a claim.
		timeout: 450 * time.Millisecond,
	}
	for _, o := range options {
		o(&s)
	}
	return &Batcher{writer: writer, settings: s}
}

// Write implements Writer. When the context ends before the changes were sent, they are taken back.
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
	outcomes := make([]error, len(items))
	for i, item := range items {
		select {
		case o := <-item.result:
			applied[i], outcomes[i] = o.applied, o.err
		case <-ctx.Done():
			outcomes[i] = b.leave(ctx, item)
		}
	}
	return merge(applied, outcomes)
}

// merge returns the results of changes that may have been written apart. The error is of KindUnavailable only if that
// holds for every change.
func merge(applied []bool, outcomes []error) ([]bool, error) {
	var failure error
	unsent := 0
	for _, err := range outcomes {
		if KindOf(err) == KindUnavailable {
			unsent++
		}
		if err != nil && (failure == nil || KindOf(failure) == KindUnavailable) {
			failure = err
		}
	}
	if failure != nil && unsent < len(outcomes) && KindOf(failure) == KindUnavailable {
		failure = wrapError("batch", KindUnknown, failure)
	}
	if failure != nil {
		return nil, failure
	}
	return applied, nil
}

func (b *Batcher) enqueue(changes []Change) ([]*pending, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.queue)+len(changes) > b.settings.queue {
		b.counts.Rejected += uint64(len(changes))
		return nil, newError("batch", KindUnavailable, "too many changes are waiting")
	}
	items := make([]*pending, len(changes))
	for i, change := range changes {
		items[i] = &pending{change: change, result: make(chan outcome, 1)}
	}
	b.queue = append(b.queue, items...)
	b.schedule()
	return items, nil
}

// leave ends the wait for one change. A change that no write has taken is removed and has no effect.
func (b *Batcher) leave(ctx context.Context, item *pending) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if item.taken {
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

// schedule arranges the next flush; the mutex is held.
func (b *Batcher) schedule() {
	if b.scheduled || len(b.queue) == 0 || b.inFlight >= b.settings.concurrency {
		return
	}
	b.scheduled = true
	time.AfterFunc(max(0, b.settings.interval()-time.Since(b.last)), b.flush)
}

// flush writes one batch. It runs in the goroutine of a timer.
func (b *Batcher) flush() {
	items := b.take()
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
		err = newError("batch", KindUnknown, "the writer reported on another number of changes")
	}
	b.mutex.Lock()
	b.inFlight--
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

// take removes the next batch from the queue. Of several changes to one key it takes the first only, as their
// conditions exclude each other.
func (b *Batcher) take() []*pending {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.scheduled = false
	if len(b.queue) == 0 {
		return nil
	}
	var items, rest []*pending
	seen := map[string]struct{}{}
	size := 0
	for i, item := range b.queue {
		if len(items) >= b.settings.changes || len(items) > 0 && size+item.change.size() > b.settings.bytes {
			rest = append(rest, b.queue[i:]...)
			break
		}
		if _, repeated := seen[item.change.Key]; repeated {
			rest = append(rest, item)
			continue
		}
		seen[item.change.Key] = struct{}{}
		size += item.change.size()
		item.taken = true
		items = append(items, item)
	}
	b.queue = rest
	b.last = time.Now()
	b.inFlight++
	b.counts.Writes++
	b.counts.Changes += uint64(len(items))
	b.schedule()
	return items
}

// Counts returns the totals since the start.
func (b *Batcher) Counts() BatchCounts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.counts
	counts.Queued, counts.InFlight = len(b.queue), b.inFlight
	return counts
}

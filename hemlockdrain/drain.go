package hemlockdrain

import (
	"context"
	"sync/atomic"
	"time"
)

// Drain is the state of a process with regard to its planned stop. It is safe for concurrent use. New returns one of a process
// that is not stopping.
type Drain struct {
	// schedule is nil until the stop starts; it is set once.
	schedule atomic.Pointer[Schedule]
	// open ends when Close is called.
	open      context.Context
	endOfOpen context.CancelFunc
}

// New returns the state of a process that is not stopping.
func New() *Drain {
	d := &Drain{}
	d.open, d.endOfOpen = context.WithCancel(context.Background())
	return d
}

// Start starts the stop. Later calls have no effect.
func (d *Drain) Start(s Schedule) {
	d.schedule.CompareAndSwap(nil, &s)
}

// MayBegin reports whether work may begin.
func (d *Drain) MayBegin(now time.Time, work Work) bool {
	s := d.schedule.Load()
	return s == nil || s.MayBegin(now, work)
}

// Limit returns the remaining time of work, at most the time until the process ends.
func (d *Drain) Limit(now time.Time, remaining time.Duration) time.Duration {
	if s := d.schedule.Load(); s != nil {
		return min(remaining, s.End().Sub(now))
	}
	return remaining
}

// Close ends all waits for work to begin. It is called at the last begin of the schedule, from which on MayBegin returns false.
func (d *Drain) Close() { d.endOfOpen() }

// Closed returns a channel that is closed by Close.
func (d *Drain) Closed() <-chan struct{} { return d.open.Done() }

// IsClosed reports whether Close was called.
func (d *Drain) IsClosed() bool { return d.open.Err() != nil }

// OnClose makes Close call a function in a goroutine of its own; if Close was called before, that happens now. The returned function
// cancels this.
func (d *Drain) OnClose(call func()) (cancel func() bool) {
	return context.AfterFunc(d.open, call)
}

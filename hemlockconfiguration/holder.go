package hemlockconfiguration

import (
	"sync"
	"sync/atomic"
)

// Holder holds the configuration in force on a node. It is safe for concurrent use; its version only rises.
type Holder struct {
	current atomic.Pointer[Configuration]

	mutex       sync.Mutex
	subscribers map[*Subscription]struct{}
}

// Subscription tells one subscriber that the configuration has changed.
type Subscription struct {
	// Changes receives after a change. Several changes may give one signal, so the subscriber reads Current.
	Changes <-chan struct{}

	signal chan struct{}
	holder *Holder
}

// NewHolder returns a holder of the empty configuration, version 0.
func NewHolder() *Holder {
	h := &Holder{subscribers: map[*Subscription]struct{}{}}
	h.current.Store(&Configuration{})
	return h
}

// Current returns the configuration in force.
func (h *Holder) Current() Configuration {
	return *h.current.Load()
}

// Update puts the configuration in force and returns true if its version is higher than the current one.
func (h *Holder) Update(c Configuration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if c.Version <= h.current.Load().Version {
		return false
	}
	h.current.Store(&c)
	for s := range h.subscribers {
		select {
		case s.signal <- struct{}{}:
		default: // a signal is waiting already
		}
	}
	return true
}

// Subscribe returns a subscription, which must be closed. A subscriber reads Current once after subscribing, because
// earlier changes are not signalled.
func (h *Holder) Subscribe() *Subscription {
	signal := make(chan struct{}, 1)
	s := &Subscription{Changes: signal, signal: signal, holder: h}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.subscribers[s] = struct{}{}
	return s
}

// Close ends the subscription; it may be called more than once.
func (s *Subscription) Close() {
	s.holder.mutex.Lock()
	defer s.holder.mutex.Unlock()
	delete(s.holder.subscribers, s)
}

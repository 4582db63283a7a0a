package hemlockconfiguration

import (
	"sync"
	"sync/atomic"
)

// Holder holds the active configuration of a node. It is safe for concurrent use. The version of the active
// configuration never decreases.
type Holder struct {
	current atomic.Pointer[Configuration]

	mutex       sync.Mutex
	subscribers map[*Subscription]struct{}
}

// Subscription notifies one subscriber of new configurations.
type Subscription struct {
	// Changes receives a value after a change. One value may stand for several changes, so the subscriber calls
	// Holder.Current for the latest configuration.
	Changes <-chan struct{}

	signal chan struct{}
	holder *Holder
}

// NewHolder returns a holder whose active configuration is the empty one, version 0.
func NewHolder() *Holder {
	h := &Holder{subscribers: map[*Subscription]struct{}{}}
	h.current.Store(&Configuration{})
	return h
}

// Current returns the active configuration.
func (h *Holder) Current() Configuration {
	return *h.current.Load()
}

// Update makes the configuration the active one and returns true if its version is higher than the active version and it includes
// the active configuration. Otherwise it changes nothing and returns false.
func (h *Holder) Update(c Configuration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if current := h.current.Load(); c.Version <= current.Version || !c.Includes(*current) {
		return false
	}
	h.current.Store(&c)
	for s := range h.subscribers {
		select {
		case s.signal <- struct{}{}:
		default: // the subscriber has not received the previous signal yet
		}
	}
	return true
}

// Subscribe returns a subscription, which must be closed. A subscriber calls Current once after subscribing, because
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

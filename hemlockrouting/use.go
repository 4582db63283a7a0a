package hemlockrouting

import "time"

// Use counts a call to a target that the caller chose by itself, until Done. An unknown address has no effect.
func (t *Table) Use(_ time.Time, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e := t.entries[address]; e != nil {
		e.inFlight++
	}
}

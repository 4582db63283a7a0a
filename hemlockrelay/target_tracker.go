package hemlockrelay

import (
	"sync"
)

// Announcement is what a target reports about itself.
type Announcement struct {
	// Instance identifies the process of the target; a restarted process may have the same one.
	Instance string
	// StartTime orders the processes at one address: a later start has a higher value. 0 means unknown.
	StartTime uint64
	// Sequence orders the announcements of one process: a later one has a higher value.
	Sequence uint64
	// Service is the service that the target runs; a deregistration may leave it empty.
	Service string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Leaving is set by a target that accepts no new calls.
	Leaving bool
	// Deregistered is set by a target that ends its registration.
	Deregistered bool
}

// TargetTracker derives the state of the local target from its announcements, which may be late, repeated or from a
// previous process. It is safe for concurrent use.
type TargetTracker struct {
	mutex sync.Mutex
	// last is the last applied announcement; its Instance is empty before the first.
	last Announcement
	// leaving is set once the current process announced that it leaves or deregistered; no later announcement of the same
	// process resets it.
	leaving bool
	// unreachable is set by MarkUnreachable until the next announcement is applied.
	unreachable bool
}

// Apply applies an announcement. It returns the state of the target, and false if the announcement is outdated and was
// ignored.
func (t *TargetTracker) Apply(a Announcement) (TargetState, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if a.Service == "" {
		// A deregistration may name no service.
		a.Service, a.Slots = t.last.Service, t.last.Slots
	}
	switch {
	case t.last.Instance == "":
	case a.StartTime < t.last.StartTime && (a.StartTime != 0 || !a.Deregistered):
		// A previous process, or another writer, which does not know when the target started.
		return t.state(), false
	case a.Instance == t.last.Instance && (a.StartTime == t.last.StartTime || a.StartTime == 0 || t.last.StartTime == 0):
		if !a.Deregistered && a.Sequence <= t.last.Sequence {
			return t.state(), false
		}
		a.StartTime = max(a.StartTime, t.last.StartTime)
		a.Sequence = max(a.Sequence, t.last.Sequence)
		a.Leaving = a.Leaving || t.leaving
	case a.Deregistered && a.StartTime <= t.last.StartTime:
		// A previous process deregistered after a new one had announced itself.
		return t.state(), false
	}
	t.last = a
	t.unreachable = false
	t.leaving = a.Leaving || a.Deregistered
	return t.state(), true
}

// Doubt says why an announcement is not applied unless the target itself confirms it.
type Doubt uint8

const (
	// NoDoubt means that the announcements themselves decide.
	NoDoubt Doubt = iota
	// FirstAnnouncement is a ready one, before which no other was applied. It may have been sent before the target announced
	// to a previous process of this node that it leaves.
	FirstAnnouncement
	// OtherInstance is one of another process than the known one, which may still be running: the announcement may be that of another
	// writer.
	OtherInstance
	// EarlierStart is one of a process that started before the known one, by its own clock. That clock may have been set back.
	EarlierStart
)

// DoubtOf returns what is doubtful about an announcement.
func (t *TargetTracker) DoubtOf(a Announcement) Doubt {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.last.Instance == "" && (a.Leaving || a.Deregistered):
		return NoDoubt
	case t.last.Instance == "":
		return FirstAnnouncement
	case a.StartTime < t.last.StartTime && (a.StartTime == 0 || a.Deregistered):
		return NoDoubt // Apply ignores it
	case a.StartTime < t.last.StartTime:
		return EarlierStart
	case a.Instance != t.last.Instance:
		return OtherInstance
	}
	return NoDoubt
}

// Replace applies an announcement of the running process, as a health check of the target has shown, whatever was announced before.
func (t *TargetTracker) Replace(a Announcement) TargetState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last, t.leaving, t.unreachable = a, a.Leaving, false
	return t.state()
}

// ApplyHealthCheck returns the state of the target according to a health check, so that a restarted node knows its
// target before the next announcement. A start time of 0 means unknown. The tracker does not keep this state. Once an announcement was applied, or if
// the instance is empty, ApplyHealthCheck ignores the health check and returns the state by the announcements, and
// false.
func (t *TargetTracker) ApplyHealthCheck(instance string, startTime uint64, service string, slots int) (TargetState, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.last.Instance != "" || instance == "" {
		return t.state(), false
	}
	return TargetState{Service: service, Instance: instance, StartTime: startTime, Slots: slots, Ready: true}, true
}

// MarkLeaving records that the process of the given state is leaving, although it has not announced that. It returns the state
// of the target, and false if another process has announced itself.
func (t *TargetTracker) MarkLeaving(state TargetState) (TargetState, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.last.Instance == "":
		// The target is known by a health check only.
		t.last = Announcement{Instance: state.Instance, StartTime: state.StartTime, Service: state.Service, Slots: state.Slots}
	case t.last.Instance != state.Instance || t.last.StartTime != state.StartTime:
		return t.state(), false
	}
	t.leaving = true
	return t.state(), true
}

// IsLeaving reports whether the current process has announced or stated that it is leaving.
func (t *TargetTracker) IsLeaving() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.leaving
}

func (t *TargetTracker) state() TargetState {
	return TargetState{Service: t.last.Service, Instance: t.last.Instance, StartTime: t.last.StartTime, Slots: t.last.Slots,
		Ready: t.last.Instance != "" && !t.leaving && !t.unreachable && t.last.Slots > 0}
}

// MarkUnreachable makes the target not ready until its next announcement, after nothing or another process was found at
// its address.
func (t *TargetTracker) MarkUnreachable() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreachable = true
}

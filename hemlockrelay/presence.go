package hemlockrelay

import (
	"sync"
)

// Announcement is what a target says of itself.
type Announcement struct {
	// Instance identifies the process of the target; a restarted one may keep it.
	Instance string
	// StartTime orders the processes at one address: a later start has a higher one.
	StartTime uint64
	// Sequence orders the announcements of one process.
	Sequence uint64
	// Service is the service that the target runs.
	Service string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Leaving is set by a target that gets no new work.
	Leaving bool
	// Deregistered is set by a target that takes itself off the list.
	Deregistered bool
}

// TargetTracker decides from announcements, which may be late, repeated or of a former process, what is known about the target
// beside the node. It is safe for concurrent use.
type TargetTracker struct {
	mutex sync.Mutex
	// last is the newest announcement; its Instance is empty before the first.
	last Announcement
	// left is set once the current process announced that it leaves; nothing it says takes that back.
	left bool
	// withdrawn is set while the target cannot be reached, until it announces itself again.
	withdrawn bool
}

// Apply takes an announcement in and returns the state of the target. It returns false for news that is out of date.
func (p *TargetTracker) Apply(a Announcement) (TargetState, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if a.Service == "" {
		// A target that goes names no service.
		a.Service, a.Slots = p.last.Service, p.last.Slots
	}
	switch {
	case p.last.Instance == "":
	case a.StartTime != 0 && a.StartTime < p.last.StartTime:
		return p.state(), false
	case a.Instance == p.last.Instance && (a.StartTime == p.last.StartTime || a.StartTime == 0 || p.last.StartTime == 0):
		if !a.Deregistered && a.Sequence <= p.last.Sequence {
			return p.state(), false
		}
		a.StartTime = max(a.StartTime, p.last.StartTime)
		a.Sequence = max(a.Sequence, p.last.Sequence)
		a.Leaving = a.Leaving || p.left
	case a.Deregistered:
		// A former process takes itself off after a new one announced itself.
		return p.state(), false
	}
	p.last = a
	p.withdrawn = false
	p.left = a.Leaving || a.Deregistered
	return p.state(), true
}

// ApplyHealthCheck takes in a status check, by which a restarted node knows its target before the next announcement. It changes
// nothing once there was an announcement.
func (p *TargetTracker) ApplyHealthCheck(instance, service string, slots int) (TargetState, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.last.Instance != "" || instance == "" {
		return p.state(), false
	}
	return TargetState{Service: service, Instance: instance, Slots: slots, Ready: true}, true
}

func (p *TargetTracker) state() TargetState {
	return TargetState{Service: p.last.Service, Instance: p.last.Instance, Slots: p.last.Slots,
		Ready: p.last.Instance != "" && !p.left && !p.withdrawn && p.last.Slots > 0}
}

// MarkUnreachable takes the target out until its next announcement, after nothing or another process was found at its address.
func (p *TargetTracker) MarkUnreachable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.withdrawn = true
}

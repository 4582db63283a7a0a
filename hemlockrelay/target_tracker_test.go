package hemlockrelay

import "testing"

func announcement(instance string, startTime, sequence uint64) Announcement {
	return Announcement{Instance: instance, StartTime: startTime, Sequence: sequence, Service: "s", Slots: 5}
}

func TestTargetTracker(t *testing.T) {
	leaving := func(a Announcement) Announcement { a.Leaving = true; return a }
	deregistered := func(a Announcement) Announcement { a.Deregistered = true; return a }
	for _, c := range []struct {
		name          string
		announcements []Announcement
		instance      string
		ready         bool
	}{
		{"ready after an announcement", []Announcement{announcement("a", 1, 1)}, "a", true},
		{"not ready after a late announcement from before the target left",
			[]Announcement{announcement("a", 1, 1), leaving(announcement("a", 1, 3)), announcement("a", 1, 2)}, "a", false},
		{"not ready after a later announcement of the process that left",
			[]Announcement{announcement("a", 1, 1), leaving(announcement("a", 1, 2)), announcement("a", 1, 3)}, "a", false},
		{"ignores a previous process",
			[]Announcement{announcement("b", 2, 1), announcement("a", 1, 9)}, "b", true},
		{"ignores that a previous process is leaving and deregisters",
			[]Announcement{announcement("b", 2, 1), leaving(announcement("a", 1, 9)), deregistered(announcement("a", 1, 0))},
			"b", true},
		{"ready after a new process with the same instance starts",
			[]Announcement{announcement("a", 1, 7), leaving(announcement("a", 1, 8)), announcement("a", 2, 1)}, "a", true},
		{"not ready after a deregistration without an earlier leaving announcement",
			[]Announcement{announcement("a", 1, 1), deregistered(Announcement{Instance: "a"})}, "a", false},
		{"ignores an announcement without a start time",
			[]Announcement{announcement("a", 1, 1), leaving(announcement("a", 0, 9))}, "a", true},
		{"ignores another instance without a start time",
			[]Announcement{announcement("a", 1, 1), announcement("b", 0, 9)}, "a", true},
		{"not ready after a new process deregistered before it announced itself",
			[]Announcement{announcement("a", 1, 1), deregistered(announcement("a", 2, 0))}, "a", false},
		// Guards against a restarted node whose first announcement is a deregistration without a start time.
		{"not ready after a later announcement of a deregistered process",
			[]Announcement{deregistered(Announcement{Instance: "a"}), announcement("a", 1, 5)}, "a", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker TargetTracker
			var state TargetState
			for _, a := range c.announcements {
				state, _ = tracker.Apply(a)
			}
			if state.Instance != c.instance || state.Ready != c.ready {
				t.Errorf("state %+v, want the instance and the readiness of the case", state)
			}
		})
	}
	t.Run("an unreachable target is ready again after its next announcement", func(t *testing.T) {
		var tracker TargetTracker
		tracker.Apply(announcement("a", 1, 1))
		tracker.MarkUnreachable()
		if state, _ := tracker.Apply(announcement("a", 1, 1)); state.Ready {
			t.Error("the unreachable target is ready after an announcement that was already applied")
		}
		if state, _ := tracker.Apply(announcement("a", 1, 2)); !state.Ready {
			t.Error("the unreachable target is not ready after a new announcement")
		}
	})
}

// Guards against a target that is ready again after it stated in a response that it is leaving, and against one that is unused
// because its previous process stated that.
func TestTargetTrackerKeepsStatedLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		// announced precedes the statement; without an instance, the target is known by a health check only.
		announced, next Announcement
		ready           bool
	}{
		{"over later announcements", announcement("a", 1, 1), announcement("a", 1, 2), false},
		{"before the first announcement", Announcement{}, announcement("a", 1, 2), false},
		{"not for a new process with the same instance", announcement("a", 1, 1), announcement("a", 2, 1), true},
		{"not for another instance", announcement("a", 1, 1), announcement("b", 2, 1), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker TargetTracker
			if c.announced.Instance != "" {
				tracker.Apply(c.announced)
			}
			stated := TargetState{Service: "s", Instance: "a", StartTime: 1, Slots: 5, Ready: true}
			if state, applied := tracker.MarkLeaving(stated); !applied || state.Ready || state.Slots != 5 {
				t.Errorf("state %+v, applied %t, want it applied and not ready, with the slots", state, applied)
			}
			if state, _ := tracker.Apply(c.next); state.Ready != c.ready {
				t.Errorf("state %+v after the next announcement, want ready %t", state, c.ready)
			}
		})
	}
	t.Run("not after another process has announced itself", func(t *testing.T) {
		var tracker TargetTracker
		tracker.Apply(announcement("b", 2, 1))
		if state, applied := tracker.MarkLeaving(TargetState{Instance: "a", StartTime: 1}); applied || !state.Ready {
			t.Errorf("state %+v, applied %t, want it unchanged", state, applied)
		}
	})
}

package hemlockrelay

import "testing"

func announcement(instance string, born, sequence uint64) Announcement {
	return Announcement{Instance: instance, StartTime: born, Sequence: sequence, Service: "s", Slots: 5}
}

func TestPresence(t *testing.T) {
	leaving := func(a Announcement) Announcement { a.Leaving = true; return a }
	gone := func(a Announcement) Announcement { a.Deregistered = true; return a }
	for _, c := range []struct {
		name     string
		news     []Announcement
		instance string
		ready    bool
	}{
		{"ready after an announcement", []Announcement{announcement("a", 1, 1)}, "a", true},
		{"a late announcement does not take the leaving back",
			[]Announcement{announcement("a", 1, 1), leaving(announcement("a", 1, 3)), announcement("a", 1, 2)}, "a", false},
		{"nor does a later one of the same process",
			[]Announcement{announcement("a", 1, 1), leaving(announcement("a", 1, 2)), announcement("a", 1, 3)}, "a", false},
		{"a former process is passed over",
			[]Announcement{announcement("b", 2, 1), announcement("a", 1, 9)}, "b", true},
		{"the leaving of a former process is passed over",
			[]Announcement{announcement("b", 2, 1), leaving(announcement("a", 1, 9)), gone(announcement("a", 1, 0))}, "b", true},
		{"a new process under the same instance",
			[]Announcement{announcement("a", 1, 7), leaving(announcement("a", 1, 8)), announcement("a", 2, 1)}, "a", true},
		{"gone without a leaving before",
			[]Announcement{announcement("a", 1, 1), gone(Announcement{Instance: "a"})}, "a", false},
		// Guards against a restarted node whose first news is that its target goes, without the time of its start.
		{"a process that went is not ready again by a later announcement",
			[]Announcement{gone(Announcement{Instance: "a"}), announcement("a", 1, 5)}, "a", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p TargetTracker
			var state TargetState
			for _, a := range c.news {
				state, _ = p.Apply(a)
			}
			if state.Instance != c.instance || state.Ready != c.ready {
				t.Errorf("state %+v", state)
			}
		})
	}
	t.Run("a withdrawn target is back with its next announcement", func(t *testing.T) {
		var p TargetTracker
		p.Apply(announcement("a", 1, 1))
		p.MarkUnreachable()
		if state, _ := p.Apply(announcement("a", 1, 1)); state.Ready {
			t.Error("an old announcement brought it back")
		}
		if state, _ := p.Apply(announcement("a", 1, 2)); !state.Ready {
			t.Error("a new announcement did not bring it back")
		}
	})
}

package hemlockconfiguration

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// copyOf returns the content of a store, and a function that makes the store return from it.
func copyOf(s *fakeStore) (restore func()) {
	head, row, objects := s.head, s.rowVersion, maps.Clone(s.objects)
	return func() { s.head, s.rowVersion, s.objects = head, row, maps.Clone(objects) }
}

func current(t rapid.TB, s Store) Configuration {
	t.Helper()
	head, _, err := s.ReadHead(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	c, err := Load(context.Background(), s, head)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func restore(t rapid.TB, s Store, own Configuration) Configuration {
	t.Helper()
	c, err := NewPublisher(s, WithBackoff(func(context.Context, int) error { return nil })).Restore(context.Background(), own)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// wantSlots checks the slots of services, by which the tests distinguish publishes.
func wantSlots(t *testing.T, c Configuration, want map[string]int) {
	t.Helper()
	got := map[string]int{}
	for name, s := range c.Services {
		got[name] = s.Slots
	}
	if !maps.Equal(got, want) {
		t.Errorf("slots of the services %v in version %d, want %v", got, c.Version, want)
	}
}

// Guards against a published configuration that is lost, reverted or ignored after the store has returned from an older copy.
func TestLostConfigurationIsRestored(t *testing.T) {
	for _, c := range []struct {
		name string
		// published are published after the copy was taken, and again after the return.
		published, afterReturn []Change
		slots                  map[string]int
		version                uint64
	}{
		{"unchanged since", []Change{serviceFile("a", 2), serviceFile("b", 3)}, nil, map[string]int{"a": 2, "b": 3}, 3},
		{"another service was published with its version", []Change{serviceFile("b", 3)}, []Change{serviceFile("c", 4)},
			map[string]int{"a": 1, "b": 3, "c": 4}, 3},
		{"the same service was published with its version", []Change{serviceFile("a", 2)}, []Change{serviceFile("a", 5)},
			map[string]int{"a": 5}, 3},
		{"more was published than was lost", []Change{serviceFile("b", 3)}, []Change{serviceFile("c", 4), serviceFile("a", 5)},
			map[string]int{"a": 5, "b": 3, "c": 4}, 4},
		{"less was published than was lost", []Change{serviceFile("b", 3), serviceFile("b", 4)}, []Change{serviceFile("c", 4)},
			map[string]int{"a": 1, "b": 4, "c": 4}, 4},
		{"a removal was lost", []Change{serviceFile("b", 3), Removal("a", 0)}, []Change{serviceFile("c", 4)},
			map[string]int{"b": 3, "c": 4}, 4},
		{"a removal was published", []Change{serviceFile("a", 3)}, []Change{Removal("a", 0)}, map[string]int{}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newDirectStore()
			publishEach := func(changes []Change) {
				for _, change := range changes {
					_, err := publish(t, s, change)
					assertKind(t, err, "")
				}
			}
			publishEach([]Change{serviceFile("a", 1)})
			returnFromCopy := copyOf(s.fakeStore)
			publishEach(c.published)
			holder := NewHolder()
			holder.Update(current(t, s))
			returnFromCopy()
			publishEach(c.afterReturn)
			inStore := NewHolder()
			inStore.Update(current(t, s))
			restored := restore(t, s, holder.Current())
			wantSlots(t, restored, c.slots)
			if got := current(t, s); got.Digest != restored.Digest || got.Version != c.version {
				t.Errorf("the store has version %d with digest %s; want %d with %s", got.Version, got.Digest, c.version, restored.Digest)
			}
			for name, h := range map[string]*Holder{"the lost configuration": holder, "that of the store": inStore} {
				if h.Update(restored); h.Current().Digest != restored.Digest {
					t.Errorf("a node with %s has version %d, want the restored one", name, h.Current().Version)
				}
			}
			if again := restore(t, s, holder.Current()); again.Digest != restored.Digest {
				t.Errorf("restored again as version %d, want no change", again.Version)
			}
			if decoded, err := Decode(Encode(restored)); err != nil || decoded.Digest != restored.Digest {
				t.Errorf("the restored configuration cannot be decoded: %v", err)
			}
			_, err := publish(t, s, serviceFile("d", 9))
			assertKind(t, err, "")
		})
	}
}

// Guards against a change that is reverted by a publish whose base version was lost, and assigned again to another change.
func TestPublishWithALostBaseVersionConflicts(t *testing.T) {
	s := newDirectStore()
	for _, change := range []Change{serviceFile("a", 1)} {
		_, err := publish(t, s, change)
		assertKind(t, err, "")
	}
	returnFromCopy := copyOf(s.fakeStore)
	_, err := publish(t, s, serviceFile("b", 2))
	assertKind(t, err, "")
	own := current(t, s)
	returnFromCopy()
	_, err = publish(t, s, serviceFile("a", 3))
	assertKind(t, err, "")
	restore(t, s, own)
	change := serviceFile("a", 4)
	change.BaseVersion = own.Version
	_, err = publish(t, s, change)
	assertKind(t, err, KindConflict)
}

// Guards against an object that stays missing although the head row names it, so that no node can start.
func TestMissingObjectOfTheConfigurationIsStoredAgain(t *testing.T) {
	s := newDirectStore()
	_, err := publish(t, s, serviceFile("a", 1))
	assertKind(t, err, "")
	own := current(t, s)
	clear(s.objects)
	restore(t, s, own)
	if c := current(t, s); c.Digest != own.Digest {
		t.Errorf("the store has version %d, want %d", c.Version, own.Version)
	}
}

// Guards against changes that are lost although a node has them, and nodes that never agree, when the store returns from copies again
// and again while others publish and nodes take over what is published.
func TestNodesAgreeAfterReturnsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDirectStore()
		holders := []*Holder{NewHolder(), NewHolder(), NewHolder()}
		returnFromCopy := copyOf(s.fakeStore)
		publishes := 0
		// watch does what a node does when it reads the head row.
		watch := func(h *Holder) {
			own := h.Current()
			if c := current(t, s); !h.Update(c) && !c.Includes(own) {
				h.Update(restore(t, s, own))
			}
		}
		before := map[*Holder]Configuration{}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				publishes++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
				_, err := NewPublisher(s, WithNonce(func() string { return fmt.Sprint("publish-", publishes) })).
					Publish(context.Background(), []Change{serviceFile(name, publishes)})
				if err != nil {
					t.Fatal(err)
				}
			},
			"copy":   func(*rapid.T) { returnFromCopy = copyOf(s.fakeStore) },
			"return": func(*rapid.T) { returnFromCopy() },
			"watch":  func(t *rapid.T) { watch(holders[rapid.IntRange(0, len(holders)-1).Draw(t, "node")]) },
			"fetch from a peer": func(t *rapid.T) {
				own, peer := holders[rapid.IntRange(0, 2).Draw(t, "node")], holders[rapid.IntRange(0, 2).Draw(t, "peer")]
				own.Update(peer.Current())
			},
			"": func(t *rapid.T) {
				for i, h := range holders {
					if !h.Current().Includes(before[h]) {
						t.Fatalf("node %d went from version %d to %d, which does not include it", i, before[h].Version, h.Current().Version)
					}
					before[h] = h.Current()
				}
			},
		})
		for range 2 {
			for _, h := range holders {
				watch(h)
			}
		}
		for i, h := range holders {
			if c := current(t, s); h.Current().Digest != c.Digest || !c.Includes(before[h]) {
				t.Fatalf("node %d has version %d, the store %d; want the same, which includes %d", i, h.Current().Version, c.Version,
					before[h].Version)
			}
		}
	})
}

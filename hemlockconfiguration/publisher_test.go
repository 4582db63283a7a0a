package hemlockconfiguration

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockerror"
)

// outcome is one publish as its publisher saw it.
type outcome struct {
	nonce  string
	files  []Change
	result Result
	err    error
	start  uint64
}

func drawFiles(t *rapid.T, publish int) []Change {
	var files []Change
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "services") {
		f := serviceFile(name, publish)
		if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
			f = Removal(name, 0)
		}
		f.BaseVersion = rapid.SampledFrom([]uint64{0, 0, 0, 1, 2}).Draw(t, "base")
		files = append(files, f)
	}
	return files
}

// runPublishers lets several publishers publish over one store, each a few times.
func runPublishers(t *rapid.T, faulty bool) (*fakeStore, []*outcome) {
	attempts := 10 // more than there are other publishes
	if faulty {
		attempts = 4
	}
	store := newFakeStore()
	var outcomes []*outcome
	var publishers, cancels []func()
	for i := range rapid.IntRange(2, 3).Draw(t, "publishers") {
		ctx, cancel := context.WithCancel(context.Background())
		var mine []*outcome
		for range rapid.IntRange(1, 3).Draw(t, "publishes") {
			n := len(outcomes) + 1
			o := &outcome{nonce: fmt.Sprintf("n%d", n), files: drawFiles(t, n)}
			outcomes, mine = append(outcomes, o), append(mine, o)
		}
		cancels = append(cancels, cancel)
		publishers = append(publishers, func() {
			for _, o := range mine {
				c := &client{fakeStore: store, publisher: i}
				p := NewPublisher(c, WithAttempts(attempts), WithNonce(func() string { return o.nonce }),
					WithBackoff(func(ctx context.Context, _ int) error { return ctx.Err() }))
				o.result, o.err = p.Publish(ctx, o.files)
				o.start = c.start
			}
			cancel()
		})
	}
	store.schedule(t, faulty, publishers, cancels)
	return store, outcomes
}

// versions decodes what each head in turn named.
func versions(t *rapid.T, store *fakeStore) []Configuration {
	all := []Configuration{{}}
	for i, h := range store.committed {
		c, err := Decode(store.objects[h.Digest])
		if err != nil || c.Version != h.Version || c.Digest != h.Digest {
			t.Fatalf("head %+v names version %d with digest %s: %v", h, c.Version, c.Digest, err)
		}
		if h.Version != uint64(i+1) {
			t.Fatalf("head %d has version %d", i+1, h.Version)
		}
		all = append(all, c)
	}
	return all
}

// assertChange checks that a version holds the files, left the other services alone and overwrote nothing that its
// publisher had not seen.
func assertChange(t *rapid.T, before, after Configuration, o *outcome) {
	mine := map[string]bool{}
	for _, f := range o.files {
		changes, _ := readFiles([]Change{f})
		name := changes[0].name
		mine[name] = true
		base := f.BaseVersion
		if base == 0 {
			base = o.start
		}
		now := &attempt{current: after}
		if !now.holds(changes[0]) {
			t.Fatalf("version %d by %s does not hold %s", after.Version, o.nonce, f.Name)
		}
		if then := (&attempt{current: before}); before.LastChanged(name) > base && !then.holds(changes[0]) {
			t.Fatalf("version %d by %s overwrote %s of version %d from base %d", after.Version, o.nonce, name, before.LastChanged(name), base)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if !mine[name] && (after.Services[name].Slots != before.Services[name].Slots || after.LastChanged(name) != before.LastChanged(name)) {
			t.Fatalf("version %d by %s changed %s, which is not its own", after.Version, o.nonce, name)
		}
	}
}

func assertOutcomes(t *rapid.T, store *fakeStore, outcomes []*outcome) {
	all := versions(t, store)
	written := map[string]uint64{}
	for _, h := range store.committed {
		if written[h.Nonce] != 0 {
			t.Fatalf("%s took effect in versions %d and %d", h.Nonce, written[h.Nonce], h.Version)
		}
		written[h.Nonce] = h.Version
	}
	for _, o := range outcomes {
		version := written[o.nonce]
		if version != 0 {
			assertChange(t, all[version-1], all[version], o)
		}
		switch kind := hemlockerror.KindOf[Kind](o.err); {
		case o.err == nil && !o.result.Unchanged && version != o.result.Version:
			t.Fatalf("%s reports version %d, but took effect in %d", o.nonce, o.result.Version, version)
		case o.err != nil && kind != KindOutcomeUnknown && version != 0:
			t.Fatalf("%s reports %v, but took effect in version %d", o.nonce, o.err, version)
		case kind == KindCorrupt, kind == "" && o.err != nil:
			t.Fatalf("%s failed with %v", o.nonce, o.err)
		}
	}
}

// Guards against a publish that is lost, reverted, overwritten unseen or reported with the wrong outcome when replies
// are lost, writes take effect late and publishers interleave.
func TestPublishersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, outcomes := runPublishers(t, true)
		assertOutcomes(t, store, outcomes)
	})
}

// Guards against an unknown outcome or an outage reported while the store works: then only races may refuse a publish.
func TestPublishersWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, outcomes := runPublishers(t, false)
		assertOutcomes(t, store, outcomes)
		for _, o := range outcomes {
			switch kind := hemlockerror.KindOf[Kind](o.err); kind {
			case KindOutcomeUnknown, KindUnavailable, KindContended:
				t.Fatalf("%s failed with %v", o.nonce, o.err)
			}
		}
	})
}

// directStore serves every call at once; after is called after a swap took effect and before its reply is lost.
type directStore struct {
	*client
	after func()
}

func newDirectStore() *directStore {
	store := newFakeStore()
	go func() {
		for c := range store.calls {
			store.serve(c, faultNone)
		}
	}()
	return &directStore{client: &client{fakeStore: store}}
}

func (s *directStore) SwapHead(ctx context.Context, old RowVersion, head Head) error {
	err := s.client.SwapHead(ctx, old, head)
	if after := s.after; after != nil {
		s.after = nil
		after()
		return errLost
	}
	return err
}

func publish(t *testing.T, s HeadStore, files ...Change) (Result, error) {
	t.Helper()
	return NewPublisher(s, WithBackoff(func(context.Context, int) error { return nil })).Publish(context.Background(), files)
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	if kind := hemlockerror.KindOf[Kind](err); kind != want {
		t.Fatalf("error %v has kind %q, want %q", err, kind, want)
	}
}

// Guards against a lost reply that is read as a failure after others have published on top.
func TestLostReplyIsSettledByTheHistory(t *testing.T) {
	for others, want := range map[int]Kind{0: "", 1: "", history - 1: "", history: KindOutcomeUnknown} {
		s := newDirectStore()
		s.after = func() {
			for i := range others {
				_, err := publish(t, s, serviceFile("other", i+1))
				assertKind(t, err, "")
			}
		}
		result, err := publish(t, s, serviceFile("a", 1))
		assertKind(t, err, want)
		if err == nil && result.Version != 1 {
			t.Errorf("after %d others the result is %+v", others, result)
		}
	}
}

// Guards against an old file that undoes a newer publish or brings a removed service back.
func TestStaleBaseIsRefusedByFile(t *testing.T) {
	s := newDirectStore()
	for _, f := range []Change{serviceFile("a", 1), serviceFile("a", 2), serviceFile("b", 1), Removal("b", 0)} {
		_, err := publish(t, s, f)
		assertKind(t, err, "")
	}
	stale := serviceFile("a", 3)
	stale.BaseVersion = 1
	_, err := publish(t, s, stale)
	assertKind(t, err, KindConflict)
	want := `publish: conflict: a.hcl:1:1: service "a" was changed in version 2, after the base version 1`
	if err.Error() != want {
		t.Errorf("error is %q, want %q", err, want)
	}
	removed := serviceFile("b", 1)
	removed.BaseVersion = 3
	_, err = publish(t, s, removed)
	assertKind(t, err, KindConflict)

	again := serviceFile("a", 2)
	again.BaseVersion = 1
	if result, err := publish(t, s, again); err != nil || !result.Unchanged || result.Version != 4 {
		t.Errorf("the same content gave %+v, %v", result, err)
	}
	ahead := serviceFile("a", 4)
	ahead.BaseVersion = 9
	_, err = publish(t, s, ahead)
	assertKind(t, err, KindInvalid)
	_, err = publish(t, s, Removal("never", 0))
	assertKind(t, err, KindInvalid)
	_, err = publish(t, s, serviceFile("a", 5), serviceFile("a", 6))
	assertKind(t, err, KindInvalid)
}

// Guards against a retention step after which a swept idempotency key would be accepted again.
func TestRetentionChangesInSmallSteps(t *testing.T) {
	file := func(retention string) Change {
		return Change{Name: "a.hcl", Text: []byte(`service "a" {
  slots           = 10
  connections     = 100
  claim-retention = "` + retention + `"
  class "all" {
    match {
      method = "GET"
      path   = "/*"
    }
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "1s"
  }
}`)}
	}
	store := newDirectStore()
	for _, step := range []struct {
		retention string
		kind      Kind
	}{{"24h", ""}, {"49h", KindInvalid}, {"48h", ""}, {"23h", KindInvalid}, {"24h", ""}} {
		_, err := publish(t, store, file(step.retention))
		assertKind(t, err, step.kind)
	}
}

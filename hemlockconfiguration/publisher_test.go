package hemlockconfiguration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockerror"
)

// publishRecord is one publish: its arguments and its result.
type publishRecord struct {
	nonce        string
	changes      []Change
	result       Result
	err          error
	startVersion uint64
}

func drawChanges(t *rapid.T, publish int) []Change {
	var changes []Change
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "services") {
		c := serviceFile(name, publish)
		if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
			c = Removal(name, 0)
		}
		c.BaseVersion = rapid.SampledFrom([]uint64{0, 0, 0, 1, 2}).Draw(t, "base")
		changes = append(changes, c)
	}
	return changes
}

// runPublishers runs several concurrent publishers on one store, each with a few publishes.
func runPublishers(t *rapid.T, faulty bool) (*fakeStore, []*publishRecord) {
	attempts := 10 // more than the publishes of all other publishers
	if faulty {
		attempts = 4
	}
	store := newFakeStore()
	var records []*publishRecord
	var publishers, cancels []func()
	for i := range rapid.IntRange(2, 3).Draw(t, "publishers") {
		ctx, cancel := context.WithCancel(context.Background())
		var own []*publishRecord
		for range rapid.IntRange(1, 3).Draw(t, "publishes") {
			n := len(records) + 1
			r := &publishRecord{nonce: fmt.Sprintf("n%d", n), changes: drawChanges(t, n)}
			records, own = append(records, r), append(own, r)
		}
		cancels = append(cancels, cancel)
		publishers = append(publishers, func() {
			for _, r := range own {
				c := &client{fakeStore: store, publisher: i}
				p := NewPublisher(c, WithAttempts(attempts), WithNonce(func() string { return r.nonce }),
					WithBackoff(func(ctx context.Context, _ int) error { return ctx.Err() }))
				r.result, r.err = p.Publish(ctx, r.changes)
				r.startVersion = c.startVersion
			}
			cancel()
		})
	}
	store.schedule(t, faulty, publishers, cancels)
	return store, records
}

// committedConfigurations returns the configurations that the head row named one after another, by version. It checks
// that they match the head row and that the versions have no gap.
func committedConfigurations(t *rapid.T, store *fakeStore) []Configuration {
	all := []Configuration{{}}
	for i, h := range store.committed {
		c, err := Decode(store.objects[h.Digest])
		if err != nil || c.Version != h.Version || c.Digest != h.Digest {
			t.Fatalf("head row %+v names an object with version %d, digest %s and error %v; want the version and digest of the row", h, c.Version, c.Digest, err)
		}
		if h.Version != uint64(i+1) {
			t.Fatalf("the head row of write %d has version %d, want the number of the write", i+1, h.Version)
		}
		all = append(all, c)
	}
	return all
}

// assertCommitted checks that a version contains the changes of its publish and did not change other services. It also
// checks that the version overwrote no change that was made after the base versions of the publish.
func assertCommitted(t *rapid.T, before, after Configuration, r *publishRecord) {
	own := map[string]bool{}
	for _, c := range r.changes {
		parsed, _ := parseChanges([]Change{c})
		name := parsed[0].name
		own[name] = true
		base := c.BaseVersion
		if base == 0 {
			base = r.startVersion
		}
		afterwards := &publishRun{current: after}
		if !afterwards.isApplied(parsed[0]) {
			t.Fatalf("version %d by %s does not contain %s", after.Version, r.nonce, c.Source)
		}
		if previously := (&publishRun{current: before}); before.LastChanged(name) > base && !previously.isApplied(parsed[0]) {
			t.Fatalf("version %d by %s overwrote %s of version %d from base %d", after.Version, r.nonce, name, before.LastChanged(name), base)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if !own[name] && (after.Services[name].Slots != before.Services[name].Slots || after.LastChanged(name) != before.LastChanged(name)) {
			t.Fatalf("version %d by %s changed %s, which is not one of its services", after.Version, r.nonce, name)
		}
	}
}

func assertOutcomes(t *rapid.T, store *fakeStore, records []*publishRecord) {
	all := committedConfigurations(t, store)
	written := map[string]uint64{}
	for _, h := range store.committed {
		if written[h.Nonce] != 0 {
			t.Fatalf("%s took effect in versions %d and %d", h.Nonce, written[h.Nonce], h.Version)
		}
		written[h.Nonce] = h.Version
	}
	for _, r := range records {
		version := written[r.nonce]
		if version != 0 {
			assertCommitted(t, all[version-1], all[version], r)
		}
		switch kind := hemlockerror.KindOf[Kind](r.err); {
		case r.err == nil && !r.result.Unchanged && version != r.result.Version:
			t.Fatalf("%s reports version %d, but took effect in %d", r.nonce, r.result.Version, version)
		case r.err != nil && kind != KindOutcomeUnknown && version != 0:
			t.Fatalf("%s reports %v, but took effect in version %d", r.nonce, r.err, version)
		case kind == KindCorrupt, kind == "" && r.err != nil:
			t.Fatalf("%s failed with %v", r.nonce, r.err)
		}
	}
}

// Guards against a publish that is lost, reverted, silently overwritten or reported with the wrong outcome when replies
// are lost, writes take effect late and publishers run concurrently.
func TestPublishersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, records := runPublishers(t, true)
		assertOutcomes(t, store, records)
	})
}

// Guards against a publish that reports an unknown outcome, an outage or too many attempts although the store has no
// faults.
func TestPublishersWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, records := runPublishers(t, false)
		assertOutcomes(t, store, records)
		for _, r := range records {
			switch kind := hemlockerror.KindOf[Kind](r.err); kind {
			case KindOutcomeUnknown, KindUnavailable, KindContended:
				t.Fatalf("%s failed with %v", r.nonce, r.err)
			}
		}
	})
}

// directStore serves every call immediately. If afterSwap is set, the reply of the next swap is lost, and afterSwap is
// called once that swap has taken effect.
type directStore struct {
	*client
	afterSwap func()
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
	if afterSwap := s.afterSwap; afterSwap != nil {
		s.afterSwap = nil
		afterSwap()
		return errReplyLost
	}
	return err
}

func publish(t *testing.T, s Store, changes ...Change) (Result, error) {
	t.Helper()
	return NewPublisher(s, WithBackoff(func(context.Context, int) error { return nil })).Publish(context.Background(), changes)
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	if kind := hemlockerror.KindOf[Kind](err); kind != want {
		t.Fatalf("error %v has kind %q, want %q", err, kind, want)
	}
}

// Guards against a publish with a lost reply that is reported as failed although it took effect and others have
// published later versions.
func TestNonceHistoryResolvesLostReply(t *testing.T) {
	for others, want := range map[int]Kind{0: "", 1: "", maxNonces - 1: "", maxNonces: KindOutcomeUnknown} {
		s := newDirectStore()
		s.afterSwap = func() {
			for i := range others {
				_, err := publish(t, s, serviceFile("other", i+1))
				assertKind(t, err, "")
			}
		}
		result, err := publish(t, s, serviceFile("a", 1))
		assertKind(t, err, want)
		if err == nil && result.Version != 1 {
			t.Errorf("after %d other publishes the result is %+v, want version 1", others, result)
		}
	}
}

// Guards against a file with an old base version that undoes a newer publish or adds a removed service again.
func TestStaleBaseVersionIsConflict(t *testing.T) {
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
		t.Errorf("the same content gave %+v, error %v; want version 4, unchanged, and no error", result, err)
	}
	future := serviceFile("a", 4)
	future.BaseVersion = 9
	_, err = publish(t, s, future)
	assertKind(t, err, KindInvalid)
	_, err = publish(t, s, Removal("never", 0))
	assertKind(t, err, KindInvalid)
	_, err = publish(t, s, serviceFile("a", 5), serviceFile("a", 6))
	assertKind(t, err, KindInvalid)
}

// retentionFile is a change of service a to a claim retention.
func retentionFile(retention string) Change {
	return Change{Source: "a.hcl", Text: []byte(`service "a" {
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

// Guards against a change of the claim retention after which an idempotency key whose claim has been deleted would be
// accepted again.
func TestClaimRetentionChangeIsLimited(t *testing.T) {
	store := newDirectStore()
	for _, step := range []struct {
		retention string
		kind      Kind
	}{{"24h", ""}, {"49h", KindInvalid}, {"48h", ""}, {"23h", KindInvalid}, {"24h", ""}} {
		_, err := publish(t, store, retentionFile(step.retention))
		assertKind(t, err, step.kind)
	}
}

// Guards against the same by several changes in quick succession, also around a removal of the service and a merge of configurations.
func TestClaimRetentionIsNotChangedAgainBeforeTheWaitEnds(t *testing.T) {
	store, now := newDirectStore(), time.Unix(1_800_000_000, 0)
	publishAt := func(after time.Duration, change Change) error {
		_, err := NewPublisher(store, WithBackoff(func(context.Context, int) error { return nil }),
			WithClock(func() time.Time { return now.Add(after) })).Publish(context.Background(), []Change{change})
		return err
	}
	removal := Removal("a", 0)
	for i, step := range []struct {
		after  time.Duration
		change Change
		kind   Kind
	}{
		{0, retentionFile("24h"), ""},
		{time.Hour, retentionFile("48h"), ""},
		{2 * time.Hour, retentionFile("96h"), KindInvalid}, // the wait is twice 24 h
		{3 * time.Hour, serviceFile("b", 5), ""},           // another service keeps the date of the change
		{48 * time.Hour, retentionFile("96h"), KindInvalid},
		{49 * time.Hour, retentionFile("96h"), ""},
		{50 * time.Hour, retentionFile("48h"), ""}, // taken back
		{51 * time.Hour, retentionFile("24h"), KindInvalid},
		{52 * time.Hour, removal, ""},
		{53 * time.Hour, retentionFile("12h"), KindInvalid}, // the wait is twice 48 h
		{54 * time.Hour, retentionFile("48h"), ""},
		{300 * time.Hour, retentionFile("24h"), ""},
	} {
		if err := publishAt(step.after, step.change); hemlockerror.KindOf[Kind](err) != step.kind {
			t.Fatalf("step %d: error %v, want kind %q", i, err, step.kind)
		}
	}
}

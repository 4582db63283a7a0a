package hemlockconfiguration

import (
	"context"
	"fmt"
	"sort"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"hemlockhollow/hemlockerror"
)

// callFault is the fault that the scheduler injects into one call to the fake store.
type callFault int

const (
	faultNone        callFault = iota
	faultRequestLost           // the call does not reach the store
	faultReplyLost             // the call takes effect and its reply is lost
	faultLateWrite             // the reply is lost and the write takes effect later, or never
)

// fakeStore is a Store whose calls block until the scheduler serves them, one at a time, so that a test draws
// every interleaving and every fault from its seed.
type fakeStore struct {
	head       Head
	rowVersion RowVersion
	objects    map[string][]byte
	// committed are the contents of the head row in the order in which they took effect.
	committed []Head
	// lateWrites are the writes with faultLateWrite that have not taken effect yet.
	lateWrites []func()
	calls      chan *fakeCall
}

type fakeCall struct {
	publisher int
	read      bool
	effect    func() error
	reply     chan error
}

var errReplyLost = errors.New("no reply")

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, calls: make(chan *fakeCall)}
}

// client is the connection of one publisher to the fake store.
type client struct {
	*fakeStore
	publisher int
	// startVersion is the version of the first configuration that the publisher could load.
	startVersion uint64
	// loaded is set when the publisher has loaded a configuration.
	loaded bool
}

func (c *client) call(ctx context.Context, read bool, effect func() error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	call := &fakeCall{publisher: c.publisher, read: read, effect: effect, reply: make(chan error)}
	c.calls <- call
	return <-call.reply
}

func (c *client) ReadHead(ctx context.Context) (head Head, row RowVersion, err error) {
	err = c.call(ctx, true, func() error {
		head, row = c.head, c.rowVersion
		return nil
	})
	if err == nil && !c.loaded {
		c.startVersion, c.loaded = head.Version, head.Version == 0
	}
	return head, row, err
}

func (c *client) SwapHead(ctx context.Context, old RowVersion, head Head) error {
	return c.call(ctx, false, func() error {
		if old != c.rowVersion {
			return hemlockerror.New("swap head row", KindStale, "")
		}
		c.head, c.rowVersion = head, c.rowVersion+1
		c.committed = append(c.committed, head)
		return nil
	})
}

func (c *client) PutObject(ctx context.Context, digest string, body []byte) error {
	return c.call(ctx, false, func() error {
		c.objects[digest] = body
		return nil
	})
}

func (c *client) GetObject(ctx context.Context, digest string) (body []byte, err error) {
	err = c.call(ctx, true, func() error {
		found, ok := c.objects[digest]
		body = found
		if !ok {
			return hemlockerror.New("get object", KindNotFound, digest)
		}
		return nil
	})
	c.loaded = c.loaded || err == nil
	return body, err
}

// serve handles one call with the given fault and sends its reply.
func (s *fakeStore) serve(c *fakeCall, fault callFault) {
	switch {
	case fault == faultNone:
		c.reply <- c.effect()
		return
	case fault == faultReplyLost && !c.read:
		_ = c.effect()
	case fault == faultLateWrite && !c.read:
		s.lateWrites = append(s.lateWrites, func() { _ = c.effect() })
	}
	c.reply <- errReplyLost
}

// schedule runs the publishers until all have ended, and then lets every late write take effect.
func (s *fakeStore) schedule(t *rapid.T, faulty bool, publishers []func(), cancels []func()) {
	done := make(chan int)
	for i, run := range publishers {
		go func() {
			run()
			done <- i
		}()
	}
	running, pending := len(publishers), map[int]*fakeCall{}
	for running > 0 {
		// Every running publisher either waits for the scheduler, or is about to call the store or to end.
		for len(pending) < running {
			select {
			case c := <-s.calls:
				pending[c.publisher] = c
			case <-done:
				running--
			}
		}
		if running > 0 {
			s.step(t, faulty, pending, cancels)
		}
	}
	for _, write := range s.lateWrites {
		write()
	}
}

// step draws what happens next: a late write takes effect, or a pending call is served, possibly with a fault and with
// its publisher cancelled.
func (s *fakeStore) step(t *rapid.T, faulty bool, pending map[int]*fakeCall, cancels []func()) {
	if n := len(s.lateWrites); n > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		i := rapid.IntRange(0, n-1).Draw(t, "write")
		write := s.lateWrites[i]
		s.lateWrites = append(s.lateWrites[:i:i], s.lateWrites[i+1:]...)
		write()
		return
	}
	publishers := make([]int, 0, len(pending))
	for i := range pending {
		publishers = append(publishers, i)
	}
	sort.Ints(publishers)
	i := rapid.SampledFrom(publishers).Draw(t, "publisher")
	fault := faultNone
	if faulty {
		fault = rapid.SampledFrom([]callFault{faultNone, faultNone, faultNone, faultRequestLost, faultReplyLost, faultLateWrite}).Draw(t, "fault")
		if rapid.IntRange(0, 60).Draw(t, "cancel") == 0 {
			cancels[i]()
		}
	}
	c := pending[i]
	delete(pending, i)
	s.serve(c, fault)
}

// serviceFile returns a service file with the given number of slots, by which the tests distinguish publishes.
func serviceFile(name string, slots int) Change {
	return Change{Source: name + ".hcl", Text: fmt.Appendf(nil, `service %q {
  slots         = %d
  connections   = 100000
  default-class = "all"
  class "all" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "1s"
  }
}
`, name, slots)}
}

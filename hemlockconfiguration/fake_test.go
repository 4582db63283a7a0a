package hemlockconfiguration

import (
	"context"
	"fmt"
	"sort"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"hemlockhollow/hemlockerror"
)

// fault is what happens to one call to the fake store.
type fault int

const (
	faultNone  fault = iota
	faultNotIn       // the call never arrives
	faultReply       // the call takes effect and its reply is lost
	faultLate        // the reply is lost and the write takes effect later, or never
)

// fakeStore is a HeadStore whose calls wait until the scheduler serves them, one at a time, so that a test draws
// every interleaving and every fault from its seed.
type fakeStore struct {
	head    Head
	row     RowVersion
	objects map[string][]byte
	// committed are the heads in the order in which they took effect.
	committed []Head
	late      []func()
	calls     chan *fakeCall
}

type fakeCall struct {
	publisher int
	read      bool
	effect    func() error
	reply     chan error
}

var errLost = errors.New("no reply")

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, calls: make(chan *fakeCall)}
}

// client is the store as one publisher sees it.
type client struct {
	*fakeStore
	publisher int
	// start is the version of the first configuration that the publisher could load.
	start  uint64
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
		head, row = c.head, c.row
		return nil
	})
	if err == nil && !c.loaded {
		c.start, c.loaded = head.Version, head.Version == 0
	}
	return head, row, err
}

func (c *client) SwapHead(ctx context.Context, old RowVersion, head Head) error {
	return c.call(ctx, false, func() error {
		if old != c.row {
			return hemlockerror.New("swap head", KindStale, "")
		}
		c.head, c.row = head, c.row+1
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

// serve carries out one call with the given fault.
func (s *fakeStore) serve(c *fakeCall, f fault) {
	switch {
	case f == faultNone:
		c.reply <- c.effect()
		return
	case f == faultReply && !c.read:
		_ = c.effect()
	case f == faultLate && !c.read:
		s.late = append(s.late, func() { _ = c.effect() })
	}
	c.reply <- errLost
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
	live, pending := len(publishers), map[int]*fakeCall{}
	for live > 0 {
		// Every live publisher is either waiting for the scheduler or about to call or end.
		for len(pending) < live {
			select {
			case c := <-s.calls:
				pending[c.publisher] = c
			case <-done:
				live--
			}
		}
		if live > 0 {
			s.step(t, faulty, pending, cancels)
		}
	}
	for _, write := range s.late {
		write()
	}
}

func (s *fakeStore) step(t *rapid.T, faulty bool, pending map[int]*fakeCall, cancels []func()) {
	if n := len(s.late); n > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		i := rapid.IntRange(0, n-1).Draw(t, "write")
		write := s.late[i]
		s.late = append(s.late[:i:i], s.late[i+1:]...)
		write()
		return
	}
	waiting := make([]int, 0, len(pending))
	for i := range pending {
		waiting = append(waiting, i)
	}
	sort.Ints(waiting)
	i := rapid.SampledFrom(waiting).Draw(t, "publisher")
	f := faultNone
	if faulty {
		f = rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultNotIn, faultReply, faultLate}).Draw(t, "fault")
		if rapid.IntRange(0, 60).Draw(t, "cancel") == 0 {
			cancels[i]()
		}
	}
	c := pending[i]
	delete(pending, i)
	s.serve(c, f)
}

// serviceFile returns a service file whose slots tell which publish wrote it.
func serviceFile(name string, slots int) Change {
	return Change{Name: name + ".hcl", Text: fmt.Appendf(nil, `service %q {
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

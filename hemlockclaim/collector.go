package hemlockclaim

import (
	"context"
	"sync"
)

// RemoteWrite sends changes to the collector at an address. Its error is of KindUnavailable only if nothing was sent or the
// collector refused the changes unwritten.
type RemoteWrite func(ctx context.Context, address string, changes []Change) ([]bool, error)

// Forwarder is a Writer that sends each change to the collector of its key, or writes it locally.
type Forwarder struct {
	local  Writer
	choose func(key string) string
	remote RemoteWrite
}

// NewForwarder returns a Collector. choose returns the address of the collector for a row key, or an empty string when
// this node writes it.
func NewForwarder(local Writer, choose func(key string) string, remote RemoteWrite) *Forwarder {
	return &Forwarder{local: local, choose: choose, remote: remote}
}

// Write implements Writer. Changes that a collector certainly did not write are written locally; after any other
// failure they are not, because the collector may still write them.
func (c *Forwarder) Write(ctx context.Context, changes []Change) ([]bool, error) {
	groups := map[string][]int{}
	for i, change := range changes {
		address := c.choose(change.Key)
		groups[address] = append(groups[address], i)
	}
	applied := make([]bool, len(changes))
	outcomes := make([]error, len(changes))
	var wait sync.WaitGroup
	for address, indices := range groups {
		wait.Go(func() {
			results, err := c.writeGroup(ctx, address, pick(changes, indices))
			for i, index := range indices {
				outcomes[index] = err
				if err == nil {
					applied[index] = results[i]
				}
			}
		})
	}
	wait.Wait()
	return merge(applied, outcomes)
}

func (c *Forwarder) writeGroup(ctx context.Context, address string, changes []Change) ([]bool, error) {
	if address == "" {
		return c.local.Write(ctx, changes)
	}
	applied, err := c.remote(ctx, address, changes)
	switch {
	case KindOf(err) == KindUnavailable:
		return c.local.Write(ctx, changes)
	case err != nil:
		return nil, wrapError("collect", KindUnknown, err)
	case len(applied) != len(changes):
		return nil, newError("collect", KindUnknown, "the collector reported on another number of changes")
	}
	return applied, nil
}

package hemlockclaim

import (
	"context"
	"sync"
)

// RemoteWrite sends changes to the batching node at an address. Its error is of KindUnavailable only if nothing was sent
// or the node refused the changes without writing them.
type RemoteWrite func(ctx context.Context, address string, changes []Change) ([]bool, error)

// Forwarder is a Writer that sends each change to the batching node of its key: the node of the zone that combines the
// writes of this key from all nodes of the zone into batches. It writes locally if that is this node.
type Forwarder struct {
	local        Writer
	batchingNode func(key string) string
	remote       RemoteWrite
}

// NewForwarder returns a Forwarder. batchingNode returns the address of the batching node for a row key, or an empty
// string if this node writes it.
func NewForwarder(local Writer, batchingNode func(key string) string, remote RemoteWrite) *Forwarder {
	return &Forwarder{local: local, batchingNode: batchingNode, remote: remote}
}

// Write implements Writer. Changes that the batching node did not and will not write are written locally. After any
// other error, the changes are not written locally, as the batching node may still write them.
func (f *Forwarder) Write(ctx context.Context, changes []Change) ([]bool, error) {
	groups := map[string][]int{}
	for i, change := range changes {
		address := f.batchingNode(change.Key)
		groups[address] = append(groups[address], i)
	}
	applied := make([]bool, len(changes))
	failures := make([]error, len(changes))
	var wait sync.WaitGroup
	for address, indices := range groups {
		wait.Go(func() {
			results, err := f.writeGroup(ctx, address, selectChanges(changes, indices))
			for i, index := range indices {
				failures[index] = err
				if err == nil {
					applied[index] = results[i]
				}
			}
		})
	}
	wait.Wait()
	return mergeResults(applied, failures)
}

func (f *Forwarder) writeGroup(ctx context.Context, address string, changes []Change) ([]bool, error) {
	if address == "" {
		return f.local.Write(ctx, changes)
	}
	applied, err := f.remote(ctx, address, changes)
	switch {
	case KindOf(err) == KindUnavailable:
		return f.local.Write(ctx, changes)
	case err != nil:
		return nil, wrapError("collect", KindUnknown, err)
	case len(applied) != len(changes):
		return nil, newError("collect", KindUnknown, "the number of results differs from the number of changes")
	}
	return applied, nil
}

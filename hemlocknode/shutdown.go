package hemlocknode

import (
	"context"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// shutdown stops the node without cutting off a request: it announces that it leaves, refuses new calls of peers as
// not run, tells callers to connect elsewhere, and waits for what is in flight. The listener of the local target
// closes last but one, because running requests still make calls.
func (n *Node) shutdown() error {
	n.log.Info("node stopping")
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.server.leaving.Store(true)
	n.reporter.stopping.Store(true)
	state := n.health.State()
	n.announcer.Leave(state.Service, state.Slots)
	n.peers.Drain()
	n.callers.Drain()
	hemlockcall.Sleep(ctx, n.settings.DrainGrace)
	steps := []func(context.Context) error{
		n.callers.Shutdown,
		n.peers.Shutdown,
		n.waitForClaims,
		n.target.Shutdown,
		n.operators.Shutdown,
	}
	// When the time is over, the remaining steps still close their listeners, without which the process does not end.
	var failure error
	for _, step := range steps {
		if err := step(ctx); err != nil && failure == nil {
			failure = hemlockerror.Wrap("stop", KindStop, err)
		}
	}
	if failure != nil {
		return failure
	}
	n.log.Info("node stopped", "duration", time.Since(start).String())
	return nil
}

// waitForClaims waits until answers of claimed requests are stored.
func (n *Node) waitForClaims(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		n.calls.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package hemlocknode

import (
	"context"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockerror"
)

// shutdown stops the node without interrupting a request that ends within StopTimeout. The node announces that it is
// leaving, refuses new calls of peers with the verdict not-run, asks callers to connect elsewhere, and waits for the
// requests in flight. After half of StopTimeout, requests of callers that have not reached a target are refused with the
// verdict not-run; calls that targets run get the rest of the time. The server for the local target is shut down after
// those for callers and peers, because running requests still make calls.
func (n *Node) shutdown() error {
	n.log.Info("node stopping")
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	schedule := hemlockdrain.NewSchedule(start, n.settings.StopTimeout, hemlockdrain.WithEarliestLastBegin(n.settings.DrainGrace))
	n.drain.Start(schedule)
	lastBegin := time.AfterFunc(time.Until(schedule.LastBegin()), n.drain.Close)
	defer lastBegin.Stop()
	defer n.drain.OnClose(func() { n.dispatcher.peers.Withdraw(ctx) })()
	n.server.leaving.Store(true)
	n.reporter.stopping.Store(true)
	state := n.health.State()
	n.gossipDriver.Leave(state.Service, state.Slots)
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
	// After the timeout, the remaining steps still close their listeners; otherwise the process would not exit.
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

// waitForClaims waits until the pending writes that store a response with a claim or release a claim have ended.
func (n *Node) waitForClaims(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		n.calls.pendingClaims.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Package hemlockgossip drives the membership engine over the network: it sends the engine's messages to peers and feeds
// it the replies.
package hemlockgossip

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/hemlocksuspect"
)

const (
	gossipTick = 200 * time.Millisecond
	// gossipTimeout is shorter than the silence after which a member is declared dead.
	gossipTimeout = time.Second
	// gossipWorkers bounds the messages in flight; a peer that does not answer takes one worker until the time-out.
	gossipWorkers = 16
	gossipQueue   = 256
)

// Driver drives the membership engine: it sends the engine's messages and feeds it the replies.
type Driver struct {
	gossip *hemlockmember.Gossip
	peers  *hemlockpeer.Client
	newer  func(address string, version uint64)
	queue  chan hemlockmember.Message
	log    logr.Logger

	mutex sync.Mutex
	// stopping is set for good when the node stops. Whatever its target announces after that, the node is leaving.
	stopping bool
}

// New returns an announcer that does not run yet.
func New(gossip *hemlockmember.Gossip, peers *hemlockpeer.Client, log logr.Logger) *Driver {
	return &Driver{
		gossip: gossip,
		peers:  peers,
		newer:  func(string, uint64) {},
		queue:  make(chan hemlockmember.Message, gossipQueue),
		log:    log,
	}
}

// OnVersion sets what is called with every configuration version that a peer reports. It must not block, and is set before
// Run.
func (a *Driver) OnVersion(newer func(address string, version uint64)) {
	a.newer = newer
}

// Announce changes the node's own record and tells its neighbours at once.
func (a *Driver) Announce(service string, state hemlockmember.State, slots int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.stopping {
		state = hemlockmember.Leaving
	}
	a.Send(a.gossip.AnnounceService(time.Now(), service, state, slots))
}

// Leave announces for good that the node is leaving.
func (a *Driver) Leave(service string, slots int) {
	a.mutex.Lock()
	a.stopping = true
	a.mutex.Unlock()
	a.Announce(service, hemlockmember.Leaving, slots)
}

// DisseminateCrashes passes crash records on within the zone.
func (a *Driver) DisseminateCrashes(records []hemlocksuspect.Record) {
	a.Send(a.gossip.DisseminateCrashes(time.Now(), records))
}

// Gossip returns the engine.
func (a *Driver) Gossip() *hemlockmember.Gossip {
	return a.gossip
}

// Send queues messages. It drops messages when the queue is full: gossip tolerates loss, and a blocked node must not grow.
func (a *Driver) Send(messages []hemlockmember.Message) {
	for _, m := range messages {
		select {
		case a.queue <- m:
		default:
			return
		}
	}
}

// Run ticks the engine and sends its messages until the context ends.
func (a *Driver) Run(ctx context.Context) {
	for range gossipWorkers {
		go a.send(ctx)
	}
	ticker := time.NewTicker(gossipTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.guard(func() { a.Send(a.gossip.Tick(now)) })
		}
	}
}

func (a *Driver) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-a.queue:
			a.guard(func() { a.exchange(ctx, m) })
		}
	}
}

// guard keeps a message that cannot be handled from ending the process.
func (a *Driver) guard(run func()) {
	if err := hemlockcall.RecoverPanic(run); err != nil {
		a.log.Error(err, "gossip message not handled")
	}
}

func (a *Driver) exchange(ctx context.Context, m hemlockmember.Message) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply, err := a.peers.ExchangeGossip(ctx, m.To, encodeMessage(m))
	if err != nil {
		a.log.V(2).Info("gossip not sent", "peer", m.To, "error", err.Error())
		return
	}
	// A reply without sender stands for none.
	if reply.From == "" {
		return
	}
	a.newer(m.To, reply.ConfigurationVersion)
	a.Send(a.gossip.Receive(time.Now(), m.To, decodeMessage(reply)))
}

// Receive takes a message of a peer and returns the reply.
func (a *Driver) Receive(_ context.Context, message hemlockpeer.GossipMessage) (hemlockpeer.GossipMessage, error) {
	a.newer(message.From, message.ConfigurationVersion)
	var reply hemlockpeer.GossipMessage
	var others []hemlockmember.Message
	for _, m := range a.gossip.Receive(time.Now(), message.From, decodeMessage(message)) {
		if m.To == message.From && reply.From == "" {
			reply = encodeMessage(m)
			continue
		}
		others = append(others, m)
	}
	a.Send(others)
	return reply, nil
}

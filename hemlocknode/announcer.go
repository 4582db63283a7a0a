package hemlocknode

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

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

// Announcer drives the membership engine: it sends the engine's messages and feeds it the replies.
type Announcer struct {
	gossip *hemlockmember.Gossip
	peers  *hemlockpeer.Client
	// newer is called with every version that a peer reports; it does not block.
	newer func(address string, version uint64)
	queue chan hemlockmember.Message
	log   logr.Logger

	mutex sync.Mutex
	// stopping is set for good when the node stops. Whatever its target announces after that, the node is leaving.
	stopping bool
}

func newAnnouncer(gossip *hemlockmember.Gossip, peers *hemlockpeer.Client, log logr.Logger) *Announcer {
	return &Announcer{
		gossip: gossip,
		peers:  peers,
		newer:  func(string, uint64) {},
		queue:  make(chan hemlockmember.Message, gossipQueue),
		log:    log,
	}
}

func (a *Announcer) announce(service string, state hemlockmember.State, slots int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.stopping {
		state = hemlockmember.Leaving
	}
	a.enqueue(a.gossip.AnnounceService(time.Now(), service, state, slots))
}

// leave announces for good that the node is leaving.
func (a *Announcer) leave(service string, slots int) {
	a.mutex.Lock()
	a.stopping = true
	a.mutex.Unlock()
	a.announce(service, hemlockmember.Leaving, slots)
}

func (a *Announcer) spread(records []hemlocksuspect.Record) {
	a.enqueue(a.gossip.Spread(time.Now(), records))
}

// enqueue drops messages when the queue is full: gossip tolerates loss, and a blocked node must not grow.
func (a *Announcer) enqueue(messages []hemlockmember.Message) {
	for _, m := range messages {
		select {
		case a.queue <- m:
		default:
			return
		}
	}
}

// run ticks the engine and sends its messages until the context ends.
func (a *Announcer) run(ctx context.Context) {
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
			a.enqueue(a.gossip.Tick(now))
		}
	}
}

func (a *Announcer) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-a.queue:
			a.exchange(ctx, m)
		}
	}
}

func (a *Announcer) exchange(ctx context.Context, m hemlockmember.Message) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply, err := a.peers.Exchange(ctx, m.To, encodeMessage(m))
	if err != nil {
		a.log.V(2).Info("gossip not sent", "peer", m.To, "error", err.Error())
		return
	}
	// A reply without sender stands for none.
	if reply.From == "" {
		return
	}
	a.newer(m.To, reply.ConfigurationVersion)
	a.enqueue(a.gossip.Receive(time.Now(), m.To, decodeMessage(reply)))
}

// Receive takes a message of a peer and returns the reply.
func (a *Announcer) Receive(_ context.Context, message hemlockpeer.GossipMessage) (hemlockpeer.GossipMessage, error) {
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
	a.enqueue(others)
	return reply, nil
}

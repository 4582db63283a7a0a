// Package hemlockgossip runs the membership engine over the network: it sends the engine's messages to peers and passes
// their replies to the engine.
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
	tickInterval = 200 * time.Millisecond
	// messageTimeout limits the time from sending a message to receiving the reply. It is shorter than the time without
	// messages after which a member is declared dead.
	messageTimeout = time.Second
	// maxInFlight is the maximum number of messages in flight. A message to a peer that does not respond counts until
	// the timeout.
	maxInFlight = 16
	maxQueued   = 256
)

// Driver runs the membership engine: it calls Tick, sends the engine's messages and passes the replies to it.
type Driver struct {
	gossip                 *hemlockmember.Gossip
	peers                  *hemlockpeer.Client
	onConfigurationVersion func(address string, version uint64)
	onTick                 func(now time.Time)
	queue                  chan hemlockmember.Message
	log                    logr.Logger

	mutex sync.Mutex
	// leaving is set permanently when the node stops. From then on, the node announces only Leaving, whatever state its
	// target has.
	leaving bool
}

// New returns a Driver, which Run starts.
func New(gossip *hemlockmember.Gossip, peers *hemlockpeer.Client, log logr.Logger) *Driver {
	return &Driver{
		gossip:                 gossip,
		peers:                  peers,
		onConfigurationVersion: func(string, uint64) {},
		onTick:                 func(time.Time) {},
		queue:                  make(chan hemlockmember.Message, maxQueued),
		log:                    log,
	}
}

// OnConfigurationVersion sets the handler that is called with the address of the peer and its configuration version for
// every message of a peer. The handler may be called concurrently and must not block. OnConfigurationVersion must be
// called before Run and before the first call of Receive.
func (d *Driver) OnConfigurationVersion(handler func(address string, version uint64)) {
	d.onConfigurationVersion = handler
}

// OnTick sets a function that is called after each tick of the engine, every 200 ms. It must not block. OnTick must be called before
// Run.
func (d *Driver) OnTick(handler func(now time.Time)) {
	d.onTick = handler
}

// Announce changes the service, state and slots in the node's own record and queues the messages that send it to the
// neighbours. After Leave, the announced state is always Leaving.
func (d *Driver) Announce(service string, state hemlockmember.State, slots int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.leaving {
		state = hemlockmember.Leaving
	}
	d.Send(d.gossip.AnnounceService(time.Now(), service, state, slots))
}

// Leave announces that the node is leaving. Later calls of Announce do not change this state.
func (d *Driver) Leave(service string, slots int) {
	d.mutex.Lock()
	d.leaving = true
	d.mutex.Unlock()
	d.Announce(service, hemlockmember.Leaving, slots)
}

// DisseminateCrashRecords queues crash records for the neighbours in the zone, which pass them on.
func (d *Driver) DisseminateCrashRecords(records []hemlocksuspect.Record) {
	d.Send(d.gossip.DisseminateCrashRecords(time.Now(), records))
}

// Gossip returns the membership engine.
func (d *Driver) Gossip() *hemlockmember.Gossip {
	return d.gossip
}

// Send queues messages. If the queue is full, it drops the rest, as gossip tolerates loss and the memory of a node whose
// peers do not respond must not grow.
func (d *Driver) Send(messages []hemlockmember.Message) {
	for _, m := range messages {
		select {
		case d.queue <- m:
		default:
			return
		}
	}
}

// Run calls Tick of the engine at every interval and sends the queued messages until the context ends.
func (d *Driver) Run(ctx context.Context) {
	for range maxInFlight {
		go d.sendQueued(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.recoverPanic(func() {
				d.Send(d.gossip.Tick(now))
				d.onTick(now)
			})
		}
	}
}

func (d *Driver) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.queue:
			d.recoverPanic(func() { d.sendAndReceive(ctx, m) })
		}
	}
}

// recoverPanic calls the function and logs a panic, so that neither a message nor a tick that cannot be handled ends
// the process.
func (d *Driver) recoverPanic(run func()) {
	if err := hemlockcall.RecoverPanic(run); err != nil {
		d.log.Error(err, "gossip message not handled")
	}
}

func (d *Driver) sendAndReceive(ctx context.Context, m hemlockmember.Message) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, err := d.peers.ExchangeGossip(ctx, m.To, encodeMessage(m))
	if err != nil {
		d.log.V(2).Info("gossip not sent", "peer", m.To, "error", err.Error())
		return
	}
	// A reply without a sender means that the peer has nothing to reply.
	if reply.From == "" {
		return
	}
	d.onConfigurationVersion(m.To, reply.ConfigurationVersion)
	d.Send(d.gossip.Receive(time.Now(), m.To, decodeMessage(reply)))
}

// Receive passes a message of a peer to the engine and returns the engine's first message to that peer as the reply. The
// reply is empty if there is none. The other messages of the engine are queued. The error is always nil.
func (d *Driver) Receive(_ context.Context, message hemlockpeer.GossipMessage) (hemlockpeer.GossipMessage, error) {
	d.onConfigurationVersion(message.From, message.ConfigurationVersion)
	var reply hemlockpeer.GossipMessage
	var others []hemlockmember.Message
	for _, m := range d.gossip.Receive(time.Now(), message.From, decodeMessage(message)) {
		if m.To == message.From && reply.From == "" {
			reply = encodeMessage(m)
			continue
		}
		others = append(others, m)
	}
	d.Send(others)
	return reply, nil
}

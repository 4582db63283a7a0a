package hemlocknode

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockpeer"
)

const (
	// watchersPerZone nodes read the head row, so that one paused node does not delay a zone.
	watchersPerZone = 2
	watchInterval   = time.Second
	// notified is how many random members of the zone are told of a new version at once; with 4 a version reaches 300
	// nodes in about five steps.
	notified      = 4
	fetchTimeout  = 2 * time.Second
	headTimeout   = time.Second
	pendingOffers = 16
)

// offer is a version that a peer has reported.
type offer struct {
	address string
	version uint64
}

// ConfigurationWatcher keeps the configuration in force: from the platform when this node is a watcher, from peers
// that report a higher version otherwise.
type ConfigurationWatcher struct {
	holder    *hemlockconfiguration.Holder
	store     hemlockconfiguration.HeadStore
	peers     *hemlockpeer.Client
	gossip    *hemlockmember.Gossip
	announcer *hemlockgossip.Driver
	duties    *Duties
	random    func(n int) int
	offers    chan offer
	log       logr.Logger
}

// reported takes in the version of a peer. It does not block; a dropped offer is repeated with the next probe.
func (w *ConfigurationWatcher) reported(address string, version uint64) {
	if version <= w.holder.Current().Version {
		return
	}
	select {
	case w.offers <- offer{address, version}:
	default:
	}
}

// run follows the head row and the offers of peers until the context ends.
func (w *ConfigurationWatcher) run(ctx context.Context) {
	go w.watchHead(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-w.offers:
			if o.version > w.holder.Current().Version {
				w.fetch(ctx, o)
			}
		}
	}
}

func (w *ConfigurationWatcher) watchHead(ctx context.Context) {
	if w.store == nil {
		return
	}
	for hemlockcall.Sleep(ctx, watchInterval) {
		// A node without any configuration asks the platform itself: it may be alone.
		if w.holder.Current().Version == 0 || w.duties.holds("configuration", watchersPerZone) {
			w.readHead(ctx)
		}
	}
}

func (w *ConfigurationWatcher) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, _, err := w.store.ReadHead(ctx)
	if err != nil || head.Version <= w.holder.Current().Version {
		return
	}
	loaded, err := hemlockconfiguration.Load(ctx, w.store, head)
	if err != nil {
		// This repeats every second while it lasts; the gauge of the version shows it.
		w.log.V(1).Info("configuration not loaded", "version", head.Version, "error", err.Error())
		return
	}
	w.take(loaded, "platform")
}

func (w *ConfigurationWatcher) fetch(ctx context.Context, o offer) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := w.peers.FetchConfiguration(ctx, o.address,
		hemlockpeer.ConfigurationQuery{NewerThan: w.holder.Current().Version})
	if err != nil || len(answer.Body) == 0 {
		return
	}
	fetched, err := hemlockconfiguration.Decode(answer.Body)
	if err != nil {
		w.log.Error(err, "configuration of a peer refused", "peer", o.address)
		return
	}
	w.take(fetched, o.address)
}

func (w *ConfigurationWatcher) take(c hemlockconfiguration.Configuration, source string) {
	if !w.holder.Update(c) {
		return
	}
	w.log.Info("configuration in force", "version", c.Version, "digest", c.Digest, "source", source)
	w.gossip.SetConfigurationVersion(c.Version)
	w.notify(c.Version)
}

// notify tells random members of the zone and one of another zone, so that a version spreads faster than by probes.
func (w *ConfigurationWatcher) notify(version uint64) {
	self := w.gossip.Self()
	var own, other []string
	for _, m := range w.gossip.View().Members() {
		switch {
		case m.Address == self.Address || m.State == hemlockmember.Dead:
		case m.Zone == self.Zone:
			own = append(own, m.Address)
		default:
			other = append(other, m.Address)
		}
	}
	for _, address := range append(w.sample(own, notified), w.sample(other, 1)...) {
		w.announcer.Send([]hemlockmember.Message{{
			From:                 self.Address,
			To:                   address,
			Kind:                 hemlockmember.Update,
			ConfigurationVersion: version,
		}})
	}
}

func (w *ConfigurationWatcher) sample(addresses []string, count int) []string {
	for i := range min(count, len(addresses)) {
		j := i + w.random(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(count, len(addresses))]
}

// serve answers a peer that asks for a newer configuration.
func (w *ConfigurationWatcher) serve(_ context.Context, query hemlockpeer.ConfigurationQuery) (
	hemlockpeer.ConfigurationAnswer, error) {
	current := w.holder.Current()
	answer := hemlockpeer.ConfigurationAnswer{Version: current.Version}
	if current.Version > query.NewerThan {
		answer.Body = hemlockconfiguration.Encode(current)
	}
	return answer, nil
}

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
	// watchersPerZone is the number of nodes in a zone that poll the head row, which names the current version of the
	// configuration. There are two, so that one paused node does not delay its zone.
	watchersPerZone  = 2
	headPollInterval = time.Second
	// notifyFanOut is how many random members of the zone a node notifies of a new version immediately. With 4, a version
	// reaches 300 nodes in about five steps.
	notifyFanOut    = 4
	fetchTimeout    = 2 * time.Second
	headTimeout     = time.Second
	reportQueueSize = 16
)

// versionReport is a configuration version that a peer has reported.
type versionReport struct {
	address string
	version uint64
}

// ConfigurationWatcher updates the active configuration of this node. It polls the platform if the node is one of the
// watchers of its zone or has no configuration yet, and it queries peers that report a higher version.
type ConfigurationWatcher struct {
	holder       *hemlockconfiguration.Holder
	store        hemlockconfiguration.Store
	peers        *hemlockpeer.Client
	gossip       *hemlockmember.Gossip
	gossipDriver *hemlockgossip.Driver
	duties       *Duties
	random       func(n int) int
	reports      chan versionReport
	log          logr.Logger
}

// receiveReport queues the version that a peer has reported. It does not block: it drops the report when the queue is full,
// and the peer's next probe reports the version again.
func (w *ConfigurationWatcher) receiveReport(address string, version uint64) {
	if version <= w.holder.Current().Version {
		return
	}
	select {
	case w.reports <- versionReport{address, version}:
	default:
	}
}

// run polls the head row and handles the versions that peers report until the context ends.
func (w *ConfigurationWatcher) run(ctx context.Context) {
	go w.pollHead(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-w.reports:
			if report.version > w.holder.Current().Version {
				w.fetch(ctx, report)
			}
		}
	}
}

func (w *ConfigurationWatcher) pollHead(ctx context.Context) {
	if w.store == nil {
		return
	}
	for hemlockcall.Sleep(ctx, headPollInterval) {
		// A node without any configuration always polls the platform, because it may have no peers.
		if w.holder.Current().Version == 0 || w.duties.isAssigned("configuration", watchersPerZone) {
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
		// Logged at debug level only: a lasting failure recurs every second, and the gauge configuration_version shows it.
		w.log.V(1).Info("configuration not loaded", "version", head.Version, "error", err.Error())
		return
	}
	w.activate(loaded, "platform")
}

func (w *ConfigurationWatcher) fetch(ctx context.Context, report versionReport) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := w.peers.FetchConfiguration(ctx, report.address,
		hemlockpeer.ConfigurationQuery{NewerThan: w.holder.Current().Version})
	if err != nil || len(response.Body) == 0 {
		return
	}
	fetched, err := hemlockconfiguration.Decode(response.Body)
	if err != nil {
		w.log.Error(err, "configuration of a peer refused", "peer", report.address)
		return
	}
	w.activate(fetched, report.address)
}

func (w *ConfigurationWatcher) activate(c hemlockconfiguration.Configuration, source string) {
	if !w.holder.Update(c) {
		return
	}
	w.log.Info("configuration in force", "version", c.Version, "digest", c.Digest, "source", source)
	w.gossip.SetConfigurationVersion(c.Version)
	w.notify(c.Version)
}

// notify reports a version to at most notifyFanOut random members of the zone and to one random member of another zone. The
// version thus reaches all nodes faster than through the probes of the gossip alone.
func (w *ConfigurationWatcher) notify(version uint64) {
	self := w.gossip.Self()
	var sameZone, otherZones []string
	for _, m := range w.gossip.View().Members() {
		switch {
		case m.Address == self.Address || m.State == hemlockmember.Dead:
		case m.Zone == self.Zone:
			sameZone = append(sameZone, m.Address)
		default:
			otherZones = append(otherZones, m.Address)
		}
	}
	for _, address := range append(w.sample(sameZone, notifyFanOut), w.sample(otherZones, 1)...) {
		w.gossipDriver.Send([]hemlockmember.Message{{
			From:                 self.Address,
			To:                   address,
			Kind:                 hemlockmember.Update,
			ConfigurationVersion: version,
		}})
	}
}

// sample returns at most count random addresses. It reorders the given slice.
func (w *ConfigurationWatcher) sample(addresses []string, count int) []string {
	for i := range min(count, len(addresses)) {
		j := i + w.random(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(count, len(addresses))]
}

// serveQuery handles the query of a peer for a newer configuration. The body is empty if this node has no newer one.
func (w *ConfigurationWatcher) serveQuery(_ context.Context, query hemlockpeer.ConfigurationQuery) (
	hemlockpeer.ConfigurationResponse, error) {
	current := w.holder.Current()
	response := hemlockpeer.ConfigurationResponse{Version: current.Version}
	if current.Version > query.NewerThan {
		response.Body = hemlockconfiguration.Encode(current)
	}
	return response, nil
}

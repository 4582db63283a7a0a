package hemlocknode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/platform/hemlockplatform"
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
	// maxRestoreDelay limits the random delay before a node that learned of a lost configuration from a peer writes it to the store;
	// the nodes that poll the store do so earlier.
	maxRestoreDelay = 3 * time.Second
	// restoreTimeout limits the calls to the store with which a lost configuration is written again.
	restoreTimeout  = 5 * time.Second
	restoreAttempts = 3
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
	// publisher writes the active configuration to the store again after the store has lost it; nil without a store.
	publisher *hemlockconfiguration.Publisher
	// storeEra returns the era that the store stated last, and checkedEra is the one of the last read of the head row. In another era,
	// the store may have lost the object of the active configuration. Only readHead uses them.
	storeEra   func() hemlockplatform.Era
	checkedEra hemlockplatform.Era
	// restoring is set while the active configuration is being restored in the store.
	restoring atomic.Bool
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
	headCtx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	// The active configuration is read first: one that becomes active later may be newer than the head row without being lost.
	own := w.holder.Current()
	head, _, err := w.store.ReadHead(headCtx)
	if err != nil {
		return
	}
	checked, era := w.checkedEra, w.storeEra()
	w.checkedEra = era
	if head.Version <= own.Version {
		if head.Digest != own.Digest || checked != "" && era != checked {
			w.restore(ctx, own, 0)
		}
		return
	}
	loaded, err := hemlockconfiguration.Load(headCtx, w.store, head)
	if err != nil {
		// Logged at debug level only: a lasting failure recurs every second, and the gauge configuration_version shows it.
		w.log.V(1).Info("configuration not loaded", "version", head.Version, "error", err.Error())
		return
	}
	w.activate(ctx, loaded, "platform")
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
	w.activate(ctx, fetched, report.address)
}

// activate makes the configuration the active one if it is newer. If it does not include the active one, the store has lost that and
// others have published since; both are then merged in the store.
func (w *ConfigurationWatcher) activate(ctx context.Context, c hemlockconfiguration.Configuration, source string) {
	own := w.holder.Current()
	if !w.holder.Update(c) {
		if c.Version > own.Version && !c.Includes(own) {
			w.log.Info("configuration does not include the one in force", "version", c.Version, "in-force", own.Version, "source", source)
			w.restore(ctx, own, maxRestoreDelay)
		}
		return
	}
	w.log.Info("configuration in force", "version", c.Version, "digest", c.Digest, "source", source)
	w.gossip.SetConfigurationVersion(c.Version)
	w.notify(c.Version)
}

// restore makes sure in the background that the store has a configuration which includes the given one, and activates it. It does
// nothing while an earlier call is still running. It starts after a random delay, so that many nodes do not write at the same time.
func (w *ConfigurationWatcher) restore(ctx context.Context, own hemlockconfiguration.Configuration, maxDelay time.Duration) {
	if w.publisher == nil || own.Version == 0 || !w.restoring.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.restoring.Store(false)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxDelay+restoreTimeout)
		defer cancel()
		if maxDelay > 0 {
			hemlockcall.Sleep(ctx, time.Duration(w.random(int(maxDelay))))
		}
		restored, err := w.publisher.Restore(ctx, own)
		if err != nil {
			// Logged at debug level only: it is tried again each second.
			w.log.V(1).Info("configuration not restored in the platform", "version", own.Version, "error", err.Error())
			return
		}
		w.log.Info("configuration restored in the platform", "lost", own.Version, "version", restored.Version)
		w.activate(ctx, restored, "platform")
	}()
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

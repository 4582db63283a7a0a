package hemlocknode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/hemlocksuspect"
	"hemlockhollow/hemlocktarget"
	"hemlockhollow/platform/hemlockplatform"
)

// maxConnectionsPerPeer limits the concurrent calls from this node to one peer. It is higher than the number of slots of
// the largest target (190): with fewer connections, the calls of a single entry node would be refused while the target has
// free slots.
const maxConnectionsPerPeer = 256

func provideSuspects(s Settings) *hemlocksuspect.Table {
	return hemlocksuspect.New(s.PeersAddress)
}

func provideGossip(s Settings, suspects *hemlocksuspect.Table) *hemlockmember.Gossip {
	self := hemlockmember.Member{Address: s.PeersAddress, Zone: s.Zone, Region: s.Region, State: hemlockmember.Joining}
	return hemlockmember.NewGossip(time.Now(), self, s.Seeds, rand.IntN, hemlockmember.WithCrashRecords(suspects))
}

func provideView(gossip *hemlockmember.Gossip) *hemlockmember.View {
	return gossip.View()
}

func provideBalancer(s Settings) *hemlockbalancer.Balancer {
	return hemlockbalancer.New(s.Zone, rand.IntN)
}

func provideDuties(s Settings, view *hemlockmember.View) *Duties {
	return newDuties(s.PeersAddress, s.Zone, view)
}

// dialers are the functions by which a node opens connections; nil means plain TCP.
type dialers struct {
	peers, platform func(ctx context.Context, network, address string) (net.Conn, error)
}

func providePeerClient(m *Metrics, dial dialers) *hemlockpeer.Client {
	options := []hemlockpeer.Option{hemlockpeer.WithScope(m.scope), hemlockpeer.WithMaxConnections(maxConnectionsPerPeer)}
	if dial.peers != nil {
		options = append(options, hemlockpeer.WithDial(dial.peers))
	}
	return hemlockpeer.NewClient(options...)
}

// provideTargetClient returns the client of the local target and sets it in health. Which statuses mean that the target did
// not run a request is looked up in the active configuration for each response.
func provideTargetClient(configuration *hemlockconfiguration.Holder, health *TargetHealth) *hemlocktarget.Client {
	client := hemlocktarget.NewClient(
		hemlocktarget.WithNotRunStatuses(func(status int) bool {
			service, known := configuration.Current().Services[health.serviceName()]
			return known && service.IsNotRunStatus(status)
		}),
	)
	health.client = client
	return client
}

func provideHealth(
	configuration *hemlockconfiguration.Holder, admission *hemlockadmission.Controller[*waiter],
	suspects *hemlocksuspect.Table, gossipDriver *hemlockgossip.Driver, log logr.Logger,
) *TargetHealth {
	return &TargetHealth{
		configuration: configuration,
		admission:     admission,
		suspects:      suspects,
		gossipDriver:  gossipDriver,
		log:           log.WithName("target"),
	}
}

func provideGossipDriver(gossip *hemlockmember.Gossip, peers *hemlockpeer.Client, log logr.Logger) *hemlockgossip.Driver {
	return hemlockgossip.New(gossip, peers, log.WithName("gossip"))
}

// providePlatform returns nil if the settings name no platform.
func providePlatform(s Settings, dial dialers) *hemlockplatform.Client {
	if s.Platform == "" {
		return nil
	}
	// The settings have been validated, so the URL can be parsed.
	parsed, err := url.Parse(s.Platform)
	if err != nil {
		return nil
	}
	var options []hemlockplatform.Option
	if dial.platform != nil {
		options = append(options, hemlockplatform.WithDial(dial.platform))
	}
	return hemlockplatform.New(parsed.Host, options...)
}

// platformClaims contains the batcher that writes claims to the platform on this node, and the claimer, which forwards most
// claims to the batching nodes of the zone. Without a platform, batcher and table are nil.
type platformClaims struct {
	batcher *hemlockclaim.Batcher
	claimer *hemlockclaim.Claimer
	table   hemlockclaim.Table
}

// placeholderService is the service of the base claimer; Claimer.ForService replaces it for each call.
const placeholderService = "any"

func provideClaims(platform *hemlockplatform.Client, peers *hemlockpeer.Client, duties *Duties) *platformClaims {
	if platform == nil {
		return &platformClaims{claimer: hemlockclaim.New(unavailableClaims{}, placeholderService, time.Hour)}
	}
	table := hemlockplatform.NewClaimStore(platform)
	batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(table), hemlockclaim.WithIntervalFunc(duties.claimInterval))
	forwarder := hemlockclaim.NewForwarder(batcher, duties.batchingNode, sendClaims(peers, duties))
	store := hemlockclaim.NewStore(table, forwarder)
	return &platformClaims{
		batcher: batcher,
		claimer: hemlockclaim.New(store, placeholderService, time.Hour, hemlockclaim.WithObjects(table),
			hemlockclaim.WithEras(hemlockclaim.NewEraTracker(table))),
		table: table,
	}
}

func provideClaimer(c *platformClaims) Claims {
	return c.claimer
}

func provideDispatcher(
	s Settings, server *Server, peers *hemlockpeer.Client, balancer *hemlockbalancer.Balancer,
	suspects *hemlocksuspect.Table, gossip *hemlockmember.Gossip, metrics *Metrics, drain *hemlockdrain.Drain,
) *Dispatcher {
	return &Dispatcher{
		self:     s.PeersAddress,
		zone:     s.Zone,
		local:    server,
		peers:    peers,
		balancer: balancer,
		suspects: suspects,
		view:     gossip.View(),
		gossip:   gossip,
		metrics:  metrics,
		drain:    drain,
	}
}

func provideInvoker(client *hemlocktarget.Client) hemlockcall.Invoker {
	return client
}

func provideBodyMemory(s Settings) *memoryBudget {
	return newMemoryBudget(s.BufferMemory)
}

func provideConfigurationStore(platform *hemlockplatform.Client) hemlockconfiguration.Store {
	if platform == nil {
		return nil
	}
	return NewConfigurationStore(platform)
}

func provideConfigurationWatcher(
	holder *hemlockconfiguration.Holder, store hemlockconfiguration.Store, peers *hemlockpeer.Client,
	gossip *hemlockmember.Gossip, gossipDriver *hemlockgossip.Driver, duties *Duties, platform *hemlockplatform.Client, log logr.Logger,
) *ConfigurationWatcher {
	w := &ConfigurationWatcher{
		holder:       holder,
		store:        store,
		peers:        peers,
		gossip:       gossip,
		gossipDriver: gossipDriver,
		duties:       duties,
		random:       rand.IntN,
		reports:      make(chan versionReport, reportQueueSize),
		log:          log.WithName("configuration"),
	}
	if store != nil {
		w.publisher = hemlockconfiguration.NewPublisher(store, hemlockconfiguration.WithAttempts(restoreAttempts))
		w.storeEra = platform.Era
	}
	gossipDriver.OnConfigurationVersion(w.receiveReport)
	return w
}

func provideSeeds(
	s Settings, platform *hemlockplatform.Client, gossip *hemlockmember.Gossip, duties *Duties, log logr.Logger,
) *Seeds {
	return &Seeds{client: platform, gossip: gossip, duties: duties, self: s.PeersAddress, zone: s.Zone, log: log.WithName("seeds")}
}

func provideClaimSweeper(
	claims *platformClaims, holder *hemlockconfiguration.Holder, duties *Duties, log logr.Logger,
) *ClaimSweeper {
	return &ClaimSweeper{table: claims.table, configuration: holder, duties: duties, log: log.WithName("sweep")}
}

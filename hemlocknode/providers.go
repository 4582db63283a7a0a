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
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/hemlocksuspect"
	"hemlockhollow/hemlocktarget"
	"hemlockhollow/platform/hemlockplatform"
)

// connectionsPerPeer bounds the calls from this node to one other. It is above the slots of the largest target of
// today (190): with fewer connections, one entry node would be refused while the target has free slots.
const connectionsPerPeer = 256

func provideSuspects(s Settings) *hemlocksuspect.Table {
	return hemlocksuspect.New(s.PeersAddress)
}

func provideGossip(s Settings, suspects *hemlocksuspect.Table) *hemlockmember.Gossip {
	self := hemlockmember.Member{Address: s.PeersAddress, Zone: s.Zone, Region: s.Region, State: hemlockmember.Joining}
	return hemlockmember.NewGossip(time.Now(), self, s.Seeds, rand.IntN, hemlockmember.WithSuspects(suspects))
}

func provideView(gossip *hemlockmember.Gossip) *hemlockmember.View {
	return gossip.View()
}

func provideRouting(s Settings) *hemlockbalancer.Table {
	return hemlockbalancer.New(s.Zone, rand.IntN)
}

func provideDuties(s Settings, view *hemlockmember.View) *Duties {
	return newDuties(s.PeersAddress, s.Zone, view)
}

// dials holds how a node opens connections; a nil function means plain TCP.
type dials struct {
	peers, platform func(ctx context.Context, network, address string) (net.Conn, error)
}

func providePeerClient(m *Metrics, open dials) *hemlockpeer.Client {
	options := []hemlockpeer.Option{hemlockpeer.WithScope(m.scope), hemlockpeer.WithMaxConnections(connectionsPerPeer)}
	if open.peers != nil {
		options = append(options, hemlockpeer.WithDial(open.peers))
	}
	return hemlockpeer.NewClient(options...)
}

// provideTargetClient returns the client of the local target. Which statuses mean "not run" and how large an answer
// may be is read from the configuration in force at each call.
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
	suspects *hemlocksuspect.Table, announcer *hemlockgossip.Driver, log logr.Logger,
) *TargetHealth {
	return &TargetHealth{
		configuration: configuration,
		admission:     admission,
		suspects:      suspects,
		announcer:     announcer,
		log:           log.WithName("target"),
	}
}

func provideAnnouncer(gossip *hemlockmember.Gossip, peers *hemlockpeer.Client, log logr.Logger) *hemlockgossip.Driver {
	return hemlockgossip.New(gossip, peers, log.WithName("gossip"))
}

// providePlatform returns nil when no platform is set.
func providePlatform(s Settings, open dials) *hemlockplatform.Client {
	if s.Platform == "" {
		return nil
	}
	// The settings have been checked, so the URL parses.
	parsed, err := url.Parse(s.Platform)
	if err != nil {
		return nil
	}
	var options []hemlockplatform.Option
	if open.platform != nil {
		options = append(options, hemlockplatform.WithDial(open.platform))
	}
	return hemlockplatform.New(parsed.Host, options...)
}

// platformClaims is the local writer of claims and the claimer on top of the zone's collectors.
type platformClaims struct {
	batcher *hemlockclaim.Batcher
	claimer *hemlockclaim.Claimer
	table   hemlockclaim.Table
}

// anyService is replaced by Claimer.For for each call.
const anyService = "any"

func provideClaims(platform *hemlockplatform.Client, peers *hemlockpeer.Client, duties *Duties) *platformClaims {
	if platform == nil {
		return &platformClaims{claimer: hemlockclaim.New(unavailableClaims{}, anyService, time.Hour)}
	}
	table := hemlockplatform.NewClaimStore(platform)
	batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(table), hemlockclaim.WithIntervalFunc(duties.claimInterval))
	collector := hemlockclaim.NewForwarder(batcher, duties.collector, remoteClaims(peers, duties))
	store := hemlockclaim.NewStore(table, collector)
	return &platformClaims{
		batcher: batcher,
		claimer: hemlockclaim.New(store, anyService, time.Hour, hemlockclaim.WithObjects(table)),
		table:   table,
	}
}

func provideClaimer(c *platformClaims) Claims {
	return c.claimer
}

func provideDispatcher(
	s Settings, server *Server, peers *hemlockpeer.Client, routing *hemlockbalancer.Table,
	suspects *hemlocksuspect.Table, gossip *hemlockmember.Gossip, metrics *Metrics,
) *Dispatcher {
	return &Dispatcher{
		self:     s.PeersAddress,
		zone:     s.Zone,
		local:    server,
		peers:    peers,
		routing:  routing,
		suspects: suspects,
		view:     gossip.View(),
		gossip:   gossip,
		metrics:  metrics,
	}
}

func provideInvoker(client *hemlocktarget.Client) hemlockcall.Invoker {
	return client
}

func provideBudget(s Settings) *byteBudget {
	return newByteBudget(s.BufferMemory)
}

func provideHeadStore(platform *hemlockplatform.Client) hemlockconfiguration.HeadStore {
	if platform == nil {
		return nil
	}
	return NewConfigurationStore(platform)
}

func provideWatch(
	holder *hemlockconfiguration.Holder, store hemlockconfiguration.HeadStore, peers *hemlockpeer.Client,
	gossip *hemlockmember.Gossip, announcer *hemlockgossip.Driver, duties *Duties, log logr.Logger,
) *ConfigurationWatcher {
	w := &ConfigurationWatcher{
		holder:    holder,
		store:     store,
		peers:     peers,
		gossip:    gossip,
		announcer: announcer,
		duties:    duties,
		random:    rand.IntN,
		offers:    make(chan offer, pendingOffers),
		log:       log.WithName("configuration"),
	}
	announcer.OnVersion(w.reported)
	return w
}

func provideSeeds(
	s Settings, platform *hemlockplatform.Client, gossip *hemlockmember.Gossip, duties *Duties, log logr.Logger,
) *Seeds {
	return &Seeds{client: platform, gossip: gossip, duties: duties, self: s.PeersAddress, zone: s.Zone, log: log.WithName("seeds")}
}

func provideSweeper(
	claims *platformClaims, holder *hemlockconfiguration.Holder, duties *Duties, log logr.Logger,
) *ClaimSweeper {
	return &ClaimSweeper{table: claims.table, configuration: holder, duties: duties, log: log.WithName("sweep")}
}

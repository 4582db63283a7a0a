package hemlocknode

import (
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
	"hemlockhollow/platform/hemlockplatform"
)

func provideCallerRetryBudget() *hemlockretry.CallerRetryBudget {
	return hemlockretry.NewCallerRetryBudget()
}

func provideInFlight() *hemlockinflight.Table {
	return hemlockinflight.New()
}

func provideServer(
	configuration *hemlockconfiguration.Holder, admission *hemlockadmission.Controller[*waiter],
	target hemlockcall.Invoker, health *TargetHealth, inFlight *hemlockinflight.Table, suspects *hemlocksuspect.Table, metrics *Metrics,
	drain *hemlockdrain.Drain,
) *Server {
	return &Server{
		configuration: configuration,
		admission:     admission,
		target:        target,
		health:        health,
		inFlight:      inFlight,
		suspects:      suspects,
		metrics:       metrics,
		drain:         drain,
	}
}

func provideCallHandler(
	configuration *hemlockconfiguration.Holder, dispatcher *Dispatcher, claims Claims,
	callerRetries *hemlockretry.CallerRetryBudget, inFlight *hemlockinflight.Table, bodyMemory *memoryBudget, metrics *Metrics,
	log logr.Logger, drain *hemlockdrain.Drain,
) *CallHandler {
	return &CallHandler{
		configuration: configuration,
		dispatcher:    dispatcher,
		claims:        claims,
		callerRetries: callerRetries,
		inFlight:      inFlight,
		bodyMemory:    bodyMemory,
		metrics:       metrics,
		log:           log.WithName("calls"),
		drain:         drain,
	}
}

func provideReporter(
	settings Settings, configuration *hemlockconfiguration.Holder, gossip *hemlockmember.Gossip, health *TargetHealth,
	server *Server, inFlight *hemlockinflight.Table, suspects *hemlocksuspect.Table, claims *platformClaims,
	platform *hemlockplatform.Client, metrics *Metrics,
) *Reporter {
	return &Reporter{
		settings:      settings,
		started:       time.Now(),
		configuration: configuration,
		gossip:        gossip,
		health:        health,
		server:        server,
		inFlight:      inFlight,
		suspects:      suspects,
		claims:        claims,
		platform:      platform,
		metrics:       metrics,
	}
}

func provideNode(
	settings Settings, log logr.Logger, metrics *Metrics, calls *CallHandler, server *Server, dispatcher *Dispatcher,
	health *TargetHealth, gossipDriver *hemlockgossip.Driver, configurationWatcher *ConfigurationWatcher, seeds *Seeds, claimSweeper *ClaimSweeper,
	claims *platformClaims, reporter *Reporter, drain *hemlockdrain.Drain,
) *Node {
	return &Node{
		settings:             settings,
		log:                  log,
		metrics:              metrics,
		calls:                calls,
		server:               server,
		dispatcher:           dispatcher,
		health:               health,
		gossipDriver:         gossipDriver,
		configurationWatcher: configurationWatcher,
		seeds:                seeds,
		claimSweeper:         claimSweeper,
		claims:               claims,
		reporter:             reporter,
		drain:                drain,
	}
}

package hemlocknode

import (
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
	"hemlockhollow/platform/hemlockplatform"
)

func provideRepeats() *hemlockretry.CallerRetryBudget {
	return hemlockretry.NewCallerRetryBudget()
}

func provideRunning() *hemlockinflight.Table {
	return hemlockinflight.New()
}

func provideServer(
	configuration *hemlockconfiguration.Holder, admission *hemlockadmission.Controller[*waiter],
	target hemlockcall.Invoker, health *TargetHealth, running *hemlockinflight.Table, suspects *hemlocksuspect.Table, metrics *Metrics,
) *Server {
	return &Server{
		configuration: configuration,
		admission:     admission,
		target:        target,
		health:        health,
		running:       running,
		suspects:      suspects,
		metrics:       metrics,
	}
}

func provideCalls(
	configuration *hemlockconfiguration.Holder, dispatcher *Dispatcher, claims Claims,
	repeats *hemlockretry.CallerRetryBudget, running *hemlockinflight.Table, budget *byteBudget, metrics *Metrics,
	log logr.Logger,
) *CallHandler {
	return &CallHandler{
		configuration: configuration,
		dispatcher:    dispatcher,
		claims:        claims,
		repeats:       repeats,
		running:       running,
		budget:        budget,
		metrics:       metrics,
		log:           log.WithName("calls"),
	}
}

func provideReporter(
	settings Settings, configuration *hemlockconfiguration.Holder, gossip *hemlockmember.Gossip, health *TargetHealth,
	server *Server, running *hemlockinflight.Table, suspects *hemlocksuspect.Table, claims *platformClaims,
	platform *hemlockplatform.Client, metrics *Metrics,
) *Reporter {
	return &Reporter{
		settings:      settings,
		started:       time.Now(),
		configuration: configuration,
		gossip:        gossip,
		health:        health,
		server:        server,
		running:       running,
		suspects:      suspects,
		claims:        claims,
		platform:      platform,
		metrics:       metrics,
	}
}

func provideNode(
	settings Settings, log logr.Logger, metrics *Metrics, calls *CallHandler, server *Server, dispatcher *Dispatcher,
	health *TargetHealth, announcer *hemlockgossip.Driver, watch *ConfigurationWatcher, seeds *Seeds, sweeper *ClaimSweeper,
	claims *platformClaims, reporter *Reporter,
) *Node {
	return &Node{
		settings:   settings,
		log:        log,
		metrics:    metrics,
		calls:      calls,
		server:     server,
		dispatcher: dispatcher,
		health:     health,
		announcer:  announcer,
		watch:      watch,
		seeds:      seeds,
		sweeper:    sweeper,
		claims:     claims,
		reporter:   reporter,
	}
}

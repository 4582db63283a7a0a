//go:build wireinject

package hemlocknode

import (
	"github.com/go-logr/logr"
	"github.com/google/wire"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockdrain"
)

// buildNode is generated into wire_gen.go.
func buildNode(settings Settings, log logr.Logger, dial dialers) (*Node, func()) {
	panic(wire.Build(
		NewMetrics,
		hemlockdrain.New,
		hemlockconfiguration.NewHolder,
		provideSuspects,
		provideGossip,
		provideView,
		provideBalancer,
		provideDuties,
		providePeerClient,
		provideTargetClient,
		provideInvoker,
		provideHealth,
		provideGossipDriver,
		providePlatform,
		provideClaims,
		provideClaimer,
		provideDispatcher,
		provideBodyMemory,
		provideConfigurationStore,
		provideConfigurationWatcher,
		provideSeeds,
		provideClaimSweeper,
		provideCallerRetryBudget,
		provideInFlight,
		newAdmission,
		provideServer,
		provideCallHandler,
		provideReporter,
		provideNode,
	))
}

//go:build wireinject

package hemlocknode

import (
	"github.com/go-logr/logr"
	"github.com/google/wire"

	"hemlockhollow/hemlockconfiguration"
)

// buildNode is generated into wire_gen.go.
func buildNode(settings Settings, log logr.Logger, open dials) (*Node, func()) {
	panic(wire.Build(
		NewMetrics,
		hemlockconfiguration.NewHolder,
		provideSuspects,
		provideGossip,
		provideView,
		provideRouting,
		provideDuties,
		providePeerClient,
		provideTargetClient,
		provideInvoker,
		provideHealth,
		provideAnnouncer,
		providePlatform,
		provideClaims,
		provideClaimer,
		provideDispatcher,
		provideBudget,
		provideHeadStore,
		provideWatch,
		provideSeeds,
		provideSweeper,
		provideRepeats,
		provideRunning,
		newAdmission,
		provideServer,
		provideCalls,
		provideReporter,
		provideNode,
	))
}

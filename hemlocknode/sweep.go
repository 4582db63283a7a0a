package hemlocknode

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockconfiguration"
)

const (
	sweepInterval = time.Minute
	// maxSweepRows limits the rows deleted for a service in one run, so that sweeping does not use up the writes/s that
	// claims need.
	maxSweepRows = 1000
	sweepTimeout = 20 * time.Second
)

// ClaimSweeper deletes claims whose idempotency keys are too old to be used again.
type ClaimSweeper struct {
	table         hemlockclaim.Table
	configuration *hemlockconfiguration.Holder
	duties        *Duties
	log           logr.Logger
}

func (s *ClaimSweeper) run(ctx context.Context) {
	if s.table == nil {
		return
	}
	for hemlockcall.Sleep(ctx, sweepInterval) {
		if nodes := s.duties.assignees("sweep", "", 1); slices.Contains(nodes, s.duties.self) {
			s.sweep(ctx)
		}
	}
}

func (s *ClaimSweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	for _, service := range s.configuration.Current().Services {
		if _, err := hemlockclaim.Sweep(ctx, s.table, service.Name, service.ClaimRetention, time.Now(), maxSweepRows); err != nil {
			s.log.V(1).Info("claims not swept", "service", service.Name, "error", err.Error())
			return
		}
	}
}

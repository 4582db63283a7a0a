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
	// sweepLimit bounds the rows deleted for a service in one run, so that sweeping leaves room for claims.
	sweepLimit = 1000
	sweepTime  = 20 * time.Second
)

// ClaimSweeper deletes claims whose keys can no longer be used.
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
		if holders := s.duties.holders("sweep", "", 1); slices.Contains(holders, s.duties.self) {
			s.sweep(ctx)
		}
	}
}

func (s *ClaimSweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTime)
	defer cancel()
	for _, service := range s.configuration.Current().Services {
		if _, err := hemlockclaim.Sweep(ctx, s.table, service.Name, service.ClaimRetention, time.Now(), sweepLimit); err != nil {
			s.log.V(1).Info("claims not swept", "service", service.Name, "error", err.Error())
			return
		}
	}
}

package hemlocknode

import (
	"context"
	"time"

	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockrouting"
)

const routingRefresh = 100 * time.Millisecond

// followView puts the members of the view into the routing table until the context ends.
func followView(ctx context.Context, view *hemlockmember.View, routing *hemlockrouting.Table) {
	ticker := time.NewTicker(routingRefresh)
	defer ticker.Stop()
	var seen uint64
	for {
		if version := view.Version(); version != seen {
			seen = version
			routing.Replace(time.Now(), targetsOf(view.Members()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func targetsOf(members []hemlockmember.Member) []hemlockrouting.Target {
	targets := make([]hemlockrouting.Target, 0, len(members))
	for _, m := range members {
		if m.Service == "" || m.State == hemlockmember.Dead {
			continue
		}
		targets = append(targets, hemlockrouting.Target{
			Address: m.Address,
			Zone:    m.Zone,
			Service: m.Service,
			Slots:   m.Slots,
			Ready:   m.State == hemlockmember.Ready,
		})
	}
	return targets
}

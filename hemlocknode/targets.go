package hemlocknode

import (
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmember"
)

// routeSync keeps the routing table in step with the view.
type routeSync struct {
	// seen is the version of the view that the table holds.
	seen  atomic.Uint64
	mutex sync.Mutex
}

// refresh puts the view into the table when it has changed. It is called before each pick, so that no request is
// routed by an older view than the one that the node has.
func (r *routeSync) refresh(now time.Time, view *hemlockmember.View, table *hemlockbalancer.Table) {
	if r.seen.Load() == view.Version() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The version is read before the members: a change in between leads to another refresh.
	version := view.Version()
	table.Replace(now, targetsOf(view.Members()))
	r.seen.Store(version)
}

func targetsOf(members []hemlockmember.Member) []hemlockcall.Target {
	targets := make([]hemlockcall.Target, 0, len(members))
	for _, m := range members {
		if m.Service == "" || m.State == hemlockmember.Dead {
			continue
		}
		targets = append(targets, hemlockcall.Target{
			Address: m.Address,
			Zone:    m.Zone,
			Service: m.Service,
			Slots:   m.Slots,
			Ready:   m.State == hemlockmember.Ready,
		})
	}
	return targets
}

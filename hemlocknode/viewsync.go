package hemlocknode

import (
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmember"
)

// viewSync updates the targets of the balancer when the membership view has changed.
type viewSync struct {
	// syncedVersion is the version of the view with which the balancer was last updated.
	syncedVersion atomic.Uint64
	mutex         sync.Mutex
}

// refresh updates the balancer if the view has changed. It is called before each choice of a target, so that no request is
// routed by an older view than the node has.
func (v *viewSync) refresh(now time.Time, view *hemlockmember.View, balancer *hemlockbalancer.Balancer) {
	if v.syncedVersion.Load() == view.Version() {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	// The version is read before the members, so that a change in between causes another refresh.
	version := view.Version()
	balancer.Replace(now, targetsOf(view.Members()))
	v.syncedVersion.Store(version)
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

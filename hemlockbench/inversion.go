package hemlockbench

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// inversions counts, at one node, the requests that were admitted within a second after a request of a higher
// priority was refused there because of load.
type inversions struct {
	lastRefusal [hemlockcall.PriorityCount]time.Duration // last refusal because of load; 0 means none
	count       int
}

func (i *inversions) refused(now time.Duration, p hemlockcall.Priority) {
	i.lastRefusal[p] = now
}

func (i *inversions) admitted(now time.Duration, p hemlockcall.Priority) {
	for higher := p + 1; int(higher) < hemlockcall.PriorityCount; higher++ {
		if at := i.lastRefusal[higher]; at > 0 && now-at < time.Second {
			i.count++
			return
		}
	}
}

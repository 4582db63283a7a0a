package hemlockmember

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
)

// minLoadChange is the change of a load, as a multiple of the concurrency limit, that is sent to the neighbours without waiting for the
// next probe. In a large zone, probes alone take longer than a report is valid until they have spread a change.
const minLoadChange = 0.5

// LoadReports are the load reports of services that a node knows. Both methods must not call the engine.
type LoadReports interface {
	// HighLoads returns the load reports for other nodes.
	HighLoads(now time.Time) []hemlockcall.ServiceLoad
	// MergeLoads merges the load reports of another node.
	MergeLoads(now time.Time, loads []hemlockcall.ServiceLoad)
}

// WithLoadReports makes the engine exchange load reports within the zone.
func WithLoadReports(reports LoadReports) Option {
	return func(g *Gossip) { g.loads = reports }
}

// loadsFor returns the load reports for a member; nil if it is in another zone.
func (g *Gossip) loadsFor(now time.Time, address string) []hemlockcall.ServiceLoad {
	if g.loads == nil || !g.inOwnZone(address) {
		return nil
	}
	return g.loads.HighLoads(now)
}

// receiveLoads merges the load reports of a member of this node's zone.
func (g *Gossip) receiveLoads(now time.Time, from string, loads []hemlockcall.ServiceLoad) {
	if g.loads != nil && len(loads) > 0 && g.inOwnZone(from) {
		g.loads.MergeLoads(now, loads)
	}
}

// sendChangedLoads sends the load reports to the neighbours in the zone if a load differs by minLoadChange from what they were sent so
// last, and the budget allows it.
func (g *Gossip) sendChangedLoads(now time.Time) {
	if g.loads == nil {
		return
	}
	current := g.loads.HighLoads(now)
	if !g.loadsChanged(current) || !g.budget.allows(syncReserve) {
		return
	}
	g.sentLoads = make(map[string]float64, len(current))
	for _, l := range current {
		g.sentLoads[l.Service] = l.Load
	}
	for _, address := range g.neighbours {
		if g.inOwnZone(address) {
			g.send(Message{To: address, Kind: Update, Loads: current})
		}
	}
}

func (g *Gossip) loadsChanged(current []hemlockcall.ServiceLoad) bool {
	for _, l := range current {
		if math.Abs(l.Load-g.sentLoads[l.Service]) >= minLoadChange {
			return true
		}
	}
	return false
}

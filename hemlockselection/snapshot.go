package hemlockselection

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Snapshot is what a Selector knows, for operators.
type Snapshot struct {
	Placement Placement `json:"placement"`
	// Choices counts the choices by cost by the name of their Reason.
	Choices map[string]uint64 `json:"choices"`
	// Services is ordered by name; it is empty where targets are chosen by load.
	Services []ServiceSnapshot `json:"services"`
}

// ServiceSnapshot is what was learned about one service.
type ServiceSnapshot struct {
	Service string `json:"service"`
	// CostMilliseconds holds the current cost of each class.
	CostMilliseconds map[string]float64 `json:"cost-ms"`
	Targets          []TargetSnapshot   `json:"targets"`
}

// TargetSnapshot is what was learned about one target.
type TargetSnapshot struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Ready   bool   `json:"ready"`
	// Slowness is the current service time relative to the mean of the service, by samples and by calls in flight that are late;
	// SampledSlowness is that by samples alone, and UsualSlowness that of the last seconds.
	Slowness        float64 `json:"slowness"`
	SampledSlowness float64 `json:"sampled-slowness"`
	UsualSlowness   float64 `json:"usual-slowness"`
	Samples         int     `json:"samples"`
	InFlight        int     `json:"in-flight"` // calls of this node
	// Load is the fraction of the limit that one more call would have in use, and OutstandingMilliseconds the work there, at slowness 1.
	Load                    float64 `json:"load"`
	OutstandingMilliseconds float64 `json:"outstanding-ms"`
	// ReportAgeMilliseconds is the age of the last report; -1 without one.
	ReportAgeMilliseconds float64 `json:"report-age-ms"`
	Failures              float64 `json:"failures"`
}

// Snapshot returns the state at the given time.
func (s *Selector) Snapshot(now time.Time) Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	snapshot := Snapshot{Placement: s.placement, Choices: s.choicesByReason(), Services: []ServiceSnapshot{}}
	for service, g := range s.groups {
		if g.estimates == nil {
			continue
		}
		k := ServiceSnapshot{Service: service, CostMilliseconds: map[string]float64{}}
		for name, c := range g.estimates.classes {
			k.CostMilliseconds[name] = 1000 * c.cost(now)
		}
		for _, e := range slices.Concat(g.own, g.other) {
			k.Targets = append(k.Targets, e.snapshot(now, g.estimates))
		}
		snapshot.Services = append(snapshot.Services, k)
	}
	slices.SortFunc(snapshot.Services, func(a, b ServiceSnapshot) int { return strings.Compare(a.Service, b.Service) })
	return snapshot
}

// Choices returns how many targets were chosen by cost, by the name of the Reason; nil where targets are chosen by load.
func (s *Selector) Choices() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.choicesByReason()
}

// choicesByReason is called with the lock held.
func (s *Selector) choicesByReason() map[string]uint64 {
	if s.placement != PlacementCost {
		return nil
	}
	choices := make(map[string]uint64, reasonCount)
	for r, n := range s.choices {
		choices[Reason(r).String()] = n
	}
	return choices
}

func (e *entry) snapshot(now time.Time, estimates *estimates) TargetSnapshot {
	_, load, work := e.occupancy(now, estimates)
	slowness := e.cost.slowness.factor(now)
	t := TargetSnapshot{Address: e.target.Address, Zone: e.target.Zone, Ready: e.eligible(nil),
		Slowness: slowness * e.overdue(now, estimates, slowness, 0), SampledSlowness: slowness,
		UsualSlowness: math.Exp(e.cost.slowness.usual), Samples: e.cost.slowness.samples, InFlight: e.inFlight, Load: load,
		OutstandingMilliseconds: 1000 * work, ReportAgeMilliseconds: -1, Failures: e.failureFraction(now)}
	if !e.feedbackAt.IsZero() {
		t.ReportAgeMilliseconds = float64(now.Sub(e.feedbackAt).Microseconds()) / 1000
	}
	return t
}

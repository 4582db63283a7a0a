package hemlockroute

import (
	"sync"
)

// Splitter distributes the requests of a route to its services by smooth weighted round robin: the counts match the
// weights after a few requests already. Independent random draws would be off by several percent in a short window. It
// is safe for concurrent use.
type Splitter struct {
	random func() float64

	mutex   sync.Mutex
	version uint64
	credits map[string][]float64 // by route name; one entry for each split, in the order of Route.Splits
}

// NewSplitter returns a splitter. Random returns a number in [0,1); it makes each node start at a random point of the
// round.
func NewSplitter(random func() float64) *Splitter {
	return &Splitter{random: random, credits: map[string][]float64{}}
}

// Choose returns the service for the next request of the route. The version is that of the route's table; when it
// changes, all routes start a new round.
func (s *Splitter) Choose(version uint64, r *Route) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version != s.version {
		s.version = version
		clear(s.credits)
	}
	credits := s.credits[r.Name]
	if len(credits) != len(r.Splits) {
		credits = s.initialCredits(r)
		s.credits[r.Name] = credits
	}
	total, best := 0.0, 0
	for i, split := range r.Splits {
		total += split.Weight
		credits[i] += split.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Splits[best].Service
}

// initialCredits starts the round at a random point, so that not all nodes begin with the same service.
func (s *Splitter) initialCredits(r *Route) []float64 {
	credits := make([]float64, len(r.Splits))
	for i, split := range r.Splits {
		credits[i] = (s.random() - 0.5) * split.Weight
	}
	return credits
}

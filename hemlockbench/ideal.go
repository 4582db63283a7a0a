package hemlockbench

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// ideal computes what the slots could complete of the arrivals during the trigger, for each class: capacity goes to the
// priorities from the highest down, and within one priority all classes grow together until a service they need is
// full. A call takes a slot for its own work and its nested calls. Zones are not told apart, so that the figure is an
// upper bound while one is cut off. The figure depends on the scenario alone, not on the variant.
func ideal(h Deployment, sc Scenario) []float64 {
	const step = 100 * time.Millisecond
	totals := make([]float64, len(h.Classes))
	for at := triggerStart; at < triggerEnd; at += step {
		for i, rate := range idealRates(h, sc, at) {
			totals[i] += rate * step.Seconds()
		}
	}
	return totals
}

// use returns the slots of each service that one request per second of the class takes.
func (h *Deployment) use(c Class, slow float64) []float64 {
	slowService := orders
	use := make([]float64, len(h.Services))
	for i, step := range c.Path {
		use[step] += h.hold(c, i, slow, &slowService).Seconds()
	}
	return use
}

func idealRates(h Deployment, sc Scenario, at time.Duration) []float64 {
	left := capacities(h, sc, at)
	rates := make([]float64, len(h.Classes))
	uses := make([][]float64, len(h.Classes))
	for i, c := range h.Classes {
		uses[i] = h.use(c, sc.SlowFactor)
	}
	for p := hemlockcall.Critical; ; p-- {
		fillPriority(h, sc, p, uses, left, rates)
		if p == hemlockcall.Sheddable {
			return rates
		}
	}
}

// fillPriority raises the served share of all classes of one priority in small steps while their services have room.
func fillPriority(h Deployment, sc Scenario, p hemlockcall.Priority, uses [][]float64, left, rates []float64) {
	const steps = 200
	full := make([]bool, len(h.Classes))
	for range steps {
		for i, c := range h.Classes {
			if c.Priority != p || full[i] || c.AtMostOnce && sc.PlatformOutage {
				continue
			}
			rate := c.Rate * sc.SurgeFactor / steps
			for s, use := range uses[i] {
				full[i] = full[i] || use*rate > left[s]
			}
			if full[i] {
				continue
			}
			rates[i] += rate
			for s, use := range uses[i] {
				left[s] -= use * rate
			}
		}
	}
}

func capacities(h Deployment, sc Scenario, at time.Duration) []float64 {
	left := make([]float64, len(h.Services))
	for i, s := range h.Services {
		left[i] = float64(s.Targets * s.Slots)
	}
	if sc.GrayFailure {
		left[orders] -= 0.9 * float64(h.Services[orders].Slots)
	}
	if since := at - triggerStart - 5*time.Second; sc.Crash && since >= 0 {
		lost := 1.0
		if back := since - restartTime; back >= 0 {
			lost = max(0, (1-coldCapacity)*(1-float64(back)/float64(coldTime)))
		}
		left[crashed] -= lost * float64(h.Services[crashed].Slots)
	}
	return left
}

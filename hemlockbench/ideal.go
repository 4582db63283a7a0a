package hemlockbench

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// idealGoodput returns, for each class, how many requests that arrive during the trigger the slots could complete. The
// slots are allocated to the priorities from the highest to the lowest; within one priority the completed fraction of
// all classes rises at the same rate until a service that they need has no free slot. A call occupies a slot for its own
// work and its nested calls. Zones are ignored, so that the result is an upper bound while a zone is partitioned. The
// result does not depend on the variant.
func idealGoodput(d Deployment, sc Scenario) []float64 {
	const step = 100 * time.Millisecond
	totals := make([]float64, len(d.Classes))
	for at := triggerStart; at < triggerEnd; at += step {
		for i, rate := range idealRates(d, sc, at) {
			totals[i] += rate * step.Seconds()
		}
	}
	return totals
}

// slotUse returns how many slots of each service one request per second of the class occupies.
func (d *Deployment) slotUse(c Class, slowFactor float64) []float64 {
	slowService := orders
	use := make([]float64, len(d.Services))
	for i, step := range c.Path {
		use[step] += d.callTime(c, i, slowFactor, &slowService).Seconds()
	}
	return use
}

func idealRates(d Deployment, sc Scenario, at time.Duration) []float64 {
	free := capacities(d, sc, at)
	rates := make([]float64, len(d.Classes))
	uses := make([][]float64, len(d.Classes))
	for i, c := range d.Classes {
		uses[i] = d.slotUse(c, sc.SlowFactor)
	}
	for p := hemlockcall.Critical; ; p-- {
		fillPriority(d, sc, p, uses, free, rates)
		if p == hemlockcall.Sheddable {
			return rates
		}
	}
}

// fillPriority raises the rates of all classes of one priority in small steps while their services have free slots.
func fillPriority(d Deployment, sc Scenario, p hemlockcall.Priority, uses [][]float64, free, rates []float64) {
	const steps = 200
	full := make([]bool, len(d.Classes))
	for range steps {
		for i, c := range d.Classes {
			if c.Priority != p || full[i] || c.AtMostOnce && sc.PlatformOutage {
				continue
			}
			rate := c.Rate * sc.SurgeFactor / steps
			for s, use := range uses[i] {
				full[i] = full[i] || use*rate > free[s]
			}
			if full[i] {
				continue
			}
			rates[i] += rate
			for s, use := range uses[i] {
				free[s] -= use * rate
			}
		}
	}
}

func capacities(d Deployment, sc Scenario, at time.Duration) []float64 {
	slots := make([]float64, len(d.Services))
	for i, s := range d.Services {
		slots[i] = float64(s.Targets * s.Slots)
	}
	if sc.GrayFailure {
		slots[orders] -= 0.9 * float64(d.Services[orders].Slots)
	}
	if elapsed := at - triggerStart - 5*time.Second; sc.Crash && elapsed >= 0 {
		lost := 1.0
		if sinceRestart := elapsed - restartTime; sinceRestart >= 0 {
			lost = max(0, (1-slowStartCapacity)*(1-float64(sinceRestart)/float64(slowStartTime)))
		}
		slots[crashedService] -= lost * float64(d.Services[crashedService].Slots)
	}
	return slots
}

package hemlockbench

import "time"

// The phases of a run: warm-up, quiet time that the recovery is measured against, trigger, and recovery.
const (
	warm     = 5 * time.Second
	quiet    = 10 * time.Second
	trigger  = 30 * time.Second
	recovery = 20 * time.Second

	triggerStart = warm + quiet
	triggerEnd   = triggerStart + trigger
	runEnd       = triggerEnd + recovery
)

// Scenario is one named case. The trigger lasts from triggerStart to triggerEnd.
type Scenario struct {
	// Name is the name used on the command line.
	Name string
	// SlowFactor multiplies the work at the orders service.
	SlowFactor float64
	// SurgeFactor multiplies the arrivals of all classes.
	SurgeFactor float64
	// CallerRetries is how often a caller sends a failed request again.
	CallerRetries int
	// Crash kills a third of the targets of the crashed service 5 s into the trigger; they come back cold after 10 s.
	Crash bool
	// ZoneCut cuts the last zone off from the others for 10 s, 5 s into the trigger.
	ZoneCut bool
	// PlatformOutage makes the platform unreachable for the whole trigger.
	PlatformOutage bool
	// PoisonRequest is a critical request to the crashed service that crashes each target that runs it, repeated twice a
	// second. A sheddable one would be shed in the storm.
	PoisonRequest bool
	// GrayFailure makes one target of the orders service ten times slower, while it reports no load.
	GrayFailure bool
}

// crashed is the service whose targets crash: its requests are the ones that the storm leaves some slots for.
const crashed = counter

// Scenarios returns all cases.
func Scenarios() []Scenario {
	storm := func(name string) Scenario {
		return Scenario{Name: name, SlowFactor: 5, SurgeFactor: 3, CallerRetries: 3}
	}
	crash, zone, platform, killer := storm("storm-crash"), storm("storm-zone"), storm("storm-platform"),
		storm("storm-killer")
	crash.Crash, zone.ZoneCut, platform.PlatformOutage, killer.PoisonRequest = true, true, true, true
	return []Scenario{
		{Name: "slow", SlowFactor: 5, SurgeFactor: 1},
		{Name: "surge", SlowFactor: 1, SurgeFactor: 3},
		{Name: "repeats", SlowFactor: 1, SurgeFactor: 1.5, CallerRetries: 3}, // repeats need something that fails: 105% of the slots
		storm("storm"), crash, zone, platform, killer,
		{Name: "gray", SlowFactor: 1, SurgeFactor: 1, GrayFailure: true},
	}
}

// triggered reports whether the trigger acts at the given time of a run.
func triggered(now time.Duration) bool {
	return now >= triggerStart && now < triggerEnd
}

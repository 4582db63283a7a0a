package hemlockbench

import "time"

// The phases of a run: warm-up, normal load (the reference for the recovery), trigger (the scenario's overload and faults
// act), and recovery.
const (
	warmUp   = 5 * time.Second
	normal   = 10 * time.Second
	trigger  = 30 * time.Second
	recovery = 20 * time.Second

	triggerStart = warmUp + normal
	triggerEnd   = triggerStart + trigger
	runEnd       = triggerEnd + recovery
)

// Scenario is one overload or fault with its name. Its effects last from triggerStart to triggerEnd unless they say
// otherwise.
type Scenario struct {
	// Name is the name used on the command line.
	Name string
	// SlowFactor multiplies the time of the work at the orders service.
	SlowFactor float64
	// SurgeFactor multiplies the arrivals of all classes.
	SurgeFactor float64
	// CallerRetries is how often a caller retries a failed request.
	CallerRetries int
	// Crash kills a third of the targets of the crashed service 5 s into the trigger; they restart after 10 s, with a slow
	// start.
	Crash bool
	// ZonePartition partitions the last zone from the others for 10 s, 5 s into the trigger.
	ZonePartition bool
	// PlatformOutage makes the platform unreachable for the whole trigger.
	PlatformOutage bool
	// PoisonRequest sends a critical request that crashes each target of the crashed service that runs it, twice a second.
	// A sheddable one would be shed in a storm.
	PoisonRequest bool
	// GrayFailure makes one target of the orders service ten times slower, while it reports no load.
	GrayFailure bool
}

// crashedService is the service whose targets crash: its requests still get some slots in a storm.
const crashedService = counter

// Scenarios returns all scenarios. The storms combine a slow orders service, a surge and callers that retry.
func Scenarios() []Scenario {
	storm := func(name string) Scenario {
		return Scenario{Name: name, SlowFactor: 5, SurgeFactor: 3, CallerRetries: 3}
	}
	crash, zone, platform, poison := storm("storm-crash"), storm("storm-zone"), storm("storm-platform"),
		storm("storm-killer")
	crash.Crash, zone.ZonePartition, platform.PlatformOutage, poison.PoisonRequest = true, true, true, true
	return []Scenario{
		{Name: "slow", SlowFactor: 5, SurgeFactor: 1},
		{Name: "surge", SlowFactor: 1, SurgeFactor: 3},
		// The arrivals need 105% of the slots, so that some requests fail: callers retry only those.
		{Name: "repeats", SlowFactor: 1, SurgeFactor: 1.5, CallerRetries: 3},
		storm("storm"), crash, zone, platform, poison,
		{Name: "gray", SlowFactor: 1, SurgeFactor: 1, GrayFailure: true},
	}
}

// inTrigger reports whether the given time of a run is in the trigger phase.
func inTrigger(now time.Duration) bool {
	return now >= triggerStart && now < triggerEnd
}

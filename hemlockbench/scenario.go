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
	// Slow multiplies the work at the orders service.
	Slow float64
	// Surge multiplies the arrivals of all classes.
	Surge float64
	// Repeats is how often a caller sends a failed request again.
	Repeats int
	// Crash kills a third of the targets of the crashed service 5 s into the trigger; they come back cold after 10 s.
	Crash bool
	// ZoneCut cuts the last zone off from the others for 10 s, 5 s into the trigger.
	ZoneCut bool
	// PlatformOut makes the platform unreachable for the whole trigger.
	PlatformOut bool
	// Killer is a critical request to the crashed service that crashes each target that runs it, repeated twice a
	// second. A sheddable one would be shed in the storm.
	Killer bool
	// Gray makes one target of the orders service ten times slower, while it reports no load.
	Gray bool
}

// crashed is the service whose targets crash: its requests are the ones that the storm leaves some slots for.
const crashed = counter

// Scenarios returns all cases.
func Scenarios() []Scenario {
	storm := func(name string) Scenario {
		return Scenario{Name: name, Slow: 5, Surge: 3, Repeats: 3}
	}
	crash, zone, platform, killer := storm("storm-crash"), storm("storm-zone"), storm("storm-platform"),
		storm("storm-killer")
	crash.Crash, zone.ZoneCut, platform.PlatformOut, killer.Killer = true, true, true, true
	return []Scenario{
		{Name: "slow", Slow: 5, Surge: 1},
		{Name: "surge", Slow: 1, Surge: 3},
		{Name: "repeats", Slow: 1, Surge: 1.5, Repeats: 3}, // repeats need something that fails: 105% of the slots
		storm("storm"), crash, zone, platform, killer,
		{Name: "gray", Slow: 1, Surge: 1, Gray: true},
	}
}

// triggered reports whether the trigger acts at the given time of a run.
func triggered(now time.Duration) bool {
	return now >= triggerStart && now < triggerEnd
}

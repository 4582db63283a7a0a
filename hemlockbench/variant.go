package hemlockbench

import (
	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockbalancer"
)

// Variant is one form of the control layer in a comparison.
type Variant struct {
	// Name is printed in reports.
	Name string

	admission []hemlockadmission.Mechanism
	routing   []hemlockbalancer.Mechanism
	// queue bounds the queues of the baselines; 0 leaves the default.
	queue int
	// hopRetries is the number of retries of each hop of a baseline.
	hopRetries int
	// noDeadline leaves work running after its caller gave up; noLedger gives each hop the whole retry allowance.
	noDeadline bool
	noLedger   bool
	noBudget   bool
	noSuspects bool
	baseline   bool
}

const unbounded = 1 << 30

// Variants returns the baselines, the current code and the current code with each mechanism switched off in turn.
func Variants() []Variant {
	allAdmission := []hemlockadmission.Mechanism{hemlockadmission.AdaptiveLimit, hemlockadmission.PriorityOrder,
		hemlockadmission.DepthOrder, hemlockadmission.Displacement, hemlockadmission.PriorityHold,
		hemlockadmission.LateRefusal, hemlockadmission.SlowStart, hemlockadmission.NestedPacing}
	allRouting := []hemlockbalancer.Mechanism{hemlockbalancer.OutlierDetection, hemlockbalancer.EarlyShedding,
		hemlockbalancer.Probes}
	baseline := func(name string, queue, retries int) Variant {
		return Variant{Name: name, admission: allAdmission, routing: allRouting, queue: queue, hopRetries: retries,
			noDeadline: true, noLedger: true, noBudget: true, noSuspects: true, baseline: true}
	}
	admission := func(name string, off hemlockadmission.Mechanism) Variant {
		return Variant{Name: name, admission: []hemlockadmission.Mechanism{off}}
	}
	level := admission("-level", hemlockadmission.PriorityHold)
	level.routing = []hemlockbalancer.Mechanism{hemlockbalancer.EarlyShedding}
	return []Variant{
		baseline("none", unbounded, 3),
		baseline("static", 0, 0),
		{Name: "current"},
		admission("-limit", hemlockadmission.AdaptiveLimit),
		admission("-priority", hemlockadmission.PriorityOrder),
		admission("-displace", hemlockadmission.Displacement),
		level,
		admission("-deadline", hemlockadmission.LateRefusal),
		admission("-deeper", hemlockadmission.DepthOrder),
		{Name: "-outlier", routing: []hemlockbalancer.Mechanism{hemlockbalancer.OutlierDetection}},
		admission("-cold", hemlockadmission.SlowStart),
		admission("-pacing", hemlockadmission.NestedPacing),
		{Name: "-ledger", noLedger: true, hopRetries: 2},
		{Name: "-budget", noBudget: true},
		{Name: "-suspect", noSuspects: true},
	}
}

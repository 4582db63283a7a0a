package hemlockbench

import (
	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockbalancer"
)

// Variant is one configuration of the control layer in a comparison.
type Variant struct {
	// Name is the name used on the command line and in reports.
	Name string

	withoutAdmission []hemlockadmission.Mechanism
	withoutBalancing []hemlockbalancer.Mechanism
	// queueSize is the size of the admission queues; 0 leaves the default.
	queueSize int
	// hopRetries is the number of retries of each call when noRequestBudget is set.
	hopRetries int
	// noDeadline lets requests run to the end after their deadline has expired; noRequestBudget gives each call hopRetries
	// retries of its own instead of a part of the request's retry budget; baseline replaces the rules for retries, see
	// call.mayRetry, and gives each nested call and each retry the full timeout of the class.
	noDeadline      bool
	noRequestBudget bool
	noCallerBudget  bool
	noSuspects      bool
	baseline        bool
}

const unboundedQueue = 1 << 30

// Variants returns the baselines, the current code and the current code with one mechanism disabled at a time.
func Variants() []Variant {
	allAdmission := []hemlockadmission.Mechanism{hemlockadmission.AdaptiveLimit, hemlockadmission.PriorityOrder,
		hemlockadmission.DepthOrder, hemlockadmission.Displacement, hemlockadmission.PriorityHold,
		hemlockadmission.LateRefusal, hemlockadmission.SlowStart, hemlockadmission.NestedPacing}
	allBalancing := []hemlockbalancer.Mechanism{hemlockbalancer.OutlierDetection, hemlockbalancer.EarlyShedding,
		hemlockbalancer.Probing}
	baseline := func(name string, queueSize, retries int) Variant {
		return Variant{Name: name, withoutAdmission: allAdmission, withoutBalancing: allBalancing, queueSize: queueSize,
			hopRetries: retries, noDeadline: true, noRequestBudget: true, noCallerBudget: true, noSuspects: true, baseline: true}
	}
	withoutAdmission := func(name string, disabled hemlockadmission.Mechanism) Variant {
		return Variant{Name: name, withoutAdmission: []hemlockadmission.Mechanism{disabled}}
	}
	withoutHold := withoutAdmission("-level", hemlockadmission.PriorityHold)
	withoutHold.withoutBalancing = []hemlockbalancer.Mechanism{hemlockbalancer.EarlyShedding}
	return []Variant{
		baseline("none", unboundedQueue, 3),
		baseline("static", 0, 0),
		{Name: "current"},
		withoutAdmission("-limit", hemlockadmission.AdaptiveLimit),
		withoutAdmission("-priority", hemlockadmission.PriorityOrder),
		withoutAdmission("-displace", hemlockadmission.Displacement),
		withoutHold,
		withoutAdmission("-deadline", hemlockadmission.LateRefusal),
		withoutAdmission("-deeper", hemlockadmission.DepthOrder),
		{Name: "-outlier", withoutBalancing: []hemlockbalancer.Mechanism{hemlockbalancer.OutlierDetection}},
		withoutAdmission("-cold", hemlockadmission.SlowStart),
		withoutAdmission("-pacing", hemlockadmission.NestedPacing),
		{Name: "-ledger", noRequestBudget: true, hopRetries: 2},
		{Name: "-budget", noCallerBudget: true},
		{Name: "-suspect", noSuspects: true},
	}
}

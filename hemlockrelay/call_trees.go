package hemlockrelay

import (
	"fmt"
	"time"

	"hemlockhollow/hemlockbackpressure"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdemand"
)

// callTrees admits new call trees by the services that they call.
type callTrees struct {
	estimator *hemlockdemand.Estimator
	throttle  *hemlockbackpressure.TreeThrottle
}

// WithCallTrees makes an Entry admit new call trees by the services that they call, as far as the estimator knows their demands. The gate
// of the process must have the same estimator. By default, the busiest service decides.
func WithCallTrees(estimator *hemlockdemand.Estimator) EntryOption {
	return func(e *Entry) {
		e.trees = &callTrees{estimator: estimator, throttle: hemlockbackpressure.NewTreeThrottle()}
	}
}

// WithDemands makes a Gate record its runs with the estimator and report the demands of the called class to the entries of calls.
func WithDemands(estimator *hemlockdemand.Estimator) GateOption {
	return func(g *Gate) { g.estimator = estimator }
}

func classOf(call *hemlockcall.RelayRequest) hemlockdemand.Class {
	return hemlockdemand.Class{Name: call.Class, Service: call.Service}
}

// attribute reports whether a call is a nested one of a run at the local target. A nested call gets the organisation of its parent,
// unless it has one, so that the rank holds throughout the call tree.
func (t *callTrees) attribute(now time.Time, call *hemlockcall.RelayRequest, deadline time.Time) (*hemlockcall.RelayRequest, bool) {
	parent, nested := t.estimator.CallArrived(now, classOf(call), deadline)
	if nested && call.Organisation == "" && parent.Organisation != "" {
		return call.WithOrganisation(parent.Organisation, parent.OrganisationRank), true
	}
	return call, nested
}

// admitCall returns the call with the organisation of its parent if it is a nested one, and a refusal if it is not admitted.
func (e *Entry) admitCall(now time.Time, call *hemlockcall.RelayRequest, deadline time.Time) (*hemlockcall.RelayRequest, bool,
	*hemlockcall.Refusal) {
	nested := false
	if e.trees != nil {
		call, nested = e.trees.attribute(now, call, deadline)
	}
	return call, nested, e.admit(now, call, nested)
}

// admitTree decides on a new call tree by the services that it calls. It returns false while its demands are unknown.
func (e *Entry) admitTree(now time.Time, call *hemlockcall.RelayRequest) (*hemlockcall.Refusal, bool) {
	demands := e.trees.estimator.TreeDemands(now, classOf(call))
	if demands == nil {
		return nil, false
	}
	load := e.monitor.TreeLoad(now, call.Class, call.Service, demands)
	decision := e.trees.throttle.Admit(now, hemlockbackpressure.TreeOf(call), load)
	if decision.Admitted {
		return nil, true
	}
	return refuseOverload(call, describeTreeRefusal(load, decision), decision.Fraction), true
}

// describeTreeRefusal names the service that decided, its load or its refusals, and the demand of the tree there.
func describeTreeRefusal(load hemlockbackpressure.TreeLoad, decision hemlockbackpressure.TreeDecision) string {
	if decision.Probes {
		return fmt.Sprintf("new call trees are unlikely to succeed: targets of %s refuse calls, of which a tree makes %.1f, success probability %.2f, %.0f%% admitted",
			load.Refusing.Service, load.Refusing.Calls, load.Success, 100*decision.Fraction)
	}
	if load.Demand.Service == "" {
		return fmt.Sprintf("no spare capacity for new call trees: load %.2f (%s), %.0f%% admitted",
			load.Value, load.Cause, 100*decision.Fraction)
	}
	return fmt.Sprintf("no spare capacity for new call trees: load %.2f (%s), where a tree makes %.1f calls and takes %.0f ms of slots, %.0f%% admitted",
		load.Value, load.Cause, load.Demand.Calls, float64(load.Demand.SlotTime.Microseconds())/1000, 100*decision.Fraction)
}

// observe changes the admitted fractions of call trees that arrive rarely.
func (t *callTrees) observe(now time.Time, monitor *hemlockbackpressure.LoadMonitor) {
	t.throttle.Observe(now, func(tree hemlockbackpressure.Tree) (hemlockbackpressure.TreeLoad, bool) {
		demands := t.estimator.TreeDemands(now, hemlockdemand.Class{Name: tree.Class, Service: tree.Service})
		return monitor.TreeLoad(now, tree.Class, tree.Service, demands), demands != nil
	})
}

// recordMissingTarget records that a call found no target of its service.
func (e *Entry) recordMissingTarget(now time.Time, service string) {
	e.monitor.RecordMissingTarget(now)
	if e.trees != nil {
		e.monitor.RecordMissingService(now, service)
	}
}

// recordNested records the result of a nested call after all attempts, for the success probability of call trees.
func (e *Entry) recordNested(now time.Time, call *hemlockcall.RelayRequest, err error) {
	refused := false
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		refused = refusal.ReachedTarget && refusal.Verdict == hemlockcall.VerdictNotRun
	}
	e.monitor.RecordNestedCall(now, call.Service, refused)
}

// TreesRefused returns the number of new call trees that were refused by the services that they call, by the service that decided; nil
// if the busiest service decides.
func (e *Entry) TreesRefused() map[string]uint64 {
	if e.trees == nil {
		return nil
	}
	return e.trees.throttle.RefusedByService()
}

// startRun records that a call begins at the target.
func (g *Gate) startRun(call *hemlockcall.RelayRequest, deadline time.Time) hemlockdemand.Handle {
	if g.estimator == nil {
		return hemlockdemand.Handle{}
	}
	return g.estimator.RunStarted(hemlockdemand.Run{Class: classOf(call), Deadline: deadline, Organisation: call.Organisation,
		OrganisationRank: call.OrganisationRank})
}

// endRun records the end of a run. serviceTime is the time for which it held its slot.
func (g *Gate) endRun(now time.Time, handle hemlockdemand.Handle, succeeded bool, serviceTime time.Duration) {
	switch {
	case g.estimator == nil:
	case succeeded:
		g.estimator.RunFinished(now, handle, serviceTime)
	default:
		g.estimator.RunFailed(handle)
	}
}

// reportDemands returns the demands of the called class for the peer that sent the call, if they are due.
func (g *Gate) reportDemands(now time.Time, call *hemlockcall.RelayRequest) ([]hemlockcall.CallDemand, int) {
	if g.estimator == nil {
		return nil, 0
	}
	return g.estimator.Report(now, call.Connection, classOf(call))
}

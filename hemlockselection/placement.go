package hemlockselection

// Placement names a rule by which targets are chosen.
type Placement string

const (
	// PlacementLoad chooses by one service time for each target and by the calls in flight there. It is the default.
	PlacementLoad Placement = "load"
	// PlacementCost chooses by the cost of the call's class, the slowness of each target, and the outstanding work there.
	PlacementCost Placement = "cost"
)

// Valid reports whether the placement is a known one.
func (p Placement) Valid() bool {
	return p == PlacementLoad || p == PlacementCost
}

// Option configures a Selector.
type Option func(*Selector)

// WithPlacement sets the rule by which targets are chosen.
func WithPlacement(placement Placement) Option {
	return func(s *Selector) { s.placement = placement }
}

// Reason says why a target was chosen by cost. Choices by load are not counted by reason.
type Reason uint8

// The reasons. The names that String returns are labels of a metric.
const (
	// ReasonOnlyTarget means that no second target of the zone was eligible.
	ReasonOnlyTarget Reason = iota
	// ReasonLessWork means that the target had less outstanding work than the other random target, and was not faster.
	ReasonLessWork
	// ReasonFaster means that the target was faster than the other random target.
	ReasonFaster
	// ReasonFewerFailures means that the other random target would have been faster, but fails more often.
	ReasonFewerFailures
	// ReasonOwnZoneFull means that a target of another zone was chosen because that of the own zone had no free slot.
	ReasonOwnZoneFull
	// ReasonOwnZoneSlow means that a call was expected to end much sooner in another zone, in spite of a free slot in the own one.
	ReasonOwnZoneSlow
	// ReasonNoOwnTarget means that no target of the own zone was eligible.
	ReasonNoOwnTarget
	// ReasonLastResort means that all eligible targets are unreachable or rate-limited.
	ReasonLastResort

	reasonCount
)

// String returns the name used in metrics.
func (r Reason) String() string {
	return [reasonCount]string{"only-target", "less-work", "faster", "fewer-failures", "own-zone-full", "own-zone-slow", "no-own-target",
		"last-resort"}[r]
}

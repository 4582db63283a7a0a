package hemlockbench

import (
	"reflect"
	"testing"
)

func find(t *testing.T, scenario, variant string) (Scenario, Variant) {
	t.Helper()
	for _, s := range Scenarios() {
		for _, v := range Variants() {
			if s.Name == scenario && v.Name == variant {
				return s, v
			}
		}
	}
	t.Fatalf("no scenario %s or variant %s", scenario, variant)
	return Scenario{}, Variant{}
}

// Guards against figures that depend on map order, on the clock or on the number of workers.
func TestSameSeedGivesSameFigures(t *testing.T) {
	s, v := find(t, "storm-crash", "current")
	c := Case{Deployment: Deployments()[1], Scenario: s, Variant: v, Seed: 3}
	results := RunAll([]Case{c, c}, 2)
	if !reflect.DeepEqual(results[0], results[1]) {
		t.Errorf("two runs differ:\n%+v\n%+v", results[0], results[1])
	}
}

// Guards against arrivals that the call graph cannot carry, which would make the figures of quiet time meaningless.
func TestNormalTimeFitsTheSlots(t *testing.T) {
	for _, h := range Deployments() {
		for _, s := range h.Services {
			if s.UnitWork <= 0 {
				t.Errorf("%s %s: the nested calls alone take more than %v of the slots", h.Name, s.Name, normalUse)
			}
		}
	}
}

package hemlockbench

import (
	"reflect"
	"testing"
)

func findCase(t *testing.T, scenario, variant string) (Scenario, Variant) {
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

// Guards against results that depend on map order, on the clock or on concurrent runs.
func TestSameSeedGivesSameResults(t *testing.T) {
	s, v := findCase(t, "storm-crash", "current")
	c := Case{Deployment: Deployments()[1], Scenario: s, Variant: v, Seed: 3}
	results := RunAll([]Case{c, c}, 2)
	if !reflect.DeepEqual(results[0], results[1]) {
		t.Errorf("two runs differ:\n%+v\n%+v", results[0], results[1])
	}
}

// Guards against arrivals that exceed the capacity of the call graph. The phase of normal load would then be
// overloaded already, and the results of the phases after it would mean nothing.
func TestNormalLoadFitsSlots(t *testing.T) {
	for _, d := range Deployments() {
		for _, s := range d.Services {
			if s.UnitWork <= 0 {
				t.Errorf("%s %s: the nested calls alone take more than %v of the slots", d.Name, s.Name, normalUtilisation)
			}
		}
	}
}

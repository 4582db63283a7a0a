// The bench command runs the virtual-time bench over the decision packages and prints one table for each case.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"hemlockhollow/hemlockbench"
)

func main() {
	house, scenario, variant := "", "", ""
	seed, workers := uint64(1), runtime.NumCPU()
	asJSON := false
	flaggy.SetName("bench")
	flaggy.SetDescription("virtual-time bench over the decision packages")
	flaggy.String(&house, "", "house", "kilwa or habi-tahanan; both when empty")
	flaggy.String(&scenario, "", "scenario", "one scenario; all when empty")
	flaggy.String(&variant, "", "variant", "one variant; all when empty")
	flaggy.UInt64(&seed, "", "seed", "seed of the arrivals and work times")
	flaggy.Int(&workers, "", "workers", "cases that run at once")
	flaggy.Bool(&asJSON, "", "json", "print JSON")
	flaggy.Parse()
	debug.SetGCPercent(400) // the runs allocate one event after another and keep little
	if err := run(house, scenario, variant, seed, workers, asJSON); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
}

func run(house, scenario, variant string, seed uint64, workers int, asJSON bool) error {
	var cases []hemlockbench.Case
	for _, h := range hemlockbench.Deployments() {
		for _, s := range hemlockbench.Scenarios() {
			for _, v := range hemlockbench.Variants() {
				if matches(house, h.Name) && matches(scenario, s.Name) && matches(variant, v.Name) {
					cases = append(cases, hemlockbench.Case{Deployment: h, Scenario: s, Variant: v, Seed: seed})
				}
			}
		}
	}
	if len(cases) == 0 {
		return errors.Errorf("no case matches house %q, scenario %q and variant %q", house, scenario, variant)
	}
	results := hemlockbench.RunAll(cases, workers)
	if asJSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(results), "print")
	}
	return errors.Wrap(hemlockbench.Print(os.Stdout, results), "print")
}

func matches(wanted, name string) bool {
	return wanted == "" || wanted == name
}

// Command bench simulates overload and faults in virtual time with the packages that decide on admission, load
// balancing, retries and suspects, and prints one table for each deployment and scenario.
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
	deployment, scenario, variant := "", "", ""
	seed, workers := uint64(1), runtime.NumCPU()
	asJSON := false
	flaggy.SetName("bench")
	flaggy.SetDescription("simulates overload and faults in virtual time and prints what each variant of the control layer achieves")
	flaggy.String(&deployment, "", "house", "kilwa or habi-tahanan; both when empty")
	flaggy.String(&scenario, "", "scenario", "one scenario; all when empty")
	flaggy.String(&variant, "", "variant", "one variant; all when empty")
	flaggy.UInt64(&seed, "", "seed", "seed of the arrivals and work times")
	flaggy.Int(&workers, "", "workers", "cases that run concurrently")
	flaggy.Bool(&asJSON, "", "json", "print JSON")
	flaggy.Parse()
	debug.SetGCPercent(400) // the runs allocate many events, each for a short time
	if err := run(deployment, scenario, variant, seed, workers, asJSON); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
}

func run(deployment, scenario, variant string, seed uint64, workers int, asJSON bool) error {
	var cases []hemlockbench.Case
	for _, d := range hemlockbench.Deployments() {
		for _, s := range hemlockbench.Scenarios() {
			for _, v := range hemlockbench.Variants() {
				if matches(deployment, d.Name) && matches(scenario, s.Name) && matches(variant, v.Name) {
					cases = append(cases, hemlockbench.Case{Deployment: d, Scenario: s, Variant: v, Seed: seed})
				}
			}
		}
	}
	if len(cases) == 0 {
		return errors.Errorf("no case matches house %q, scenario %q and variant %q", deployment, scenario, variant)
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

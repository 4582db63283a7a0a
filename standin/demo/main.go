// Command demo runs a platform, nodes, targets and callers as separate processes under a short load with faults, and
// checks the results.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	binaries, examples := "bin", "examples"
	verbose := false
	flaggy.SetName("demo")
	flaggy.SetDescription("runs two availability zones as separate processes under load with faults")
	flaggy.String(&binaries, "", "binaries", "folder with the built programs")
	flaggy.String(&examples, "", "examples", "folder with the service files")
	flaggy.Bool(&verbose, "", "verbose", "print what the processes printed")
	flaggy.Parse()
	d := newDemo(binaries, examples)
	err := d.run()
	if err != nil {
		fmt.Println("FAILED:", err)
	}
	if verbose || err != nil {
		d.cluster.WriteOutput(os.Stderr)
	}
	d.cluster.Stop()
	if err != nil || !d.report.passed() {
		os.Exit(1)
	}
}

// Command measure runs real processes on this machine and prints the figures behind docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// measurement is one subcommand; run prints a table.
type measurement struct {
	name, description string
	run               func(binaries string) error
}

var measurements = []measurement{
	{"rest", "processor time, memory and gossip bytes of nodes without load, by number of nodes", measureRest},
	{"spread", "time until a published version is active on all nodes", measureSpread},
	{"path", "added latency and processor time of calls through two nodes, by rate", measurePath},
	{"inflight", "memory of a node by requests in flight", measureInFlight},
}

func main() {
	binaries := "bin"
	flaggy.SetName("measure")
	flaggy.String(&binaries, "", "binaries", "folder with the built programs")
	commands := make([]*flaggy.Subcommand, len(measurements))
	for i, m := range measurements {
		commands[i] = flaggy.NewSubcommand(m.name)
		commands[i].Description = m.description
		flaggy.AttachSubcommand(commands[i], 1)
	}
	flaggy.Parse()
	for i, m := range measurements {
		if !commands[i].Used {
			continue
		}
		if err := m.run(binaries); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

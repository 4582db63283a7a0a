// Command harness runs the cases of the review: it starts sidecars as separate processes, stands in for the store, the
// upstreams and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// caseLimit ends a case that does not end by itself.
const caseLimit = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken  bool
	details []string
}

func (v *verdict) breach(format string, values ...any) {
	v.broken = true
	v.details = append(v.details, fmt.Sprintf(format, values...))
}

// cases are the cases by name; trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"late-copy":          caseLateCopy,
	"pipeline":           casePipeline,
	"uploads":            caseUploads,
	"foreign-check-in":   caseForeignCheckIn,
	"left-during-stop":   caseLeftDuringStop,
	"silent-connections": caseSilentConnections,
	"reused-address":     caseReusedAddress,
	"slow-reader":        caseSlowReader,
	"descriptors":        caseDescriptors,
}

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 leaves out the disruption")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *record, *trouble != "0"))
}

func runCase(run func(*fleet, bool) (verdict, error), record string, trouble bool) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := run(f, trouble)
		done <- result{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		if r.err != nil {
			fmt.Println("not run:", r.err)
			rec.log("not run: %v", r.err)
			return exitNotRun
		}
		for i, d := range r.verdict.details {
			rec.log("verdict %s", d)
			if i < 10 {
				fmt.Println(d)
			}
		}
		if r.verdict.broken {
			fmt.Println("BROKEN")
			rec.log("verdict BROKEN")
			return exitBroken
		}
		fmt.Println("held")
		rec.log("verdict held")
		return exitHeld
	case <-time.After(caseLimit):
		fmt.Println("not run: time limit")
		return exitNotRun
	case <-signals:
		return exitNotRun
	}
}

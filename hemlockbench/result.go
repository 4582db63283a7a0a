package hemlockbench

import (
	"fmt"
	"io"
	"math"
	"sync"
)

// Result holds the results of one run.
type Result struct {
	Deployment string `json:"house"`
	Scenario   string `json:"scenario"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	// Classes holds the goodput of each class.
	Classes []ClassGoodput `json:"classes"`
	// All is the fraction of the ideal goodput that all classes reached together, weighted by the slot time that a request
	// of the class takes during the trigger.
	All float64 `json:"all"`
	// Wasted is the fraction of the targets' work from the start of the trigger that was done for requests that failed
	// or had already ended.
	Wasted float64 `json:"wasted"`
	// Attempts is one plus the number of retries for each customer request: those of calls by nodes, and those by callers
	// that were passed on to a target.
	Attempts float64 `json:"attempts"`
	// CallerRetries is the part of Attempts that comes from retries by callers.
	CallerRetries float64 `json:"resent"`
	// Recovery is the recovery time in seconds, as meter.recoveryTime defines it; negative when the run ended before.
	Recovery float64 `json:"recovery"`
	// Inversions is the largest number, at one node, of requests admitted within a second after a request of a higher
	// priority was refused there because of load.
	Inversions int `json:"inversions"`
	// Crashes is the number of target crashes.
	Crashes int `json:"crashes"`
}

// ClassGoodput is the goodput of one class.
type ClassGoodput struct {
	Class string `json:"class"`
	// Fraction is the fraction Done / Ideal; negative when the slots could not complete a single request.
	Fraction float64 `json:"share"`
	// Done counts the requests that started to run during the trigger and completed.
	Done int `json:"done"`
	// Ideal is the number of requests that the slots could complete during the trigger.
	Ideal int `json:"ideal"`
	// Wasted is the fraction of all work that was done for requests of the class that failed or had already ended.
	Wasted float64 `json:"wasted"`
}

func (s *simulation) result() Result {
	r := Result{Deployment: s.deployment.Name, Scenario: s.scenario.Name, Variant: s.variant.Name, Crashes: s.meter.crashes}
	done, ideal := 0.0, 0.0
	for i, total := range idealGoodput(s.deployment, s.scenario) {
		c := s.deployment.Classes[i]
		weight := 0.0
		for _, use := range s.deployment.slotUse(c, s.scenario.SlowFactor) {
			weight += use
		}
		share := -1.0
		if total >= 1 {
			share = float64(s.meter.completed[i]) / total
		}
		done, ideal = done+weight*float64(s.meter.completed[i]), ideal+weight*total
		wasted := float64(s.meter.wasted[i]) / float64(max(1, s.meter.work))
		r.Wasted += wasted
		r.Classes = append(r.Classes, ClassGoodput{Class: c.Name, Fraction: share, Done: s.meter.completed[i],
			Ideal: int(math.Round(total)), Wasted: wasted})
	}
	r.All = done / ideal
	r.Attempts = 1 + float64(s.meter.retries+s.meter.callerRetries)/float64(max(1, s.meter.requests))
	r.CallerRetries = float64(s.meter.callerRetries) / float64(max(1, s.meter.requests))
	r.Recovery = s.meter.recoveryTime().Seconds()
	if r.Recovery < 0 {
		r.Recovery = -1
	}
	for _, n := range s.nodes {
		r.Inversions = max(r.Inversions, n.inversions.count)
	}
	return r
}

// Case is the input of one run.
type Case struct {
	Deployment Deployment
	Scenario   Scenario
	Variant    Variant
	Seed       uint64
}

// RunAll runs the cases concurrently on the given number of workers. The results are in the order of the cases and do
// not depend on the number of workers.
func RunAll(cases []Case, workers int) []Result {
	results := make([]Result, len(cases))
	next := make(chan int)
	var group sync.WaitGroup
	for range max(1, workers) {
		group.Go(func() {
			for i := range next {
				c := cases[i]
				results[i] = Run(c.Deployment, c.Scenario, c.Variant, c.Seed)
				results[i].Seed = c.Seed
			}
		})
	}
	for i := range cases {
		next <- i
	}
	close(next)
	group.Wait()
	return results
}

// Print writes the results as one table for each deployment and scenario.
func Print(w io.Writer, results []Result) error {
	last := ""
	for _, r := range results {
		if title := r.Deployment + " " + r.Scenario; title != last {
			last = title
			if err := printHeader(w, title, r); err != nil {
				return err
			}
		}
		line := fmt.Sprintf("%-10s", r.Variant)
		for _, c := range r.Classes {
			line += formatFraction(c.Fraction)
		}
		recovery := "   never"
		if r.Recovery >= 0 {
			recovery = fmt.Sprintf("%7.1fs", r.Recovery)
		}
		line += fmt.Sprintf("%s%8.1f%%%9.3f%s%7d%8d\n", formatFraction(r.All), 100*r.Wasted, r.Attempts, recovery, r.Inversions,
			r.Crashes)
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
	}
	return nil
}

func printHeader(w io.Writer, title string, r Result) error {
	line := fmt.Sprintf("\n%s, seed %d\n%-10s", title, r.Seed, "")
	for _, c := range r.Classes {
		line += fmt.Sprintf("%9s", c.Class)
	}
	line += fmt.Sprintf("%9s%9s%9s%8s%7s%8s\n", "all", "wasted", "attempts", "recover", "invert", "crashes")
	_, err := io.WriteString(w, line)
	return err
}

func formatFraction(value float64) string {
	if value < 0 {
		return fmt.Sprintf("%9s", "-")
	}
	return fmt.Sprintf("%8.1f%%", 100*value)
}

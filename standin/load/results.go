package main

import (
	"slices"
	"sync"
	"time"
)

// results is the JSON summary of a run.
type results struct {
	Classes []*classResult `json:"classes"`
	mutex   sync.Mutex
}

// classResult is the summary of one class.
type classResult struct {
	Name string `json:"name"`
	// Sent counts requests, Attempts their first attempts and retries.
	Sent     int            `json:"sent"`
	Attempts int            `json:"attempts"`
	Outcomes map[string]int `json:"ends"`
	// Reasons counts the reasons of refusals, and as "connection" the requests without a response.
	Reasons map[string]int `json:"reasons"`
	// P50 and P99 are percentiles of the latency of complete responses, in milliseconds.
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
	// OfferedPerSecond counts requests, CompletePerSecond complete responses, by the second in which the request was sent.
	OfferedPerSecond  []int `json:"offered"`
	CompletePerSecond []int `json:"whole"`
	// P99PerSecond is the 99th percentile of the latency of complete responses, in milliseconds, by the same second.
	P99PerSecond []float64 `json:"p99-by-second-ms"`
	// CompleteKeys are the idempotency keys of requests with a complete response; NotRunKeys those of requests whose only
	// attempt was refused before execution.
	CompleteKeys []string `json:"whole-keys,omitempty"`
	NotRunKeys   []string `json:"not-run-keys,omitempty"`

	latencies [][]time.Duration
}

func newResults(classes []class, duration time.Duration) *results {
	seconds := int((duration + time.Second - 1) / time.Second)
	collected := &results{}
	for _, c := range classes {
		collected.Classes = append(collected.Classes, &classResult{
			Name:              c.name,
			Outcomes:          map[string]int{},
			Reasons:           map[string]int{},
			OfferedPerSecond:  make([]int, seconds),
			CompletePerSecond: make([]int, seconds),
			P99PerSecond:      make([]float64, seconds),
			latencies:         make([][]time.Duration, seconds),
		})
	}
	return collected
}

func (r *results) add(index int, at, latency time.Duration, attempts int, final outcome, reason, key string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.Classes[index]
	second := min(int(at/time.Second), len(result.OfferedPerSecond)-1)
	result.Sent++
	result.Attempts += attempts
	result.Outcomes[outcomeNames[final]]++
	if reason != "" {
		result.Reasons[reason]++
	}
	result.OfferedPerSecond[second]++
	switch final {
	case outcomeComplete:
		result.CompletePerSecond[second]++
		result.latencies[second] = append(result.latencies[second], latency)
		if key != "" {
			result.CompleteKeys = append(result.CompleteKeys, key)
		}
	case outcomeNotRun:
		if key != "" && attempts == 1 {
			result.NotRunKeys = append(result.NotRunKeys, key)
		}
	}
}

func (r *results) summarise() {
	for _, c := range r.Classes {
		var all []time.Duration
		for second, latencies := range c.latencies {
			slices.Sort(latencies)
			c.P99PerSecond[second] = milliseconds(quantile(latencies, 0.99))
			all = append(all, latencies...)
		}
		slices.Sort(all)
		c.P50, c.P99 = milliseconds(quantile(all, 0.5)), milliseconds(quantile(all, 0.99))
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

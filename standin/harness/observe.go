package harness

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// State is the part of a node's state dump that the demo and the tests read.
type State struct {
	Configuration struct {
		Version uint64 `json:"version"`
	} `json:"configuration"`
	Target struct {
		State string `json:"state"`
	} `json:"target"`
	Admission struct {
		InFlight int `json:"in-flight"`
		Queued   int `json:"queued"`
		Limit    int `json:"limit"`
	} `json:"admission"`
	Members []Member `json:"members"`
}

// Member is one cluster member as a node sees it.
type Member struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	State   string `json:"state"`
}

// State returns the state of a host's node.
func (c *Cluster) State(h *Host) (State, error) {
	var state State
	err := c.Get("http://"+h.OperatorAddress()+"/state", &state)
	return state, err
}

// RunCounts returns how often the host's target has run each idempotency key.
func (c *Cluster) RunCounts(h *Host) (map[string]int, error) {
	runs := map[string]int{}
	err := c.Get("http://"+h.TargetAddress()+"/log/runs", &runs)
	return runs, err
}

// Counters returns the counters of a host's target.
func (c *Cluster) Counters(h *Host) (map[string]int64, error) {
	counters := map[string]int64{}
	err := c.Get("http://"+h.TargetAddress()+"/log/counters", &counters)
	return counters, err
}

// Eventually calls the condition until it returns nil, or returns its last error when the timeout has expired.
func Eventually(timeout time.Duration, condition func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "condition not met within %s", timeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// AwaitReady waits until the nodes of the given hosts see each other as ready and have at least the given configuration
// version.
func (c *Cluster) AwaitReady(timeout time.Duration, version uint64, hosts ...*Host) error {
	return Eventually(timeout, func() error {
		for _, h := range hosts {
			state, err := c.State(h)
			if err != nil {
				return err
			}
			if state.Configuration.Version < version {
				return errors.Errorf("node %d has configuration %d, not %d", h.Number, state.Configuration.Version, version)
			}
			if err := checkReady(state, hosts); err != nil {
				return errors.Wrapf(err, "node %d", h.Number)
			}
		}
		return nil
	})
}

func checkReady(state State, hosts []*Host) error {
	ready := map[string]bool{}
	for _, m := range state.Members {
		ready[m.Address] = m.State == "ready"
	}
	for _, h := range hosts {
		if !ready[h.PeerAddress()] {
			return errors.Errorf("does not see node %d as ready", h.Number)
		}
	}
	return nil
}

// LoadResults is the summary that the load client prints.
type LoadResults struct {
	Classes []ClassResult `json:"classes"`
}

// ClassResult is the summary of one class of requests.
type ClassResult struct {
	Name              string         `json:"name"`
	Sent              int            `json:"sent"`
	Attempts          int            `json:"attempts"`
	Outcomes          map[string]int `json:"ends"`
	Reasons           map[string]int `json:"reasons"`
	P50               float64        `json:"p50-ms"`
	P99               float64        `json:"p99-ms"`
	OfferedPerSecond  []int          `json:"offered"`
	CompletePerSecond []int          `json:"whole"`
	CompleteKeys      []string       `json:"whole-keys"`
	NotRunKeys        []string       `json:"not-run-keys"`
}

// WaitResults waits until a load client ends, for at most the timeout, and returns its summary.
func WaitResults(load *Process, timeout time.Duration) (LoadResults, error) {
	var results LoadResults
	if _, err := load.Wait(timeout); err != nil {
		return results, err
	}
	err := json.Unmarshal([]byte(load.Output()), &results)
	return results, errors.Wrapf(err, "results %.200q", load.Output())
}

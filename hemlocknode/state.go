package hemlocknode

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlocksuspect"
	"hemlockhollow/platform/hemlockplatform"
)

const gaugeInterval = time.Second

// Reporter collects the state of all parts of the node for the state dump and the gauges.
type Reporter struct {
	settings      Settings
	started       time.Time
	configuration *hemlockconfiguration.Holder
	gossip        *hemlockmember.Gossip
	health        *TargetHealth
	server        *Server
	inFlight      *hemlockinflight.Table
	suspects      *hemlocksuspect.Table
	claims        *platformClaims
	platform      *hemlockplatform.Client
	metrics       *Metrics
	stopping      atomic.Bool
}

// State is the state dump of a node.
type State struct {
	Address       string                    `json:"address"`
	Zone          string                    `json:"zone"`
	Region        string                    `json:"region"`
	Uptime        string                    `json:"uptime"`
	Stopping      bool                      `json:"stopping"`
	Configuration ConfigurationState        `json:"configuration"`
	Target        TargetState               `json:"target"`
	Admission     hemlockadmission.Snapshot `json:"admission"`
	Running       []RunningState            `json:"running"`
	Contexts      hemlockinflight.Counts    `json:"contexts"`
	Suspects      SuspectState              `json:"suspects"`
	Claims        *hemlockclaim.BatchCounts `json:"claims,omitempty"`
	Platform      *hemlockplatform.Snapshot `json:"platform,omitempty"`
	Gossip        hemlockmember.Counts      `json:"gossip"`
	Members       []MemberState             `json:"members"`
}

// ConfigurationState is the active configuration.
type ConfigurationState struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Services int    `json:"services"`
}

// RunningState is one request that is running at the local target.
type RunningState struct {
	Trace     string `json:"trace"`
	Customer  string `json:"customer"`
	Priority  string `json:"priority"`
	Depth     uint8  `json:"depth"`
	Age       string `json:"age"`
	Remaining string `json:"remaining"`
	Retries   int    `json:"retries"`
}

// SuspectState contains the numbers of crash records that are kept and that were dropped.
type SuspectState struct {
	Records int    `json:"records"`
	Dropped uint64 `json:"dropped"`
}

// MemberState is one node in the membership view.
type MemberState struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
}

// State returns the state of all parts of the node. The parts are read one after the other, so their counts may differ by
// a few requests.
func (r *Reporter) State() State {
	now := time.Now()
	current := r.configuration.Current()
	inFlight, contexts := r.inFlight.Snapshot()
	records, dropped := r.suspects.Counts()
	state := State{
		Address:       r.settings.PeersAddress,
		Zone:          r.settings.Zone,
		Region:        r.settings.Region,
		Uptime:        now.Sub(r.started).Round(time.Millisecond).String(),
		Stopping:      r.stopping.Load(),
		Configuration: ConfigurationState{current.Version, current.Digest, len(current.Services)},
		Target:        r.health.State(),
		Admission:     r.server.admission.Snapshot(now),
		Running:       runningStates(now, inFlight),
		Contexts:      contexts,
		Suspects:      SuspectState{records, dropped},
		Gossip:        r.gossip.Counts(),
		Members:       memberStates(r.gossip.View().Members()),
	}
	if r.claims.batcher != nil {
		counts := r.claims.batcher.Counts()
		state.Claims = &counts
	}
	if r.platform != nil {
		snapshot := r.platform.Snapshot()
		state.Platform = &snapshot
	}
	return state
}

func runningStates(now time.Time, inFlight []*hemlockinflight.Request) []RunningState {
	states := make([]RunningState, 0, len(inFlight))
	for _, r := range inFlight {
		states = append(states, RunningState{
			Trace:     r.Context.Trace.String(),
			Customer:  r.Context.Customer,
			Priority:  r.Context.Priority.String(),
			Depth:     r.Context.Depth,
			Age:       now.Sub(r.Started).Round(time.Millisecond).String(),
			Remaining: r.Deadline.Sub(now).Round(time.Millisecond).String(),
			Retries:   r.RetryBudget().Remaining(),
		})
	}
	return states
}

func memberStates(members []hemlockmember.Member) []MemberState {
	states := make([]MemberState, 0, len(members))
	for _, m := range members {
		states = append(states, MemberState{m.Address, m.Zone, m.Service, m.State.String(), m.Incarnation, m.Slots})
	}
	return states
}

// ready reports whether the node accepts calls: it has a configuration and is not stopping.
func (r *Reporter) ready() bool {
	return r.configuration.Current().Version > 0 && !r.stopping.Load()
}

// run updates the gauges until the context ends.
func (r *Reporter) run(ctx context.Context) {
	for hemlockcall.Sleep(ctx, gaugeInterval) {
		snapshot := r.server.admission.Snapshot(time.Now())
		r.metrics.SetGauge("configuration_version", float64(r.configuration.Current().Version))
		r.metrics.SetGauge("admission_limit", float64(snapshot.Limit))
		r.metrics.SetGauge("admission_in_flight", float64(snapshot.InFlight))
		r.metrics.SetGauge("admission_queued", float64(snapshot.Queued))
		r.metrics.SetGauge("admission_level", float64(snapshot.MinPriority))
		r.metrics.SetGauge("members_alive", float64(aliveMembers(r.gossip.View())))
		records, _ := r.suspects.Counts()
		r.metrics.SetGauge("suspect_records", float64(records))
		gossip := r.gossip.Counts()
		r.metrics.SetGauge("gossip_bytes", float64(gossip.Bytes))
		if r.platform != nil {
			r.metrics.SetGauge("platform_breaker_open", boolGauge(r.platform.Snapshot().Breaker != "closed"))
		}
	}
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

func aliveMembers(view *hemlockmember.View) int {
	alive := 0
	for _, m := range view.Members() {
		if m.State != hemlockmember.Dead {
			alive++
		}
	}
	return alive
}

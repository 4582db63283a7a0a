package hemlocknode

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"hemlockhollow/hemlockcall"
)

const metricsReportInterval = time.Second

// outcome is how a call ended, as counted in the metrics.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeNotRun
	outcomeUnknown
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "not-run", "unknown"}

// stage is where in a node a call is counted.
type stage uint8

const (
	stageEntry stage = iota
	stageOutgoing
	stageServed
	stages
)

var stageNames = [stages]string{"entry", "outgoing", "served"}

// Metrics holds the counters of one node. Counters are created at start, so that counting takes no lock and no map.
type Metrics struct {
	scope    tally.Scope
	handler  http.Handler
	closer   io.Closer
	calls    [stages][hemlockcall.PriorityCount][outcomes]tally.Counter
	latency  [stages]tally.Histogram
	attempts tally.Counter
	reroutes tally.Counter
	orphans  tally.Counter
	early    tally.Counter
	repeats  tally.Counter
	suspects tally.Counter
}

// NewMetrics returns the metrics with their scrape handler.
func NewMetrics() (*Metrics, func()) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "hemlock",
		CachedReporter:  reporter,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}, metricsReportInterval)
	metrics := &Metrics{
		scope:    scope,
		handler:  reporter.HTTPHandler(),
		closer:   closer,
		attempts: scope.Counter("retry_attempts"),
		reroutes: scope.Counter("reroutes"),
		orphans:  scope.Counter("calls_without_context"),
		early:    scope.Counter("early_sheds"),
		repeats:  scope.Counter("repeats_refused"),
		suspects: scope.Counter("suspects_refused"),
	}
	metrics.createCallCounters()
	return metrics, func() { _ = closer.Close() }
}

func (m *Metrics) createCallCounters() {
	buckets := tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)
	for s := range stages {
		m.latency[s] = m.scope.Tagged(map[string]string{"stage": stageNames[s]}).Histogram("call_latency", buckets)
		for p := range m.calls[s] {
			for o := range outcomes {
				m.calls[s][p][o] = m.scope.Tagged(map[string]string{
					"stage":    stageNames[s],
					"priority": hemlockcall.Priority(p).String(),
					"outcome":  outcomeNames[o],
				}).Counter("calls")
			}
		}
	}
}

// countCall records the end of a call at a stage.
func (m *Metrics) countCall(s stage, priority hemlockcall.Priority, err error, latency time.Duration) {
	ended := outcomeAnswered
	if err != nil {
		ended = outcomeUnknown
		if hemlockcall.AsRefusal(err).Verdict == hemlockcall.VerdictNotRun {
			ended = outcomeNotRun
		}
	}
	m.calls[s][min(int(priority), hemlockcall.PriorityCount-1)][ended].Inc(1)
	m.latency[s].RecordDuration(latency)
}

// SetGauge sets a gauge; it is called once a second, so the look-up by name does not matter.
func (m *Metrics) SetGauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// Handler returns the scrape handler.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

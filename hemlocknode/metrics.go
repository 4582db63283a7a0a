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
	outcomeResponse outcome = iota
	outcomeNotRun
	outcomeUnknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "not-run", "unknown"}

// stage is the point in a node at which a call is counted.
type stage uint8

const (
	stageEntry stage = iota
	stageOutgoing
	stageServed
	stageCount
)

var stageNames = [stageCount]string{"entry", "outgoing", "served"}

// Metrics contains the metrics of one node. Counters and histograms are created at start, so that counting needs no lock and
// no map look-up.
type Metrics struct {
	scope                tally.Scope
	handler              http.Handler
	closer               io.Closer
	calls                [stageCount][hemlockcall.PriorityCount][outcomeCount]tally.Counter
	latency              [stageCount]tally.Histogram
	retryAttempts        tally.Counter
	reroutes             tally.Counter
	callsWithoutContext  tally.Counter
	earlySheds           tally.Counter
	callerRetriesRefused tally.Counter
	suspectsRefused      tally.Counter
}

// NewMetrics returns the metrics and the function that closes them.
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
		scope:                scope,
		handler:              reporter.HTTPHandler(),
		closer:               closer,
		retryAttempts:        scope.Counter("retry_attempts"),
		reroutes:             scope.Counter("reroutes"),
		callsWithoutContext:  scope.Counter("calls_without_context"),
		earlySheds:           scope.Counter("early_sheds"),
		callerRetriesRefused: scope.Counter("repeats_refused"),
		suspectsRefused:      scope.Counter("suspects_refused"),
	}
	metrics.createCallCounters()
	return metrics, func() { _ = closer.Close() }
}

func (m *Metrics) createCallCounters() {
	buckets := tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)
	for s := range stageCount {
		m.latency[s] = m.scope.Tagged(map[string]string{"stage": stageNames[s]}).Histogram("call_latency", buckets)
		for p := range m.calls[s] {
			for o := range outcomeCount {
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
	result := outcomeResponse
	if err != nil {
		result = outcomeUnknown
		if hemlockcall.AsRefusal(err).Verdict == hemlockcall.VerdictNotRun {
			result = outcomeNotRun
		}
	}
	m.calls[s][min(int(priority), hemlockcall.PriorityCount-1)][result].Inc(1)
	m.latency[s].RecordDuration(latency)
}

// SetGauge sets a gauge. It is called once a second, so the cost of the look-up by name does not matter.
func (m *Metrics) SetGauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// Handler returns the scrape handler.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

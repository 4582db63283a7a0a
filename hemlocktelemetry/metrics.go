// Package hemlocktelemetry counts, measures and logs calls by their outcome.
package hemlocktelemetry

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockrelay"
)

// reportInterval is how often the values of the metrics endpoint are updated. It is shorter than the scrape interval of
// 5 s, so that each scrape gets new values.
const reportInterval = 2 * time.Second

// Metrics contains the counters, gauges and histograms of one node. It is safe for concurrent use.
type Metrics struct {
	scope       tally.Scope
	handler     http.Handler
	closer      io.Closer
	latency     [2][hemlockcall.PriorityCount]tally.Histogram // duration of calls, by side and priority
	serviceTime [hemlockcall.PriorityCount]tally.Histogram    // time that the target took, by priority

	mutex     sync.Mutex
	counters  map[outcomeKey]tally.Counter
	routeAges map[routeAgeKey]tally.Counter
	gauges    map[gaugeKey]tally.Gauge
}

// outcomeKey contains the labels of a counter. Each label has a small set of values, so the number of counters is
// limited.
type outcomeKey struct {
	side     hemlockrelay.Side
	priority hemlockcall.Priority
	verdict  string
	reason   string
}

// routeAgeKey contains the labels of a counter of calls by the age of their route.
type routeAgeKey struct {
	added  bool
	result string
}

// gaugeKey is the name of a gauge and its only label; label is empty for a gauge without one.
type gaugeKey struct {
	name, label, labelValue string
}

// NewMetrics returns metrics without values, apart from those of the Go runtime.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hemlock", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}, reportInterval)
	m := &Metrics{scope: scope, handler: reporter.HTTPHandler(), closer: closer, counters: map[outcomeKey]tally.Counter{},
		routeAges: map[routeAgeKey]tally.Counter{},
		gauges:    map[gaugeKey]tally.Gauge{}}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	for p := range hemlockcall.PriorityCount {
		tags := map[string]string{"priority": hemlockcall.Priority(p).String()}
		m.serviceTime[p] = scope.Tagged(tags).Histogram("target_latency", buckets)
		for _, side := range []hemlockrelay.Side{hemlockrelay.SideEntry, hemlockrelay.SideGate} {
			tags := map[string]string{"priority": hemlockcall.Priority(p).String(), "side": side.String()}
			m.latency[side][p] = scope.Tagged(tags).Histogram("call_latency", buckets)
		}
	}
	return m
}

// Handler returns the handler of the metrics endpoint, in the Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Scope returns the scope in which other packages create further metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close stops the updates of the metrics endpoint.
func (m *Metrics) Close() error { return m.closer.Close() }

// SetGauge sets the gauge with the given name, and creates it at first use.
func (m *Metrics) SetGauge(name string, value float64) {
	m.gauge(gaugeKey{name: name}).Update(value)
}

// SetTaggedGauge sets the gauge with the given name and one label, and creates it at first use. The label must have a small set
// of values.
func (m *Metrics) SetTaggedGauge(name, label, labelValue string, value float64) {
	m.gauge(gaugeKey{name: name, label: label, labelValue: labelValue}).Update(value)
}

func (m *Metrics) gauge(key gaugeKey) tally.Gauge {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	gauge := m.gauges[key]
	if gauge == nil {
		scope := m.scope
		if key.label != "" {
			scope = scope.Tagged(map[string]string{key.label: key.labelValue})
		}
		gauge = scope.Gauge(key.name)
		m.gauges[key] = gauge
	}
	return gauge
}

// countByRouteAge counts a call of the entry by whether its route was added after the first configuration of this process.
func (m *Metrics) countByRouteAge(side hemlockrelay.Side, call *hemlockcall.RelayRequest, result string) {
	if side != hemlockrelay.SideEntry {
		return
	}
	key := routeAgeKey{added: call.ClassAddedIn != 0, result: result}
	m.mutex.Lock()
	counter := m.routeAges[key]
	if counter == nil {
		counter = m.scope.Tagged(map[string]string{"added": strconv.FormatBool(key.added), "result": result}).Counter("entry_calls_by_route_age")
		m.routeAges[key] = counter
	}
	m.mutex.Unlock()
	counter.Inc(1)
}

func (m *Metrics) count(key outcomeKey) {
	m.mutex.Lock()
	counter := m.counters[key]
	if counter == nil {
		counter = m.scope.Tagged(map[string]string{
			"side": key.side.String(), "priority": key.priority.String(), "verdict": key.verdict, "reason": key.reason,
		}).Counter("calls")
		m.counters[key] = counter
	}
	m.mutex.Unlock()
	counter.Inc(1)
}

package hemlockmember

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// totals returns the bytes and messages that all nodes have sent.
func (w *network) totals() (bytes, messages uint64) {
	for _, n := range w.nodes {
		c := n.Counts()
		bytes, messages = bytes+c.Bytes, messages+c.Messages
	}
	return bytes, messages
}

// convergedNetwork returns a network of count nodes in five zones, whose views are complete from the start.
func convergedNetwork(count int) *network {
	w := newNetwork(uint64(count))
	zones := []string{"a1", "a2", "a3", "b1", "b2"}
	for i := range count {
		w.addNodes(zones[i%len(zones)], 1)
	}
	members := make([]Member, count)
	for i, n := range w.nodes {
		members[i] = n.Self()
	}
	for _, n := range w.nodes {
		n.view.Merge(w.now, slices.Clone(members))
		n.started = w.now.Add(-time.Hour)
	}
	w.run(10*time.Second, nil)
	return w
}

var sizes = []int{25, 100, 400, 1500}

// measure reports the bytes, messages and CPU time of one node per second of virtual time.
func measure(b *testing.B, w *network, d time.Duration, each func()) {
	b.Helper()
	before, messages := w.totals()
	began := time.Now()
	w.run(d, each)
	spent := time.Since(began)
	after, later := w.totals()
	nodeSeconds := float64(len(w.nodes)) * d.Seconds()
	b.ReportMetric(float64(after-before)/nodeSeconds, "B/s/node")
	b.ReportMetric(float64(later-messages)/nodeSeconds, "msg/s/node")
	b.ReportMetric(float64(spent.Microseconds())/nodeSeconds, "µs/s/node")
}

func BenchmarkIdle(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := convergedNetwork(n)
			for b.Loop() {
				measure(b, w, 30*time.Second, nil)
			}
		})
	}
}

// BenchmarkChurn measures the cost of restarts. It restarts one node every 10 s, 16 times the 520 restarts per day that are
// expected at the largest size, so that a short run shows their cost: the node announces that it is leaving, stops after 3 s
// and returns with a new incarnation after 6 s.
func BenchmarkChurn(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := convergedNetwork(n)
			for b.Loop() {
				began := w.now
				measure(b, w, 60*time.Second, func() {
					at := w.now.Sub(began)
					victim := w.nodes[1+int(at/(10*time.Second))]
					switch at % (10 * time.Second) {
					case time.Second:
						w.enqueue(victim.Announce(w.now, Leaving, 100))
					case 4 * time.Second:
						victim.stopped = true
					case 7 * time.Second:
						self := victim.Self()
						self.Incarnation, self.State = 0, Ready
						victim.Gossip = NewGossip(w.now, self, []string{w.nodes[0].Self().Address}, w.random.IntN)
						victim.stopped = false
					}
				})
			}
		})
	}
}

// BenchmarkZoneLoss stops a fifth of the nodes. It reports the time until all other nodes have declared them dead, and the
// highest byte rate of a node until then.
func BenchmarkZoneLoss(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				w := convergedNetwork(n)
				for _, m := range w.nodes {
					m.stopped = m.zone == "a2"
				}
				known := func() bool {
					for _, m := range w.nodes {
						if m.stopped && !w.agree(m.Self().Address, Dead, nil) {
							return false
						}
					}
					return true
				}
				before := map[*node]uint64{}
				for _, m := range w.nodes {
					before[m] = m.Counts().Bytes
				}
				took, worst := time.Duration(0), 0.0
				for ; !known() && took < 2*time.Minute; took += time.Second {
					w.run(time.Second, nil)
				}
				for _, m := range w.nodes {
					worst = max(worst, float64(m.Counts().Bytes-before[m])/took.Seconds())
				}
				b.ReportMetric(took.Seconds(), "s-until-known")
				b.ReportMetric(worst, "worst-B/s")
			}
		})
	}
}

func BenchmarkViewMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newNetwork(1)
			var views []*View
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				v := NewView(0)
				for i := range n {
					zone := string([]byte{'a' + byte(i%2), '1' + byte(i%3)})
					v.Merge(w.now, []Member{{Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250), Zone: zone, Region: zone[:1],
						Service: fmt.Sprint("service-", i%52), Incarnation: 1, State: Ready, Slots: 100}})
				}
				v.Rank("duty", "")
				runtime.GC()
				runtime.ReadMemStats(&after)
				views = append(views, v)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/view")
			}
			runtime.KeepAlive(views)
		})
	}
}

func BenchmarkFirstRanked(b *testing.B) {
	for _, n := range sizes {
		w := newNetwork(1)
		v := NewView(0)
		for i := range n {
			v.Merge(w.now, []Member{{Address: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%5), Region: "a", Incarnation: 1, State: Ready}})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				v.FirstRanked("claims/key", "z1", 2)
			}
		})
	}
}

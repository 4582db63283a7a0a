package hemlockmember

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// totals returns the bytes and messages that all nodes have sent.
func (net *network) totals() (bytes, messages uint64) {
	for _, n := range net.nodes {
		c := n.Counts()
		bytes, messages = bytes+c.Bytes, messages+c.Messages
	}
	return bytes, messages
}

// prefilledNetwork returns a network of count nodes in five zones, whose views contain all members from the start.
func prefilledNetwork(count int) *network {
	net := newNetwork(uint64(count))
	zones := []string{"a1", "a2", "a3", "b1", "b2"}
	for i := range count {
		net.addNodes(zones[i%len(zones)], 1)
	}
	members := make([]Member, count)
	for i, n := range net.nodes {
		members[i] = n.Self()
	}
	for _, n := range net.nodes {
		n.view.Merge(net.now, slices.Clone(members))
		n.started = net.now.Add(-time.Hour)
	}
	net.run(10*time.Second, nil)
	return net
}

var sizes = []int{25, 100, 400, 1500}

// measure reports the bytes, messages and processing time of one node per second of virtual time.
func measure(b *testing.B, net *network, d time.Duration, each func()) {
	b.Helper()
	bytesBefore, messagesBefore := net.totals()
	began := time.Now()
	net.run(d, each)
	elapsed := time.Since(began)
	bytesAfter, messagesAfter := net.totals()
	nodeSeconds := float64(len(net.nodes)) * d.Seconds()
	b.ReportMetric(float64(bytesAfter-bytesBefore)/nodeSeconds, "B/s/node")
	b.ReportMetric(float64(messagesAfter-messagesBefore)/nodeSeconds, "msg/s/node")
	b.ReportMetric(float64(elapsed.Microseconds())/nodeSeconds, "µs/s/node")
}

func BenchmarkIdle(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			net := prefilledNetwork(n)
			for b.Loop() {
				measure(b, net, 30*time.Second, nil)
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
			net := prefilledNetwork(n)
			for b.Loop() {
				began := net.now
				measure(b, net, 60*time.Second, func() {
					at := net.now.Sub(began)
					restarted := net.nodes[1+int(at/(10*time.Second))]
					switch at % (10 * time.Second) {
					case time.Second:
						net.enqueue(restarted.Announce(net.now, Leaving, 100))
					case 4 * time.Second:
						restarted.stopped = true
					case 7 * time.Second:
						self := restarted.Self()
						self.Incarnation, self.State = 0, Ready
						restarted.Gossip = NewGossip(net.now, self, []string{net.nodes[0].Self().Address}, net.random.IntN)
						restarted.stopped = false
					}
				})
			}
		})
	}
}

// BenchmarkZoneLoss stops the nodes of one zone, a fifth of all. It reports the time until they are dead in the views of all
// other nodes, and the highest of the nodes' average byte rates until then.
func BenchmarkZoneLoss(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				net := prefilledNetwork(n)
				for _, m := range net.nodes {
					m.stopped = m.zone == "a2"
				}
				known := func() bool {
					for _, m := range net.nodes {
						if m.stopped && !net.agree(m.Self().Address, Dead, nil) {
							return false
						}
					}
					return true
				}
				before := map[*node]uint64{}
				for _, m := range net.nodes {
					before[m] = m.Counts().Bytes
				}
				took, highestRate := time.Duration(0), 0.0
				for ; !known() && took < 2*time.Minute; took += time.Second {
					net.run(time.Second, nil)
				}
				for _, m := range net.nodes {
					highestRate = max(highestRate, float64(m.Counts().Bytes-before[m])/took.Seconds())
				}
				b.ReportMetric(took.Seconds(), "s-until-known")
				b.ReportMetric(highestRate, "worst-B/s")
			}
		})
	}
}

func BenchmarkViewMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			net := newNetwork(1)
			var views []*View
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				v := NewView(0)
				for i := range n {
					zone := string([]byte{'a' + byte(i%2), '1' + byte(i%3)})
					v.Merge(net.now, []Member{{Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250), Zone: zone, Region: zone[:1],
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
		net := newNetwork(1)
		v := NewView(0)
		for i := range n {
			v.Merge(net.now, []Member{{Address: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%5), Region: "a", Incarnation: 1, State: Ready}})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				v.FirstRanked("claims/key", "z1", 2)
			}
		})
	}
}

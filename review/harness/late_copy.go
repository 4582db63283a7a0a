package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// caseLateCopy: upstreams refuse a part of the requests before execution, and one of them sends a second copy of some of its answers
// late. Rules TWICE and REFUSED.
func caseLateCopy(f *fleet, trouble bool) (verdict, error) {
	zones := []string{"dar-kariakoo", "dar-msasani", "dar-ubungo"}
	f.publish(7, route{Name: "r-orders", Host: "orders.example", Prefix: "/book/", Kind: "unsafe", TimeoutS: 5, TargetLatency: 1.2,
		Priority: 0, MaxAttempts: 1, Service: "orders"})
	var nodes []*node
	for i, zone := range zones {
		nodes = append(nodes, f.add(11+i, zone, "orders"))
	}
	var active atomic.Bool
	var upstreams []*upstream
	for i, n := range nodes {
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		u := newUpstream(f.rec, "i-orders-"+n.zone, "orders", n.zone, n.app(), n.control())
		u.shed = func() bool { return active.Load() && rand.Float64() < 0.15 }
		if i == 0 {
			u.repeatLate = func() bool { return active.Load() && rand.Float64() < 0.03 }
		}
		if err := u.listen(); err != nil {
			return verdict{}, err
		}
		go u.beatRegularly()
		upstreams = append(upstreams, u)
	}
	if err := awaitReady(15*time.Second, nodes...); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)

	var mutex sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	stop := make(chan struct{})
	// 10 clients a machine, each with one kept connection and one order at a time.
	for _, n := range nodes {
		for range 10 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for c := (*client)(nil); ; {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(40+rand.IntN(60)) * time.Millisecond):
					}
					if c == nil || c.closed {
						var err error
						if c, err = dial(f.rec, n.outbound()); err != nil {
							c = nil
							continue
						}
					}
					a := c.do(request{id: newID(), method: http.MethodPost, host: "orders.example", path: "/book/30/400",
						limit: 5 * time.Second, body: []byte("one pattern, two bolts of silk")})
					mutex.Lock()
					answers = append(answers, a)
					mutex.Unlock()
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)
	for range 6 {
		active.Store(trouble)
		f.rec.log("trouble active: %t", trouble)
		time.Sleep(5 * time.Second)
		active.Store(false)
		f.rec.log("trouble ends")
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wait.Wait()
	time.Sleep(time.Second)

	var v verdict
	runs := map[string]int{}
	for _, u := range upstreams {
		for _, r := range u.allRuns() {
			runs[r.id]++
		}
	}
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		if runs[a.id] > 1 {
			v.breach("TWICE: the unsafe request %s ran %d times; its client got %d", a.id, runs[a.id], a.status)
		}
		if promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421; promise && runs[a.id] > 0 {
			v.breach("REFUSED: the unsafe request %s was answered %d and ran %d times", a.id, a.status, runs[a.id])
		}
	}
	f.rec.log("verdict %d requests, %d served", len(answers), served)
	return v, nil
}

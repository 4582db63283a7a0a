package main

import (
	"sync"
	"time"
)

// caseSilentConnections: the open connections of all machines to the store go silent, while new ones work. Rule CONFIG.
func caseSilentConnections(f *fleet, trouble bool) (verdict, error) {
	const applyTime, contactTime = 2 * time.Second, 3 * time.Second
	f.publish(7, safeRoute("status", "orders"), safeRoute("browse", "catalogue"))
	machines, err := f.deploy("orders", "orders", "orders", "catalogue", "catalogue", "catalogue", "catalogue", "catalogue", "catalogue")
	if err != nil {
		return verdict{}, err
	}
	var mutex sync.Mutex
	sentAt := map[string]time.Duration{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range machines {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c, err := dial(f.rec, m.outbound())
				if err != nil {
					continue
				}
				a := c.do(get("/status/10/400"))
				c.close()
				mutex.Lock()
				sentAt[a.id] = a.sentAt
				mutex.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	// A change of the configuration, which is followed by another one soon.
	f.publish(8, safeRoute("status", "orders"), safeRoute("browse", "catalogue"), safeRoute("extra", "catalogue"))
	time.Sleep(200 * time.Millisecond)
	silentAt := f.rec.now()
	if trouble {
		f.store.silence()
		f.rec.log("store   all open connections are silent from now on")
	}
	time.Sleep(300 * time.Millisecond)
	f.publish(9, safeRoute("status", "catalogue"), safeRoute("browse", "catalogue"), safeRoute("extra", "catalogue"))
	confirmed := f.rec.now()
	time.Sleep(8 * time.Second)
	close(stop)
	wait.Wait()

	from := confirmed + applyTime
	if trouble {
		from = max(from, silentAt+contactTime)
	}
	var v verdict
	late := time.Duration(0)
	count := 0
	for _, m := range machines[:3] {
		for _, r := range m.upstream.allRuns() {
			if at, ok := sentAt[r.id]; ok && at > from {
				count++
				late = max(late, at-confirmed)
			}
		}
	}
	if count > 0 {
		v.breach("CONFIG: %d requests, sent up to %.3f s after the confirmation of version 9 and by machines in touch, ran at the service of "+
			"version 8", count, late.Seconds())
	}
	return v, nil
}

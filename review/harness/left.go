package main

import (
	"net/http"
	"sync"
	"time"
)

// caseLeftDuringStop: an upstream deregisters while the node beside it is being restarted. Rule DRAIN.
func caseLeftDuringStop(f *fleet, trouble bool) (verdict, error) {
	const drainTime, contactTime = 2 * time.Second, 3 * time.Second
	f.publish(7, safeRoute("status", "orders"), safeRoute("browse", "catalogue"))
	machines, err := f.deploy("orders", "orders", "catalogue")
	if err != nil {
		return verdict{}, err
	}
	leaver, sender := machines[0], machines[2]
	leaver.mutex.Lock()
	leaver.bootstrap = false
	leaver.mutex.Unlock()

	stop := make(chan struct{})
	var wait sync.WaitGroup
	// Four clients on a machine that is never disturbed.
	for range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for c := (*client)(nil); ; {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if c == nil || c.closed {
					var err error
					if c, err = dial(f.rec, sender.outbound()); err != nil {
						c = nil
						continue
					}
				}
				c.do(get("/status/20/400"))
			}
		}()
	}
	time.Sleep(3 * time.Second)

	stopped := make(chan struct{})
	if trouble {
		// A long request is at work at the machine when it stops.
		go func() {
			time.Sleep(1500 * time.Millisecond)
			if c, err := dial(f.rec, leaver.outbound()); err == nil {
				c.do(get("/browse/2500/1500"))
				c.close()
			}
		}()
		go func() {
			leaver.stop()
			time.Sleep(300 * time.Millisecond)
			_ = leaver.start()
			close(stopped)
		}()
	} else {
		close(stopped)
	}
	time.Sleep(2400 * time.Millisecond)
	u := leaver.upstream
	close(u.stopBeats)
	late := u.nextBeat()
	f.rec.log("beat    a check-in is made: %s; it is delayed", late)
	delayed := time.Now()
	time.Sleep(400 * time.Millisecond)
	u.leaving.Store(true)
	if err := u.deregister(); err != nil {
		return verdict{}, err
	}
	confirmed := f.rec.now()
	f.rec.log("server  %s has left: its DELETE is confirmed; it serves on for a while", u.id)
	<-stopped
	if err := awaitReady(10*time.Second, leaver.node); err != nil {
		return verdict{}, err
	}
	restarted := time.Now()
	// The delayed check-in arrives once the machine is in touch again.
	time.Sleep(time.Until(delayed.Add(4500 * time.Millisecond)))
	time.Sleep(time.Until(restarted.Add(contactTime + 200*time.Millisecond)))
	f.rec.log("beat    the delayed check-in arrives, %.1f s late", time.Since(delayed).Seconds())
	_ = u.announce(http.MethodPut, u.id, late)
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()

	var v verdict
	for _, r := range u.allRuns() {
		if r.startedAt > confirmed+drainTime {
			v.breach("DRAIN: request %s ran at %s %.3f s after its DELETE was confirmed", r.id, u.id, (r.startedAt - confirmed).Seconds())
		}
	}
	return v, nil
}

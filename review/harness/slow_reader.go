package main

import (
	"bufio"
	"net/http"
	"sync"
	"time"
)

// caseSlowReader: a machine is stopped as planned while one of its clients reads an answer slowly. Rule LOST.
func caseSlowReader(f *fleet, trouble bool) (verdict, error) {
	f.publish(7, safeRoute("browse", "catalogue"), safeRoute("sheet", "catalogue"))
	machines, err := f.deploy("orders", "catalogue", "catalogue")
	if err != nil {
		return verdict{}, err
	}
	stopping := machines[0]
	// A client has 40 kept connections and uses one after the other.
	var kept []*client
	for range 40 {
		c, err := dial(f.rec, stopping.outbound())
		if err != nil {
			return verdict{}, err
		}
		if a := c.do(get("/browse/10/400")); a.status != http.StatusOK {
			return verdict{}, a.err
		}
		kept = append(kept, c)
	}
	// Another client downloads a sheet of 8 MB. With trouble it reads 16 KB at a time, ten times a second.
	slow, err := dialSmall(f.rec, stopping.outbound())
	if err != nil {
		return verdict{}, err
	}
	sheet := get("/sheet/50/8000000")
	if trouble {
		if err := slow.send(sheet); err != nil {
			return verdict{}, err
		}
		_ = slow.conn.SetDeadline(time.Time{})
		go func() {
			reader := bufio.NewReaderSize(slow.conn, 16<<10)
			part := make([]byte, 16<<10)
			for {
				if _, err := reader.Read(part); err != nil {
					f.rec.log("client  the slow download %s ends: %v", sheet.id, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	} else if a := slow.do(sheet); a.status != http.StatusOK {
		return verdict{}, a.err
	}
	time.Sleep(time.Second)
	termAt := f.rec.now()
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		stopping.stop()
	}()
	// From 3.2 s after SIGTERM on, the client sends requests on connections that it has kept.
	time.Sleep(3200 * time.Millisecond)
	var mutex sync.Mutex
	var answers []answer
	for _, c := range kept {
		if f.rec.now()-termAt > 5900*time.Millisecond {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := c.do(get("/browse/400/400"))
			mutex.Lock()
			answers = append(answers, a)
			mutex.Unlock()
		}()
		time.Sleep(80 * time.Millisecond)
	}
	wait.Wait()

	var v verdict
	ran := map[string]bool{}
	for _, m := range machines {
		for _, r := range m.upstream.allRuns() {
			ran[r.id] = true
		}
	}
	for _, a := range answers {
		if a.err != nil && ran[a.id] {
			v.breach("LOST: request %s was sent %.3f s after SIGTERM, was passed on to its upstream, and its connection ended without an answer",
				a.id, (a.sentAt - termAt).Seconds())
		}
	}
	return v, nil
}

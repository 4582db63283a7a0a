package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// caseForeignCheckIn: a check-in of another writer arrives, with a service that the configuration does not name. Rule UNASKED.
func caseForeignCheckIn(f *fleet, trouble bool) (verdict, error) {
	f.publish(7, safeRoute("status", "orders"), safeRoute("browse", "catalogue"))
	machines, err := f.deploy("orders", "orders", "catalogue")
	if err != nil {
		return verdict{}, err
	}
	entry := machines[0]
	if trouble {
		body, err := json.Marshal(map[string]any{"service": "zz-other", "address": entry.app(), "zone": entry.zone, "version": "v1",
			"slots": 4, "state": "ready", "cold_left_s": 0, "seq": 1, "born": time.Now().UnixMilli()})
		if err != nil {
			return verdict{}, err
		}
		_ = entry.upstream.announce(http.MethodPut, "i-0f0f0f0f", body)
	}
	begun := map[string]bool{}
	for range 60 {
		c, err := dial(f.rec, entry.outbound())
		if err != nil {
			return verdict{}, err
		}
		begun[c.do(get("/browse/20/400")).id] = true
		c.close()
		time.Sleep(100 * time.Millisecond)
	}
	var v verdict
	v.checkCallers(begun, entry.service, machines[2].upstream)
	return v, nil
}

// checkCallers checks that requests which began on a machine of a service ran with that service as their Caller-Service.
func (v *verdict) checkCallers(begun map[string]bool, service string, upstreams ...*upstream) {
	for _, u := range upstreams {
		for _, r := range u.allRuns() {
			if begun[r.id] && r.caller != service {
				v.breach("UNASKED: request %s, which began on a machine of %s, ran with Caller-Service %s", r.id, service, r.caller)
			}
		}
	}
}

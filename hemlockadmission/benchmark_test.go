package hemlockadmission

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

func BenchmarkOfferFinish(b *testing.B) {
	for _, load := range []struct {
		name          string
		queued        int
		offers        int // for each request that finishes; with 2 the queue of 200 stays full
		organisations int
	}{{"queued=0", 0, 1, 0}, {"queued=100", 100, 1, 0}, {"full", 200, 2, 0}, {"queued=0 with organisations", 0, 1, 80},
		{"queued=100 with organisations", 100, 1, 80}, {"full with organisations", 200, 2, 80}} {
		b.Run(load.name, func(b *testing.B) {
			var running []*Ticket[int]
			c := New(100, func(k *Ticket[int]) {
				if k.Admitted() {
					running = append(running, k)
				}
			}, WithQueueSize(200))
			now := start
			attributes := Attributes{Priority: hemlockcall.Important, Remaining: time.Hour, Class: "catalogue/status"}
			names, offered := make([]string, load.organisations), 0
			for i := range names {
				names[i] = fmt.Sprintf("organisation-%d", i)
			}
			offer := func() {
				if load.organisations > 0 {
					offered++
					attributes.Organisation = names[offered%load.organisations]
				}
				if k := c.Offer(now, attributes, 0); k.Admitted() {
					running = append(running, k)
				}
			}
			for len(running) < 50 || c.Snapshot(now).Queued < load.queued {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Microsecond)
				for range load.offers {
					offer()
				}
				k := running[0]
				running = append(running[:0], running[1:]...)
				c.Finish(now, k, Outcome{Result: Completed, ServiceTime: time.Millisecond})
			}
		})
	}
}

package hemlockadmission

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

func BenchmarkOfferFinish(b *testing.B) {
	for _, queued := range []int{0, 100} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			var running []*Ticket[int]
			c := New(100, func(k *Ticket[int]) {
				if k.Admitted() {
					running = append(running, k)
				}
			}, WithQueueSize(200))
			now := start
			attributes := Attributes{Priority: hemlockcall.Important, Remaining: time.Hour, Class: "catalogue/status"}
			offer := func() {
				if k := c.Offer(now, attributes, 0); k.Admitted() {
					running = append(running, k)
				}
			}
			for len(running) < 50 || c.Snapshot(now).Queued < queued {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Microsecond)
				offer()
				k := running[0]
				running = append(running[:0], running[1:]...)
				c.Finish(now, k, Outcome{Result: Completed, ServiceTime: time.Millisecond})
			}
		})
	}
}

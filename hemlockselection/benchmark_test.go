package hemlockselection

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// BenchmarkPickDone measures one call: choosing one of 82 targets of a service in three zones, and recording its result.
func BenchmarkPickDone(b *testing.B) {
	var targets []hemlockcall.Target
	for i := range 82 {
		targets = append(targets, target(fmt.Sprint("10.0.0.", i), string(rune('a'+i%3))))
	}
	result := completed(20*time.Millisecond, 5)
	result.Feedback.Outstanding = 80 * time.Millisecond
	for _, placement := range []Placement{PlacementLoad, PlacementCost} {
		b.Run(string(placement), func(b *testing.B) {
			selector, now := newSelectorBy(placement, targets...), start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				chosen, err := selector.Pick(now, "s", "c", nil)
				if err != nil {
					b.Fatal(err)
				}
				selector.Done(now, chosen.Address, "c", result)
			}
		})
	}
}

package hemlockrelay

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdemand"
)

// BenchmarkDecision measures the admission of a call at an entry that knows the loads of twelve services, four of which the tree calls.
func BenchmarkDecision(b *testing.B) {
	for _, admission := range []Admission{BusiestService, CallTrees} {
		b.Run(string(admission), func(b *testing.B) {
			e, call, start, estimator := newTestEntry(fakeTransport{}), newCall(), time.Now(), hemlockdemand.New()
			call.Priority = hemlockcall.Sheddable
			for i := range 12 {
				e.monitor.RecordLoad(start, fmt.Sprint(i), 0.7)
				estimator.Merge(start, classOf(call), []hemlockcall.CallDemand{{Service: fmt.Sprint(i % 4), Calls: 1, SlotTime: 1}}, 9)
			}
			if admission == CallTrees {
				WithCallTrees(estimator)(e)
			}
			for i := range b.N {
				_, _, _ = e.admitCall(start.Add(time.Duration(i)*time.Microsecond), call, start.Add(time.Hour))
			}
		})
	}
}

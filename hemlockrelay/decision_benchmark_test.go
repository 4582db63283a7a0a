package hemlockrelay

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// BenchmarkDecision measures the admission of a call at the entry that knows the loads of twelve services.
func BenchmarkDecision(b *testing.B) {
	e := newTestEntry(fakeTransport{})
	call := newCall()
	call.Priority = hemlockcall.Sheddable
	start := time.Now()
	for i := range 12 {
		e.monitor.RecordLoad(start, fmt.Sprint("service-", i), 0.7)
	}
	b.ReportAllocs()
	for i := range b.N {
		_ = e.admit(start.Add(time.Duration(i)*time.Microsecond), call, false)
	}
}

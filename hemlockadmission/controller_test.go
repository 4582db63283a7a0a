package hemlockadmission

import (
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

var start = time.Unix(1_000_000, 0)

func withPriority(p hemlockcall.Priority) Attributes {
	return Attributes{Priority: p, Remaining: time.Second}
}

// Guards against a critical request that is refused while sheddable ones stay in the queue.
func TestCriticalDisplacesSheddable(t *testing.T) {
	var decided []*Ticket[string]
	c := New(1, func(k *Ticket[string]) { decided = append(decided, k) }, WithQueueSize(1))
	running := c.Offer(start, withPriority(hemlockcall.Sheddable), "running")
	waiting := c.Offer(start, withPriority(hemlockcall.Sheddable), "waiting")
	urgent := c.Offer(start, withPriority(hemlockcall.Critical), "urgent")
	if len(decided) != 1 || decided[0] != waiting || waiting.Admitted() {
		t.Fatalf("decided %v, want the waiting request refused", decided)
	}
	c.Finish(start, running, Outcome{Result: Completed, ServiceTime: time.Millisecond})
	if !urgent.Admitted() {
		t.Error("the critical request was not admitted to the freed slot")
	}
}

package hemlockbalancer

import (
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

var start = time.Unix(1_000_000, 0)

// Guards against a retry at a target that has already been tried.
func TestPickSkipsTriedTargets(t *testing.T) {
	balancer := New("a", func(int) int { return 0 })
	balancer.Replace(start, []hemlockcall.Target{{Address: "1", Zone: "a", Service: "s", Slots: 5, Ready: true}})
	if _, err := balancer.Pick(start, "s", hemlockcall.Critical, nil); err != nil {
		t.Fatal(err)
	}
	_, err := balancer.Pick(start, "s", hemlockcall.Critical, []string{"1"})
	if hemlockerror.KindOf[Kind](err) != KindNoTarget {
		t.Errorf("error %v, want one of kind no-target", err)
	}
}

package hemlockpeer

import (
	"testing"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// Guards against a caller that waits until its deadline because the response was dropped: the connection to it was full.
func TestResponseThatDoesNotFitIsRefused(t *testing.T) {
	// One body is accepted whatever its size, so the queue can hold more than its limit.
	for _, queued := range []int{maxQueuedBytes, maxQueuedBytes + 1} {
		c := &carryStream{queue: newSendQueue()}
		if err := c.queue.put(&hemlockwire.Parcel{Call: 1, Body: make([]byte, queued)}); err != nil {
			t.Fatal(err)
		}
		c.reply(2, &hemlockcall.RelayResponse{Status: 200, Body: []byte("x")}, nil)
		last := c.queue.parcels[len(c.queue.parcels)-1]
		if last.GetCall() != 2 || last.GetRefusal() == nil {
			t.Fatalf("the last parcel for a peer with %d queued bytes belongs to call %d and has no refusal, want a refusal of call 2",
				queued, last.GetCall())
		}
		refusal, err := decodeRefusal(last.GetRefusal(), 0)
		if err != nil || refusal.Verdict != hemlockcall.VerdictUnknown || refusal.Reason != hemlockcall.ReasonConnection {
			t.Errorf("refusal %v with error %v, want an unknown outcome because of the connection", refusal, err)
		}
	}
}

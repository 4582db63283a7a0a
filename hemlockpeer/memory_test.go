package hemlockpeer

import (
	"context"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmemory"
)

// Guards against bodies of relayed calls that exceed the memory of the process beside the target, and against a call that is refused
// for that and runs.
func TestRelayedBodiesShareTheMemory(t *testing.T) {
	memory := hemlockmemory.NewBudget(8 << 20)
	release := make(chan struct{})
	relay := hemlockcall.RelayerFunc(func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		<-release
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	_, address := startServer(t, nil, WithRelayer(relay), WithMemoryBudget(memory))
	client := NewRelayClient()
	defer client.Close()
	results := make(chan error, 8)
	for range 8 {
		go func() {
			call := newRelayRequest(make([]byte, 2<<20))
			call.Remaining = 5 * time.Second
			_, err := client.Relay(t.Context(), address, call)
			results <- err
		}()
	}
	for range 5 { // three of 2 MiB fit into three quarters of the budget
		wantRefusal(t, waitFor(t, "refusal", results), hemlockcall.VerdictNotRun, hemlockcall.ReasonOverload)
	}
	if used := memory.Snapshot().Used; used > 8<<20 {
		t.Errorf("%d bytes used, want at most 8 MiB", used)
	}
	close(release)
	for range 3 {
		noError(t, waitFor(t, "response", results))
	}
	for end := time.Now().Add(2 * time.Second); memory.Snapshot().Used > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	equal(t, "bytes used at the end", memory.Snapshot().Used, 0)
}

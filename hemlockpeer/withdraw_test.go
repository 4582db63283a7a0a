package hemlockpeer

import (
	"context"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against a call that waits in a queue of a peer and runs although the calling node has stopped to begin calls, and against
// one that loses its response although the peer has passed it to its target.
func TestWithdrawReachesThePeer(t *testing.T) {
	started := make(chan struct{}, 2)
	_, address := startServer(t, nil, WithRelayer(hemlockcall.RelayerFunc(func(_ context.Context, call *hemlockcall.RelayRequest) (
		*hemlockcall.RelayResponse, error) {
		started <- struct{}{}
		<-call.Withdrawn
		if call.ID == "queued" {
			return nil, hemlockcall.RefuseWithdrawn()
		}
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})))
	client := NewRelayClient()
	defer client.Close()
	results := map[string]chan error{"queued": make(chan error, 1), "running": make(chan error, 1)}
	relay := func(id string) error {
		call := &hemlockcall.RelayRequest{ID: id, Remaining: 10 * time.Second}
		_, err := client.Relay(t.Context(), address, call)
		return err
	}
	for id, result := range results {
		go func() { result <- relay(id) }()
		waitFor(t, "start of the call", started)
	}
	client.Withdraw()
	wantRefusal(t, <-results["queued"], hemlockcall.VerdictNotRun, hemlockcall.ReasonCancelled)
	noError(t, <-results["running"])
	wantRefusal(t, relay("late"), hemlockcall.VerdictNotRun, hemlockcall.ReasonCancelled)
}

// Guards against a call that is sent after its node has withdrawn its calls, and runs.
func TestCallBehindAWithdrawalIsWithdrawn(t *testing.T) {
	_, address := startServer(t, nil, WithRelayer(hemlockcall.RelayerFunc(func(_ context.Context, call *hemlockcall.RelayRequest) (
		*hemlockcall.RelayResponse, error) {
		if call.IsWithdrawn() {
			return nil, hemlockcall.RefuseWithdrawn()
		}
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})))
	client := NewRelayClient()
	defer client.Close()
	connection, err := client.peer(address).get(t.Context(), client, address)
	noError(t, err)
	connection.withdraw()
	_, err = connection.relay(t.Context(), &hemlockcall.RelayRequest{ID: "behind", Remaining: 10 * time.Second})
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonCancelled)
}

// Guards against a request of a caller that waits in a queue of a peer and runs although its entry node has stopped to begin requests,
// against one that loses its response although the peer has passed it to its target, and against nested calls that are withdrawn
// although the target that makes them still runs.
func TestWithdrawOfCallsWithStreamedBodies(t *testing.T) {
	started := make(chan struct{}, 3)
	nestedMayEnd := make(chan struct{})
	_, address := startServer(t, invokerFunc(func(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
		started <- struct{}{}
		if r.Context.Depth > 0 {
			select {
			case <-r.Withdrawn:
				return nil, hemlockcall.RefuseWithdrawn()
			case <-nestedMayEnd:
				return newResponse(nil, 0), nil
			}
		}
		<-r.Withdrawn
		if r.Service == "queued" {
			return nil, hemlockcall.RefuseWithdrawn()
		}
		return newResponse(nil, 0), nil
	}))
	client := startClient(t)
	invoke := func(service string, depth uint8) <-chan error {
		result := make(chan error, 1)
		request := newRequest(nil, 0)
		request.Service, request.Context.Depth = service, depth
		go func() {
			_, err := client.InvokerFor(address).Invoke(t.Context(), request)
			result <- err
		}()
		waitFor(t, "start of the call", started)
		return result
	}
	queued, running, nested := invoke("queued", 0), invoke("running", 0), invoke("nested", 1)
	withdrawn := make(chan struct{})
	go func() {
		client.Withdraw(t.Context())
		close(withdrawn)
	}()
	wantRefusal(t, waitFor(t, "end of the queued call", queued), hemlockcall.VerdictNotRun, hemlockcall.ReasonCancelled)
	noError(t, waitFor(t, "end of the running call", running))
	waitFor(t, "end of the withdrawal", withdrawn)
	close(nestedMayEnd)
	noError(t, waitFor(t, "end of the nested call", nested))
}

package hemlocknode

import (
	"context"
	"errors"
	"testing"
	"time"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlocksuspect"
)

// scriptedPeers responds to the attempts of a call with its responses in order, whichever target an attempt is sent to.
type scriptedPeers struct {
	responses []func(*hemlockcall.Request) (*hemlockcall.Response, error)
	attempts  int
}

func (s *scriptedPeers) InvokerFor(string) hemlockcall.Invoker { return s }

func (s *scriptedPeers) Withdraw(context.Context) {}

func (s *scriptedPeers) Invoke(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
	s.attempts++
	return s.responses[s.attempts-1](r)
}

func refuseWith(refusal *hemlockcall.Refusal) func(*hemlockcall.Request) (*hemlockcall.Response, error) {
	return func(*hemlockcall.Request) (*hemlockcall.Response, error) { return nil, refusal }
}

func newTestDispatcher(t *testing.T, peers Peers) *Dispatcher {
	t.Helper()
	now := time.Now()
	suspects := hemlocksuspect.New("127.210.0.1:1")
	gossip := hemlockmember.NewGossip(now, hemlockmember.Member{Address: "127.210.0.1:1", Zone: "a", Region: "r"}, nil,
		func(int) int { return 0 }, hemlockmember.WithCrashRecords(suspects))
	balancer := hemlockbalancer.New("a", func(int) int { return 0 })
	for _, address := range []string{"127.210.0.2:1", "127.210.0.3:1", "127.210.0.4:1", "127.210.0.5:1"} {
		gossip.View().Merge(now, []hemlockmember.Member{{Address: address, Zone: "a", Region: "r", Service: "pages",
			Incarnation: 1, State: hemlockmember.Ready, Slots: 10}})
	}
	metrics, stop := NewMetrics()
	t.Cleanup(stop)
	return &Dispatcher{self: "127.210.0.1:1", zone: "a", peers: peers, balancer: balancer, suspects: suspects, drain: hemlockdrain.New(),
		view: gossip.View(), gossip: gossip, metrics: metrics}
}

func pageRequest(retries int) *hemlockcall.Request {
	return &hemlockcall.Request{Service: "pages", Method: "GET", Path: "/", Context: hemlockcall.Context{
		Priority: hemlockcall.Important, Remaining: time.Second, RetryBudget: retries}}
}

// Guards against a refusal with the verdict not-run for a request of which an earlier attempt may have run.
func TestVerdictCoversAllAttempts(t *testing.T) {
	broken := refuseWith(hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, "broken"))
	overloaded := refuseWith(hemlockcall.Refuse(hemlockcall.ReasonOverload, "shed"))
	expired := refuseWith(hemlockcall.Refuse(hemlockcall.ReasonDeadline, "late"))
	leaving := refuseWith(hemlockcall.Refuse(hemlockcall.ReasonLeaving, "leaving"))
	type attempts = []func(*hemlockcall.Request) (*hemlockcall.Response, error)
	cases := map[string]struct {
		attempts attempts
		verdict  hemlockcall.Verdict
	}{
		"shed after a broken connection":              {attempts{broken, overloaded}, hemlockcall.VerdictUnknown},
		"deadline exceeded after a broken connection": {attempts{broken, expired}, hemlockcall.VerdictUnknown},
		"leaving and shed after a broken connection":  {attempts{broken, leaving, overloaded}, hemlockcall.VerdictUnknown},
		"broken connection after shed":                {attempts{overloaded, broken}, hemlockcall.VerdictUnknown},
		"shed twice after leaving":                    {attempts{leaving, overloaded, overloaded}, hemlockcall.VerdictNotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			peers := &scriptedPeers{responses: c.attempts}
			d := newTestDispatcher(t, peers)
			_, err := d.Invoke(context.Background(), pageRequest(1), &requestBody{budget: newMemoryBudget(0)})
			var refusal *hemlockcall.Refusal
			if !errors.As(err, &refusal) || refusal.Verdict != c.verdict {
				t.Errorf("after %d attempts the call ended with %v, want the verdict %v", peers.attempts, err, c.verdict)
			}
			if peers.attempts != len(c.attempts) {
				t.Errorf("%d attempts were made, want %d", peers.attempts, len(c.attempts))
			}
		})
	}
}

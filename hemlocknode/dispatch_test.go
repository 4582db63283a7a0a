package hemlocknode

import (
	"context"
	"errors"
	"testing"
	"time"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlocksuspect"
)

// scripted answers the attempts of a call one after the other, at whichever target they arrive.
type scripted struct {
	attempts []func(*hemlockcall.Request) (*hemlockcall.Response, error)
	made     int
}

func (s *scripted) InvokerFor(string) hemlockcall.Invoker { return s }

func (s *scripted) Invoke(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
	s.made++
	return s.attempts[s.made-1](r)
}

func refuses(refusal *hemlockcall.Refusal) func(*hemlockcall.Request) (*hemlockcall.Response, error) {
	return func(*hemlockcall.Request) (*hemlockcall.Response, error) { return nil, refusal }
}

func newTestDispatcher(t *testing.T, peers Peers) *Dispatcher {
	t.Helper()
	now := time.Now()
	suspects := hemlocksuspect.New("127.210.0.1:1")
	gossip := hemlockmember.NewGossip(now, hemlockmember.Member{Address: "127.210.0.1:1", Zone: "a", Region: "r"}, nil,
		func(int) int { return 0 }, hemlockmember.WithSuspects(suspects))
	routing := hemlockbalancer.New("a", func(int) int { return 0 })
	for _, address := range []string{"127.210.0.2:1", "127.210.0.3:1", "127.210.0.4:1", "127.210.0.5:1"} {
		gossip.View().Merge(now, []hemlockmember.Member{{Address: address, Zone: "a", Region: "r", Service: "pages",
			Incarnation: 1, State: hemlockmember.Ready, Slots: 10}})
	}
	metrics, stop := NewMetrics()
	t.Cleanup(stop)
	return &Dispatcher{self: "127.210.0.1:1", zone: "a", peers: peers, routing: routing, suspects: suspects,
		view: gossip.View(), gossip: gossip, metrics: metrics}
}

func pageRequest(retries int) *hemlockcall.Request {
	return &hemlockcall.Request{Service: "pages", Method: "GET", Path: "/", Context: hemlockcall.Context{
		Priority: hemlockcall.Important, Remaining: time.Second, RetryBudget: retries}}
}

// Guards against a refusal as not run of a request whose earlier attempt may have run.
func TestRefusalAsNotRunCountsAllAttempts(t *testing.T) {
	broken := refuses(hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, "broken"))
	shed := refuses(hemlockcall.Refuse(hemlockcall.ReasonOverload, "shed"))
	late := refuses(hemlockcall.Refuse(hemlockcall.ReasonDeadline, "late"))
	leaving := refuses(hemlockcall.Refuse(hemlockcall.ReasonLeaving, "leaving"))
	type attempts = []func(*hemlockcall.Request) (*hemlockcall.Response, error)
	cases := map[string]struct {
		attempts attempts
		verdict  hemlockcall.Verdict
	}{
		"shed after a break":        {attempts{broken, shed}, hemlockcall.VerdictUnknown},
		"late after a break":        {attempts{broken, late}, hemlockcall.VerdictUnknown},
		"shed twice after a break":  {attempts{broken, leaving, shed}, hemlockcall.VerdictUnknown},
		"break after a shed":        {attempts{shed, broken}, hemlockcall.VerdictUnknown},
		"shed after a leaving node": {attempts{leaving, shed, shed}, hemlockcall.VerdictNotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			peers := &scripted{attempts: c.attempts}
			d := newTestDispatcher(t, peers)
			_, err := d.Invoke(context.Background(), pageRequest(1), &requestBody{budget: newByteBudget(0)})
			var refusal *hemlockcall.Refusal
			if !errors.As(err, &refusal) || refusal.Verdict != c.verdict {
				t.Errorf("after %d attempts the call ended with %v, want the verdict %v", peers.made, err, c.verdict)
			}
			if peers.made != len(c.attempts) {
				t.Errorf("%d attempts were made, want %d", peers.made, len(c.attempts))
			}
		})
	}
}

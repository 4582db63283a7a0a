package hemlockrelay

import (
	"context"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// hedgeDeviations is how many mean deviations above the mean latency an answer counts as lost: under one in 200 calls
	// without a fault.
	hedgeDeviations = 6
	// hedgeLeast keeps pauses of a busy host from looking like a lost answer.
	hedgeLeast = 50 * time.Millisecond
	// hedgeLongest is the mean latency above which a class gets no second attempt beside the first: its calls are whole
	// trees, whose repeats would load all services below.
	hedgeLongest = 120 * time.Millisecond
	// hedgeSamples is how many answers are needed for an estimate.
	hedgeSamples = 20
	// hedgeLoad is the load of the service above which a late answer is put down to load.
	hedgeLoad = 1
	// latencyWeight is the weight of one new latency in the moving mean.
	latencyWeight = 0.02
	// latencyClasses bounds the classes that are told apart.
	latencyClasses = 256
)

// latencies keeps the mean latency of each class with its mean deviation. It is safe for concurrent use.
type latencies struct {
	mutex   sync.Mutex
	classes map[string]*latency
}

type latency struct {
	mean, deviation float64 // seconds
	samples         int
}

func newLatencies() *latencies {
	return &latencies{classes: map[string]*latency{}}
}

func (l *latencies) add(class string, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.classes[class]
	if c == nil {
		if len(l.classes) >= latencyClasses {
			clear(l.classes) // names of routes that are gone
		}
		c = &latency{mean: took.Seconds(), deviation: took.Seconds() / 2}
		l.classes[class] = c
	}
	c.samples++
	difference := took.Seconds() - c.mean
	c.mean += difference * latencyWeight
	if difference < 0 {
		difference = -difference
	}
	c.deviation += (difference - c.deviation) * latencyWeight
}

// hedgeAfter returns after how long the answer to a call counts as lost; false where it never does.
func (l *latencies) hedgeAfter(class string) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.classes[class]
	if c == nil || c.samples < hedgeSamples || c.mean > hedgeLongest.Seconds() {
		return 0, false
	}
	return max(hedgeLeast, time.Duration((c.mean+hedgeDeviations*c.deviation)*float64(time.Second))), true
}

// attempt is the end of a second attempt; both fields are nil when there was none.
type attempt struct {
	answer  *hemlockcall.RelayResponse
	refusal *hemlockcall.Refusal
}

// sendHedged makes one attempt, and a second one at another target beside it when the answer is far later than usual:
// some targets run a request and lose its answer, which nobody says. The first answer counts. The first attempt runs in the
// caller's goroutine, for nearly all calls need no second one.
func (a *attempts) sendHedged(ctx context.Context, address string) (*hemlockcall.RelayResponse, *hemlockcall.Refusal) {
	wait, ok := a.entry.latency.hedgeAfter(a.call.Class)
	if !ok || !a.call.Idempotent || len(a.reached)+1 >= a.most || time.Until(a.deadline) < 2*wait {
		return a.send(ctx, address)
	}
	first, overtake := context.WithCancel(ctx)
	defer overtake()
	second := make(chan attempt, 1) // room for its end, so that it does not block when nobody waits for it
	timer := time.AfterFunc(wait, func() { second <- a.sendSecond(ctx, overtake) })
	answer, refusal := a.send(first, address)
	if timer.Stop() {
		return answer, refusal
	}
	if refusal == nil {
		a.overtaken.Store(true) // the end of the call cancels the second attempt
		return answer, nil
	}
	end := <-second
	if end.answer == nil && (end.refusal == nil || refusal.Verdict == hemlockcall.VerdictUnknown) {
		return nil, refusal // the call may have run, whatever became of the second attempt
	}
	return end.answer, end.refusal
}

// sendSecond makes an attempt beside the first one, if it may. Its answer ends the first one.
func (a *attempts) sendSecond(ctx context.Context, overtake context.CancelFunc) attempt {
	address, ok := a.second()
	if !ok {
		return attempt{}
	}
	answer, refusal := a.send(ctx, address)
	if refusal == nil {
		a.overtaken.Store(true)
		overtake()
	}
	return attempt{answer: answer, refusal: refusal}
}

// second returns the target of an attempt beside the first one, if there is one and the shared budget allows it.
func (a *attempts) second() (string, bool) {
	now := time.Now()
	if a.entry.monitor.ServiceLoad(now, a.call.Service) > hedgeLoad {
		return "", false
	}
	target, err := a.entry.table.Pick(now, a.call.Service, a.tried)
	if err != nil {
		return "", false
	}
	if !a.entry.budget.Spend(now, a.call.Service, a.call.Priority) {
		a.entry.table.Release(target.Address)
		return "", false
	}
	a.tried = append(a.tried, target.Address)
	a.reach(target.Address)
	a.entry.observer.Retried(a.call, target.Address, hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, "the answer is late"),
		len(a.tried))
	return target.Address, true
}

package hemlockrelay

import (
	"context"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockselection"
)

const (
	// hedgeDeviations is how many mean deviations above the mean latency the hedge delay is. Without a fault, fewer than
	// one call in 200 takes that long.
	hedgeDeviations = 6
	// upperDeviations is how many mean deviations above the mean the upper latency of a class is. A stopping process does
	// not begin a call that may take longer than what is left; the refused caller can still go elsewhere.
	upperDeviations = 3
	// minHedgeDelay is the shortest hedge delay, so that a pause of a busy host does not count as a lost response.
	minHedgeDelay = 50 * time.Millisecond
	// maxHedgedLatency is the mean latency above which the calls of a class are not hedged. Such a call runs a whole call
	// tree, and a second run would load all downstream services.
	maxHedgedLatency = 120 * time.Millisecond
	// minHedgeSamples is how many responses of a class are needed before its calls are hedged.
	minHedgeSamples = 20
	// maxHedgeLoad is the load of the service above which a late response is attributed to load and the call is not
	// hedged.
	maxHedgeLoad = 1
	// latencyWeight is the weight of one new latency in the moving averages.
	latencyWeight = 0.02
	// maxLatencyClasses limits the number of classes with a latency estimate.
	maxLatencyClasses = 256
)

// latencies estimates the mean latency of each class and its mean deviation. It is safe for concurrent use.
type latencies struct {
	mutex   sync.Mutex
	classes map[string]*latencyEstimate
}

type latencyEstimate struct {
	mean, deviation float64 // seconds
	samples         int
}

func newLatencies() *latencies {
	return &latencies{classes: map[string]*latencyEstimate{}}
}

func (l *latencies) add(class string, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.classes[class]
	if c == nil {
		if len(l.classes) >= maxLatencyClasses {
			clear(l.classes) // removes classes that are no longer used; the estimates of the others start again
		}
		c = &latencyEstimate{mean: took.Seconds(), deviation: took.Seconds() / 2}
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

// hedgeDelay returns the time after which the response to a call counts as late. It returns false if calls of the class
// are not hedged: it has too few responses, or their mean latency is above maxHedgedLatency.
func (l *latencies) hedgeDelay(class string) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.classes[class]
	if c == nil || c.samples < minHedgeSamples || c.mean > maxHedgedLatency.Seconds() {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration((c.mean+hedgeDeviations*c.deviation)*float64(time.Second))), true
}

// upper returns a time within which nearly all calls of a class get their response; 0 if it has too few responses.
func (l *latencies) upper(class string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.classes[class]
	if c == nil || c.samples < minHedgeSamples {
		return 0
	}
	return time.Duration((c.mean + upperDeviations*c.deviation) * float64(time.Second))
}

// outcomeOfLoser returns how an attempt counts for its target if it was cancelled because a concurrent one got a response first. Only
// an attempt that took longer than the hedge delay says something about its target.
func (l *latencies) outcomeOfLoser(class string, took time.Duration) hemlockselection.Outcome {
	if delay, ok := l.hedgeDelay(class); ok && took < delay {
		return hemlockselection.Cancelled
	}
	return hemlockselection.TimedOut
}

// attemptResult is the result of a hedge attempt. Both fields are nil if none was made.
type attemptResult struct {
	response *hemlockcall.RelayResponse
	refusal  *hemlockcall.Refusal
}

// sendHedged makes one attempt, and a concurrent hedge attempt at another target when the response is far later than
// usual: some targets run a request and lose its response without any error. The first response is used. There is no
// hedge attempt for a call of a class that is not hedged, that is not idempotent, that may reach no second target, or
// whose remaining time is shorter than two hedge delays. The first attempt runs in the caller's goroutine, because
// nearly all calls need no hedge attempt.
func (a *attempts) sendHedged(ctx context.Context, address string) (*hemlockcall.RelayResponse, *hemlockcall.Refusal) {
	delay, ok := a.entry.latencies.hedgeDelay(a.call.Class)
	if !ok || !a.call.Idempotent || len(a.reached)+1 >= a.maxTargets || time.Until(a.deadline) < 2*delay {
		return a.send(ctx, address)
	}
	firstContext, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	hedge := make(chan attemptResult, 1) // buffered, so that the hedge attempt does not block without a receiver
	timer := time.AfterFunc(delay, func() { hedge <- a.sendHedge(ctx, cancelFirst) })
	response, refusal := a.send(firstContext, address)
	if timer.Stop() {
		return response, refusal
	}
	if refusal == nil {
		a.hedgeAnswered.Store(true) // the end of the call cancels the hedge attempt
		return response, nil
	}
	hedged := <-hedge
	if hedged.response == nil && (hedged.refusal == nil || refusal.Verdict == hemlockcall.VerdictUnknown) {
		return nil, refusal // the call may have run, whatever the result of the hedge attempt
	}
	return hedged.response, hedged.refusal
}

// sendHedge makes the hedge attempt if pickHedgeTarget allows it. A response to it cancels the first attempt.
func (a *attempts) sendHedge(ctx context.Context, cancelFirst context.CancelFunc) attemptResult {
	address, ok := a.pickHedgeTarget()
	if !ok {
		return attemptResult{}
	}
	response, refusal := a.send(ctx, address)
	if refusal == nil {
		a.hedgeAnswered.Store(true)
		cancelFirst()
	}
	return attemptResult{response: response, refusal: refusal}
}

// pickHedgeTarget chooses the target of a hedge attempt, charges the attempt to the retry budget of the service and
// records it. It returns false if no target is left, if the load of the service is above maxHedgeLoad, if the retry
// budget is spent, or if the process is about to end.
func (a *attempts) pickHedgeTarget() (string, bool) {
	now := time.Now()
	if !a.entry.mayBegin(now, a.call.Class, a.deadline) || a.entry.monitor.ServiceLoad(now, a.call.Service) > maxHedgeLoad {
		return "", false
	}
	target, err := a.entry.selector.Pick(now, a.call.Service, a.call.Class, a.tried)
	if err != nil {
		return "", false
	}
	if !a.entry.budget.Spend(now, a.call.Service, a.call.Priority) {
		a.entry.selector.Release(target.Address, a.call.Class)
		return "", false
	}
	a.tried = append(a.tried, target.Address)
	a.markReached(target.Address)
	a.entry.observer.Retried(a.call, target.Address,
		hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, "the response is late"), len(a.tried))
	return target.Address, true
}

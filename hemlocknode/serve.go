package hemlocknode

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
)

// admissionTick is how often queued requests are checked for expiry.
const admissionTick = 10 * time.Millisecond

// waiter is a request that waits for a slot of the local target.
type waiter struct {
	decided chan struct{}
}

type ticket = hemlockadmission.Ticket[*waiter]

// Server is the called side of the data path: it admits calls to the local target and runs them there.
type Server struct {
	configuration *hemlockconfiguration.Holder
	admission     *hemlockadmission.Controller[*waiter]
	target        hemlockcall.Invoker
	health        *TargetHealth
	running       *hemlockinflight.Table
	suspects      *hemlocksuspect.Table
	metrics       *Metrics
	// leaving refuses new calls; it is set when the node stops.
	leaving atomic.Bool
}

func newAdmission() *hemlockadmission.Controller[*waiter] {
	return hemlockadmission.New(0, func(t *ticket) { close(t.Value.decided) }, hemlockadmission.WithCold())
}

// Invoke implements hemlockcall.Invoker for calls of peers and of this node itself.
func (s *Server) Invoke(ctx context.Context, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	start := time.Now()
	response, err := s.serve(ctx, start, request)
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		feedback := s.feedback(refusal.Feedback.UnusedRetries)
		refusal = refusal.WithFeedback(feedback)
		refusal.SentByNode = true
		err = refusal
	}
	s.metrics.countCall(stageServed, request.Context.Priority, err, time.Since(start))
	return response, err
}

// feedback describes the load of the local target.
func (s *Server) feedback(retries int) hemlockcall.Feedback {
	snapshot := s.admission.Snapshot(time.Now())
	return hemlockcall.Feedback{
		UnusedRetries: retries,
		MinPriority:   snapshot.Level,
		InFlight:      snapshot.InFlight + snapshot.Queued,
		Limit:         snapshot.Limit,
	}
}

func (s *Server) serve(ctx context.Context, start time.Time, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	unused := hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget}
	verdict := s.suspects.Check(start, request.Fingerprint)
	if err := s.check(request, verdict); err != nil {
		return nil, err.WithFeedback(unused)
	}
	admitted, err := s.admit(ctx, start, request, verdict == hemlocksuspect.RunAlone)
	if err != nil {
		return nil, err.WithFeedback(unused)
	}
	now := time.Now()
	// Another node's crash may have become known while the request waited.
	if s.suspects.Check(now, request.Fingerprint) == hemlocksuspect.Refuse {
		s.admission.Finish(now, admitted, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, s.refuseSuspect().WithFeedback(unused)
	}
	// The drain notice may have come while the request waited.
	if s.health.draining() {
		s.admission.Finish(now, admitted, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, refuseLeaving().WithFeedback(unused)
	}
	return s.run(ctx, now, request, admitted)
}

func refuseLeaving() *hemlockcall.Refusal {
	return hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the target is leaving")
}

func (s *Server) check(request *hemlockcall.Request, verdict hemlocksuspect.Decision) *hemlockcall.Refusal {
	switch {
	case s.leaving.Load() || s.health.draining():
		return refuseLeaving()
	case !s.health.serves(request.Service):
		return hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "the target does not serve "+request.Service)
	case request.Context.Depth > hemlockcall.MaxDepth:
		return hemlockcall.Refuse(hemlockcall.ReasonInvalid, "the call chain is too deep")
	case verdict == hemlocksuspect.Refuse:
		return s.refuseSuspect()
	}
	return nil
}

func (s *Server) refuseSuspect() *hemlockcall.Refusal {
	s.metrics.suspects.Inc(1)
	return hemlockcall.Refuse(hemlockcall.ReasonSuspect, "this request was running when two targets crashed")
}

// admit waits for a slot.
func (s *Server) admit(
	ctx context.Context, now time.Time, request *hemlockcall.Request, suspect bool,
) (*ticket, *hemlockcall.Refusal) {
	demand := hemlockadmission.Attributes{
		Priority:  request.Context.Priority,
		Class:     s.classOf(request),
		Rank:      request.Context.Rank,
		Depth:     request.Context.Depth,
		Remaining: remainingOf(ctx, request.Context.Remaining),
		Suspect:   suspect,
	}
	offered := s.admission.Offer(now, demand, &waiter{decided: make(chan struct{})})
	if offered.Queued {
		select {
		case <-offered.Value.decided:
		case <-ctx.Done():
			s.admission.Cancel(time.Now(), offered)
			<-offered.Value.decided
		}
	}
	if refusal := offered.Refusal(); refusal != nil {
		return nil, refusal
	}
	if ctx.Err() != nil {
		s.admission.Finish(time.Now(), offered, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, endOf(ctx, "while the request waited for a slot")
	}
	return offered, nil
}

// classOf tells requests apart whose service times and nested calls differ: by their class and, because nested calls
// inherit it, by their priority.
func (s *Server) classOf(request *hemlockcall.Request) string {
	rule, matched := s.configuration.Current().Services[request.Service].Match(request.Method, request.Path)
	if !matched {
		return ""
	}
	return rule.Name + "/" + request.Context.Priority.String()
}

// execution is one request at the local target, from its slot to its end.
type execution struct {
	server  *Server
	start   time.Time
	ticket  *ticket
	running *hemlockinflight.Request
	flight  hemlocksuspect.Execution
	cancel  context.CancelFunc
}

func (s *Server) run(
	ctx context.Context, now time.Time, request *hemlockcall.Request, admitted *ticket,
) (*hemlockcall.Response, error) {
	remaining := remainingOf(ctx, request.Context.Remaining)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	ledger := hemlockretry.NewRequestBudget(request.Context.RetryBudget)
	e := &execution{
		server:  s,
		start:   now,
		ticket:  admitted,
		running: s.running.Begin(now, request.Context.WithRemaining(remaining), request.Context.Span, ledger, cancel),
		flight:  s.suspects.Started(request.Fingerprint),
		cancel:  cancel,
	}
	response, err := s.target.Invoke(ctx, request)
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		unused := e.end(resultOf(refusal))
		s.health.observe(refusal)
		return nil, refusal.WithFeedback(hemlockcall.Feedback{UnusedRetries: unused})
	}
	if isBounded(response) {
		feedback := s.feedback(e.end(hemlockadmission.Completed))
		response.Feedback = func() hemlockcall.Feedback { return feedback }
		return response, nil
	}
	var feedback hemlockcall.Feedback
	response.Body = observe(response.Body, func(complete bool) {
		result := hemlockadmission.Completed
		if !complete {
			result = hemlockadmission.Failed
		}
		feedback = s.feedback(e.end(result))
	})
	response.Feedback = func() hemlockcall.Feedback { return feedback }
	return response, nil
}

// end frees the slot and returns the unused rest of the retry allowance.
func (e *execution) end(result hemlockadmission.Result) int {
	now := time.Now()
	e.cancel()
	answered := result == hemlockadmission.Completed
	unused := e.server.running.End(e.running)
	if result != hemlockadmission.Shed && e.running.NestedShed() {
		result = hemlockadmission.NestedRefused
	}
	cleared := e.server.suspects.Finished(now, e.flight, answered)
	e.server.admission.Finish(now, e.ticket, hemlockadmission.Outcome{Result: result, ServiceTime: now.Sub(e.start)})
	e.server.health.spread(cleared)
	return unused
}

func resultOf(refusal *hemlockcall.Refusal) hemlockadmission.Result {
	switch refusal.Reason {
	case hemlockcall.ReasonDeadline:
		return hemlockadmission.TimedOut
	case hemlockcall.ReasonCancelled, hemlockcall.ReasonIncomplete:
		return hemlockadmission.Cancelled
	case hemlockcall.ReasonOverload:
		return hemlockadmission.Shed
	}
	return hemlockadmission.Failed
}

// DropExpired drops queued requests whose time ran out, until the context ends.
func (s *Server) DropExpired(ctx context.Context) {
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.admission.DropExpired(now)
		}
	}
}

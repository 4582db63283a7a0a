package hemlocknode

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockinflight"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
)

// lateCheckInterval is how often queued requests are checked for too little remaining time.
const lateCheckInterval = 10 * time.Millisecond

// waiter is a request that is waiting for a slot of the local target.
type waiter struct {
	// decided is closed when the request has been admitted or refused.
	decided chan struct{}
}

type ticket = hemlockadmission.Ticket[*waiter]

// Server is the called side of the data path: it admits calls to the local target and sends them there.
type Server struct {
	configuration *hemlockconfiguration.Holder
	admission     *hemlockadmission.Controller[*waiter]
	target        hemlockcall.Invoker
	health        *TargetHealth
	inFlight      *hemlockinflight.Table
	suspects      *hemlocksuspect.Table
	metrics       *Metrics
	// leaving is set when the node stops; new calls are then refused.
	leaving atomic.Bool
	drain   *hemlockdrain.Drain
}

func newAdmission() *hemlockadmission.Controller[*waiter] {
	return hemlockadmission.New(0, func(t *ticket) { close(t.Value.decided) }, hemlockadmission.WithSlowStart())
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

// feedback returns the unused retries and the load of the local target. Its InFlight includes the queued requests.
func (s *Server) feedback(unusedRetries int) hemlockcall.Feedback {
	snapshot := s.admission.Snapshot(time.Now())
	return hemlockcall.Feedback{
		UnusedRetries: unusedRetries,
		MinPriority:   snapshot.MinPriority,
		InFlight:      snapshot.InFlight + snapshot.Queued,
		Limit:         snapshot.Limit,
	}
}

func (s *Server) serve(ctx context.Context, start time.Time, request *hemlockcall.Request) (*hemlockcall.Response, error) {
	allUnused := hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget}
	decision := s.suspects.Check(start, request.Fingerprint)
	if err := s.checkAcceptable(request, decision); err != nil {
		return nil, err.WithFeedback(allUnused)
	}
	admitted, err := s.admit(ctx, start, request, decision == hemlocksuspect.RunAlone)
	if err != nil {
		return nil, err.WithFeedback(allUnused)
	}
	now := time.Now()
	// The crash of another target may have been reported while the request waited.
	if s.suspects.Check(now, request.Fingerprint) == hemlocksuspect.Refuse {
		s.admission.Finish(now, admitted, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, s.refuseSuspect().WithFeedback(allUnused)
	}
	// The drain notice may have arrived, or the last begin of a stop been reached, while the request waited.
	if s.health.isDraining() || request.IsWithdrawn() || !s.mayBegin(ctx, now, request) {
		s.admission.Finish(now, admitted, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, refuseUnbegun(request).WithFeedback(allUnused)
	}
	return s.run(ctx, now, request, admitted)
}

// mayBegin reports whether a request may be passed to the target with regard to the planned stop of this process.
func (s *Server) mayBegin(ctx context.Context, now time.Time, request *hemlockcall.Request) bool {
	return s.drain.MayBegin(now, hemlockdrain.Work{Remaining: remainingTime(ctx, request.Context.Remaining)})
}

// refuseUnbegun returns the refusal of a request that is not passed to the target because its entry node or this process is stopping.
func refuseUnbegun(request *hemlockcall.Request) *hemlockcall.Refusal {
	if request.IsWithdrawn() {
		return hemlockcall.RefuseWithdrawn()
	}
	return refuseLeaving()
}

func refuseLeaving() *hemlockcall.Refusal {
	return hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the target is leaving")
}

func (s *Server) checkAcceptable(request *hemlockcall.Request, decision hemlocksuspect.Decision) *hemlockcall.Refusal {
	switch {
	case s.leaving.Load() || s.health.isDraining():
		return refuseLeaving()
	case !s.health.serves(request.Service):
		return hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "the target does not serve "+request.Service)
	case request.Context.Depth > hemlockcall.MaxDepth:
		return hemlockcall.Refuse(hemlockcall.ReasonInvalid, "the call chain is too deep")
	case decision == hemlocksuspect.Refuse:
		return s.refuseSuspect()
	}
	return nil
}

func (s *Server) refuseSuspect() *hemlockcall.Refusal {
	s.metrics.suspectsRefused.Inc(1)
	return hemlockcall.Refuse(hemlockcall.ReasonSuspect, "this request was running when two targets crashed")
}

// admit waits until the request gets a slot or is refused. suspect marks a suspected poison request: its fingerprint was in
// flight when a target crashed.
func (s *Server) admit(
	ctx context.Context, now time.Time, request *hemlockcall.Request, suspect bool,
) (*ticket, *hemlockcall.Refusal) {
	attributes := hemlockadmission.Attributes{
		Priority:  request.Context.Priority,
		Class:     s.admissionClass(request),
		Rank:      request.Context.Rank,
		Depth:     request.Context.Depth,
		Remaining: remainingTime(ctx, request.Context.Remaining),
		Suspect:   suspect,
	}
	offered := s.admission.Offer(now, attributes, &waiter{decided: make(chan struct{})})
	if offered.Queued {
		select {
		case <-offered.Value.decided:
		case <-request.Withdrawn:
			s.admission.Cancel(time.Now(), offered)
			<-offered.Value.decided
		case <-s.drain.Closed():
			s.admission.Cancel(time.Now(), offered)
			<-offered.Value.decided
		case <-ctx.Done():
			s.admission.Cancel(time.Now(), offered)
			<-offered.Value.decided
		}
	}
	if refusal := offered.Refusal(); refusal != nil {
		if refusal.Reason == hemlockcall.ReasonCancelled && ctx.Err() == nil {
			refusal = refuseUnbegun(request)
		}
		return nil, refusal
	}
	if ctx.Err() != nil {
		s.admission.Finish(time.Now(), offered, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, refuseEnded(ctx, "while the request waited for a slot")
	}
	return offered, nil
}

// admissionClass returns a name that separates requests whose service times and nested calls differ: their class and, because
// nested calls inherit it, their priority. The name is empty if the request matches no class.
func (s *Server) admissionClass(request *hemlockcall.Request) string {
	rule, matched := s.configuration.Current().Services[request.Service].Match(request.Method, request.Path)
	if !matched {
		return ""
	}
	return rule.Name + "/" + request.Context.Priority.String()
}

// execution is one request at the local target, from the time when it gets a slot to its end.
type execution struct {
	server           *Server
	start            time.Time
	ticket           *ticket
	inFlight         *hemlockinflight.Request
	suspectExecution hemlocksuspect.Execution
	cancel           context.CancelFunc
}

func (s *Server) run(
	ctx context.Context, now time.Time, request *hemlockcall.Request, admitted *ticket,
) (*hemlockcall.Response, error) {
	remaining := remainingTime(ctx, request.Context.Remaining)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	retryBudget := hemlockretry.NewRequestBudget(request.Context.RetryBudget)
	e := &execution{
		server:           s,
		start:            now,
		ticket:           admitted,
		inFlight:         s.inFlight.Begin(now, request.Context.WithRemaining(remaining), request.Context.Span, retryBudget, cancel),
		suspectExecution: s.suspects.Started(request.Fingerprint),
		cancel:           cancel,
	}
	response, err := s.target.Invoke(ctx, request)
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		unused := e.end(admissionResult(refusal))
		s.health.checkForCrash(refusal)
		return nil, refusal.WithFeedback(hemlockcall.Feedback{UnusedRetries: unused})
	}
	if isBuffered(response) {
		feedback := s.feedback(e.end(hemlockadmission.Completed))
		response.Feedback = func() hemlockcall.Feedback { return feedback }
		return response, nil
	}
	var feedback hemlockcall.Feedback
	response.Body = observeEnd(response.Body, func(complete bool) {
		result := hemlockadmission.Completed
		if !complete {
			result = hemlockadmission.Failed
		}
		feedback = s.feedback(e.end(result))
	})
	response.Feedback = func() hemlockcall.Feedback { return feedback }
	return response, nil
}

// end releases the slot, records the result, and returns the unused retries of the request.
func (e *execution) end(result hemlockadmission.Result) int {
	now := time.Now()
	e.cancel()
	completed := result == hemlockadmission.Completed
	unused := e.server.inFlight.End(e.inFlight)
	if result != hemlockadmission.Shed && e.inFlight.NestedRefused() {
		result = hemlockadmission.NestedRefused
	}
	cleared := e.server.suspects.Finished(now, e.suspectExecution, completed)
	e.server.admission.Finish(now, e.ticket, hemlockadmission.Outcome{Result: result, ServiceTime: now.Sub(e.start)})
	e.server.health.disseminate(cleared)
	return unused
}

func admissionResult(refusal *hemlockcall.Refusal) hemlockadmission.Result {
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

// RefuseLate regularly refuses queued requests whose remaining time is too short for them to complete. It runs until the
// context ends.
func (s *Server) RefuseLate(ctx context.Context) {
	ticker := time.NewTicker(lateCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.admission.RefuseLate(now)
		}
	}
}

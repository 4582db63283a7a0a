package hemlockconfiguration

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockservice"
)

const publishOperation = "publish"

// Publisher publishes changes over a store. It keeps no state between publishes and may be used concurrently.
type Publisher struct {
	store    HeadStore
	attempts int
	nonce    func() string
	wait     func(ctx context.Context, attempt int) error
}

// Option changes a Publisher at its construction.
type Option func(*Publisher)

// WithAttempts sets how often each call to the store is tried and how many lost races are merged; at least 1.
func WithAttempts(attempts int) Option {
	return func(p *Publisher) { p.attempts = max(attempts, 1) }
}

// WithNonce sets the source of nonces; it must never return a value twice.
func WithNonce(source func() string) Option {
	return func(p *Publisher) { p.nonce = source }
}

// WithBackoff sets the pause before another attempt; it returns an error when the publish is to stop.
func WithBackoff(wait func(ctx context.Context, attempt int) error) Option {
	return func(p *Publisher) { p.wait = wait }
}

// NewPublisher returns a publisher over the store.
func NewPublisher(store HeadStore, options ...Option) *Publisher {
	p := &Publisher{store: store, attempts: 8, nonce: uuid.NewString, wait: pause}
	for _, o := range options {
		o(p)
	}
	return p
}

// pause waits 50 ms, doubled with each attempt up to 800 ms: 8 attempts outlast a short outage of the store.
func pause(ctx context.Context, attempt int) error {
	timer := time.NewTimer(50 * time.Millisecond << min(attempt, 4))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Result is an accepted publish. With an error, Start alone is set.
type Result struct {
	// StartVersion is the version at the start of the publish, the base of files without one; 0 if it could not be read.
	StartVersion uint64
	// Version is the version that holds the changes.
	Version uint64
	// Unchanged is set when the version at the start held the changes already and no new one was written.
	Unchanged bool
	// MergedVersions is how many versions of other publishers were merged during this publish.
	MergedVersions int
}

// Publish applies the files to the configuration in the store. A nil error means that the changes are committed.
// With KindUnknown they may or may not be; every other kind means that they are not and will not be.
func (p *Publisher) Publish(ctx context.Context, files []Change) (Result, error) {
	changes, problems := readFiles(files)
	if len(problems) > 0 {
		return Result{}, hemlockerror.Wrap(publishOperation, KindInvalid, problems)
	}
	if len(changes) == 0 {
		return Result{}, hemlockerror.New(publishOperation, KindInvalid, "nothing to publish")
	}
	a := &attempt{Publisher: p, nonce: p.nonce(), changes: changes}
	if err := a.refresh(ctx); err != nil {
		return Result{}, err
	}
	if err := a.settleBases(); err != nil {
		return Result{}, err
	}
	result := Result{StartVersion: a.current.Version}
	for range p.attempts {
		if err := a.conflict(); err != nil {
			return result, err
		}
		if err := a.checkRetentions(); err != nil {
			return result, err
		}
		missing := a.missing()
		if len(missing) == 0 {
			return Result{StartVersion: result.StartVersion, Version: a.current.Version, Unchanged: true}, nil
		}
		next := a.current.next(missing, a.nonce)
		if err := next.check(); err != nil {
			return result, hemlockerror.Wrap(publishOperation, KindInvalid, err)
		}
		accepted, err := a.commit(ctx, next)
		if err != nil {
			return result, err
		}
		if accepted {
			result.Version, result.MergedVersions = next.Version, int(next.Version-1-result.StartVersion)
			return result, nil
		}
	}
	return result, hemlockerror.New(publishOperation, KindContended, "other publishers were faster each time; publish again")
}

// attempt is one publish in progress.
type attempt struct {
	*Publisher
	nonce   string
	changes []change

	// current is the configuration that the head row named at version row.
	current Configuration
	row     RowVersion
}

// refresh reads the head and its configuration until both fit together.
func (a *attempt) refresh(ctx context.Context) error {
	var last error
	for n := range a.attempts {
		if n > 0 && a.wait(ctx, n) != nil {
			break
		}
		if last = a.readCurrent(ctx); last == nil {
			return nil
		}
		if hemlockerror.KindOf[Kind](last) == KindCorrupt {
			return hemlockerror.Wrap(publishOperation, KindCorrupt, last)
		}
	}
	return hemlockerror.Wrap(publishOperation, KindUnavailable, last)
}

func (a *attempt) readCurrent(ctx context.Context) error {
	head, row, err := a.store.ReadHead(ctx)
	if err != nil {
		return err
	}
	c, err := Load(ctx, a.store, head)
	if err == nil {
		a.current, a.row = c, row
	}
	return err
}

// settleBases replaces bases that were not given by the version at the start and refuses impossible changes.
func (a *attempt) settleBases() error {
	for i, c := range a.changes {
		if c.file.BaseVersion > a.current.Version {
			return hemlockerror.Wrap(publishOperation, KindInvalid, errors.Errorf(
				"%s: base version %d is newer than the published version %d", c.file.Name, c.file.BaseVersion, a.current.Version))
		}
		if c.service == nil {
			if a.current.LastChanged(c.name) == 0 {
				return hemlockerror.Wrap(publishOperation, KindInvalid, errors.Errorf(
					"%s: version %d has no such service, and no earlier version had", c.file.Name, a.current.Version))
			}
		}
		if c.file.BaseVersion == 0 {
			a.changes[i].file.BaseVersion = a.current.Version
		}
	}
	return nil
}

// conflict names the files whose service another publish has changed since their base. A service that already has
// the content of the file is no conflict: an operator may publish again after an unknown outcome.
func (a *attempt) conflict() error {
	var problems hemlockservice.Problems
	for _, c := range a.changes {
		if changed := a.current.LastChanged(c.name); changed > c.file.BaseVersion && !a.holds(c) {
			problems = append(problems, hemlockservice.Problem{File: c.file.Name, Line: 1, Column: 1, Message: fmt.Sprintf(
				"service %q was changed in version %d, after the base version %d", c.name, changed, c.file.BaseVersion)})
		}
	}
	if len(problems) > 0 {
		return hemlockerror.Wrap(publishOperation, KindConflict, problems)
	}
	return nil
}

// longestRetentionStep is the largest factor between two retentions of a service. Claims are swept after twice the
// retention; with a larger step a swept key would be accepted again, and its order could run twice.
const longestRetentionStep = 2

// checkRetentions refuses a claim retention that changes by too much at once.
func (a *attempt) checkRetentions() error {
	var problems hemlockservice.Problems
	for _, c := range a.changes {
		published, known := a.current.Services[c.name]
		if !known || c.service == nil {
			continue
		}
		old, changed := published.ClaimRetention, c.service.ClaimRetention
		if changed > longestRetentionStep*old || old > longestRetentionStep*changed {
			problems = append(problems, hemlockservice.Problem{File: c.file.Name, Line: 1, Column: 1, Message: fmt.Sprintf(
				"claim-retention of service %q changes from %s to %s; allowed is a factor of %d at once, and twice the old "+
					"retention between two changes", c.name, old, changed, longestRetentionStep)})
		}
	}
	if len(problems) > 0 {
		return hemlockerror.Wrap(publishOperation, KindInvalid, problems)
	}
	return nil
}

// holds reports whether the current configuration has the change already.
func (a *attempt) holds(c change) bool {
	s, ok := a.current.Services[c.name]
	if !ok || c.service == nil {
		return !ok && c.service == nil
	}
	have, _ := s.MarshalJSON()
	want, _ := c.service.MarshalJSON()
	return bytes.Equal(have, want)
}

// missing returns the changes that the current configuration does not have yet.
func (a *attempt) missing() map[string]*hemlockservice.Service {
	services := map[string]*hemlockservice.Service{}
	for _, c := range a.changes {
		if !a.holds(c) {
			services[c.name] = c.service
		}
	}
	return services
}

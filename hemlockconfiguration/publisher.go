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

// Publisher publishes changes to a store. It keeps no state between publishes and is safe for concurrent use.
type Publisher struct {
	store       Store
	maxAttempts int
	nonce       func() string // generates the nonce of a publish
	backoff     func(ctx context.Context, attempt int) error
	now         func() time.Time
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithAttempts sets the maximum number of attempts, at least 1: of each call to the store, and of a publish to commit
// when other publishers commit first.
func WithAttempts(attempts int) Option {
	return func(p *Publisher) { p.maxAttempts = max(attempts, 1) }
}

// WithNonce sets the function that generates the nonce of a publish; it must never return a value twice.
func WithNonce(source func() string) Option {
	return func(p *Publisher) { p.nonce = source }
}

// WithBackoff sets the function that waits before a retry, numbered from 1. The publish stops retrying when the
// function returns an error.
func WithBackoff(wait func(ctx context.Context, attempt int) error) Option {
	return func(p *Publisher) { p.backoff = wait }
}

// WithClock sets the wall clock by which changes of claim retentions are dated.
func WithClock(now func() time.Time) Option {
	return func(p *Publisher) { p.now = now }
}

// NewPublisher returns a publisher to the store.
func NewPublisher(store Store, options ...Option) *Publisher {
	p := &Publisher{store: store, maxAttempts: 8, nonce: uuid.NewString, backoff: waitBackoff, now: time.Now}
	for _, o := range options {
		o(p)
	}
	return p
}

// waitBackoff waits 50 ms, doubled once for each retry up to the fourth: 100 ms before the first retry, at most 800 ms
// before later ones. Thus 8 attempts outlast a short outage of the store.
func waitBackoff(ctx context.Context, attempt int) error {
	timer := time.NewTimer(50 * time.Millisecond << min(attempt, 4))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Result describes a successful publish. If Publish returns an error, only StartVersion is set.
type Result struct {
	// StartVersion is the version at the start of the publish, and the base version of changes that have none; 0 if it
	// could not be read.
	StartVersion uint64
	// Version is the version that contains the changes.
	Version uint64
	// Unchanged is set when the current version already contained the changes and no new one was written.
	Unchanged bool
	// MergedVersions is the number of versions that other publishers wrote during this publish and that it builds on.
	MergedVersions int
}

// Publish applies the changes to the configuration in the store. A nil error means that the changes are committed.
// With KindOutcomeUnknown they may or may not be; every other kind means that they are not and will not be.
func (p *Publisher) Publish(ctx context.Context, changes []Change) (Result, error) {
	parsed, problems := parseChanges(changes)
	if len(problems) > 0 {
		return Result{}, hemlockerror.Wrap(publishOperation, KindInvalid, problems)
	}
	if len(parsed) == 0 {
		return Result{}, hemlockerror.New(publishOperation, KindInvalid, "nothing to publish")
	}
	r := &publishRun{Publisher: p, nonce: p.nonce(), parsed: parsed}
	if err := r.refresh(ctx); err != nil {
		return Result{}, err
	}
	if err := r.resolveBaseVersions(); err != nil {
		return Result{}, err
	}
	result := Result{StartVersion: r.current.Version}
	for range p.maxAttempts {
		if err := r.checkConflicts(); err != nil {
			return result, err
		}
		if err := r.checkClaimRetentions(); err != nil {
			return result, err
		}
		unapplied := r.unapplied()
		if len(unapplied) == 0 {
			return Result{StartVersion: result.StartVersion, Version: r.current.Version, Unchanged: true}, nil
		}
		next := r.current.next(r.now(), unapplied, r.nonce)
		if err := next.validate(); err != nil {
			return result, hemlockerror.Wrap(publishOperation, KindInvalid, err)
		}
		committed, err := r.commit(ctx, next)
		if err != nil {
			return result, err
		}
		if committed {
			result.Version, result.MergedVersions = next.Version, int(next.Version-1-result.StartVersion)
			return result, nil
		}
	}
	return result, hemlockerror.New(publishOperation, KindContended, "other publishers committed first at every attempt; publish again")
}

// publishRun is one publish in progress.
type publishRun struct {
	*Publisher
	nonce  string
	parsed []parsedChange

	// current is the configuration that the head row named when the row had rowVersion.
	current    Configuration
	rowVersion RowVersion
}

// refresh reads the head row and the configuration that it names, with retries unless the configuration is corrupt.
func (r *publishRun) refresh(ctx context.Context) error {
	var lastErr error
	for n := range r.maxAttempts {
		if n > 0 && r.backoff(ctx, n) != nil {
			break
		}
		if lastErr = r.readCurrent(ctx); lastErr == nil {
			return nil
		}
		if hemlockerror.KindOf[Kind](lastErr) == KindCorrupt {
			return hemlockerror.Wrap(publishOperation, KindCorrupt, lastErr)
		}
	}
	return hemlockerror.Wrap(publishOperation, KindUnavailable, lastErr)
}

func (r *publishRun) readCurrent(ctx context.Context) error {
	head, row, err := r.store.ReadHead(ctx)
	if err != nil {
		return err
	}
	c, err := Load(ctx, r.store, head)
	if err == nil {
		r.current, r.rowVersion = c, row
	}
	return err
}

// resolveBaseVersions sets missing base versions to the current version. It returns an error for a base version that
// does not exist yet and for the removal of a service that has never existed.
func (r *publishRun) resolveBaseVersions() error {
	for i, c := range r.parsed {
		if c.source.BaseVersion > r.current.Version {
			return hemlockerror.Wrap(publishOperation, KindInvalid, errors.Errorf(
				"%s: base version %d is newer than the published version %d", c.source.Source, c.source.BaseVersion, r.current.Version))
		}
		if c.service == nil {
			if r.current.LastChanged(c.name) == 0 {
				return hemlockerror.Wrap(publishOperation, KindInvalid, errors.Errorf(
					"%s: version %d has no such service, and no earlier version had", c.source.Source, r.current.Version))
			}
		}
		if c.source.BaseVersion == 0 {
			r.parsed[i].source.BaseVersion = r.current.Version
		}
	}
	return nil
}

// checkConflicts returns an error that names the changes whose service another publish has changed after their base
// version. A service that already has the wanted content is no conflict, so that an operator can publish the same
// files again after an unknown outcome.
func (r *publishRun) checkConflicts() error {
	var problems hemlockservice.Problems
	for _, c := range r.parsed {
		if changed := r.current.LastChanged(c.name); changed > c.source.BaseVersion && !r.isApplied(c) {
			problems = append(problems, hemlockservice.Problem{File: c.source.Source, Line: 1, Column: 1, Message: fmt.Sprintf(
				"service %q was changed in version %d, after the base version %d", c.name, changed, c.source.BaseVersion)})
		}
	}
	if len(problems) > 0 {
		return hemlockerror.Wrap(publishOperation, KindConflict, problems)
	}
	return nil
}

// isApplied reports whether the current configuration already contains the change.
func (r *publishRun) isApplied(c parsedChange) bool {
	s, ok := r.current.Services[c.name]
	if !ok || c.service == nil {
		return !ok && c.service == nil
	}
	have, _ := s.MarshalJSON()
	want, _ := c.service.MarshalJSON()
	return bytes.Equal(have, want)
}

// unapplied returns the changes that the current configuration does not contain yet, by service name.
func (r *publishRun) unapplied() map[string]*hemlockservice.Service {
	services := map[string]*hemlockservice.Service{}
	for _, c := range r.parsed {
		if !r.isApplied(c) {
			services[c.name] = c.service
		}
	}
	return services
}

package hemlockconfiguration

import (
	"fmt"
	"maps"
	"time"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockservice"
)

const (
	// maxRetentionFactor limits the factor by which one publish may change the claim retention of a service. Claims of
	// idempotency keys are deleted after twice the retention; with a larger factor a key whose claim has been deleted
	// would be accepted again, and its request could run twice.
	maxRetentionFactor = 2
	// retentionWaitFactor is the wait between two changes of the claim retention of a service, as a multiple of the retention before
	// the first of them. Until then, a node that has not heard of the first change may still accept keys by that retention.
	retentionWaitFactor = 2
)

// retentionChange is the last change of the claim retention of a service. The removal of the service counts as one.
type retentionChange struct {
	// PreviousSeconds is the retention before the change.
	PreviousSeconds int64 `json:"previous-seconds"`
	// UnixSeconds is when it was published, by the clock of the publisher.
	UnixSeconds int64 `json:"unix-seconds"`
}

func (r retentionChange) previous() time.Duration {
	return time.Duration(r.PreviousSeconds) * time.Second
}

// waitEnd returns when the retention may be changed again.
func (r retentionChange) waitEnd() time.Time {
	return time.Unix(r.UnixSeconds, 0).Add(retentionWaitFactor * r.previous())
}

// retentionChangesWith returns the changes of claim retentions after changes of services are applied. Those whose wait has ended are left
// out. It returns nil if there are none.
func (c Configuration) retentionChangesWith(now time.Time, changes map[string]*hemlockservice.Service) map[string]retentionChange {
	result := maps.Clone(c.retentionChanges)
	for name, s := range changes {
		published, known := c.Services[name]
		if !known || s != nil && s.ClaimRetention == published.ClaimRetention {
			continue
		}
		if result == nil {
			result = map[string]retentionChange{}
		}
		result[name] = retentionChange{PreviousSeconds: int64(published.ClaimRetention / time.Second), UnixSeconds: now.Unix()}
	}
	maps.DeleteFunc(result, func(_ string, r retentionChange) bool { return !now.Before(r.waitEnd()) })
	if len(result) == 0 {
		return nil
	}
	return result
}

// checkClaimRetentions returns an error that names the services whose claim retention changes by more than maxRetentionFactor, or before
// the wait after the last change has ended. A change may be taken back at any time.
func (r *publishRun) checkClaimRetentions() error {
	var problems hemlockservice.Problems
	for _, c := range r.parsed {
		if c.service == nil {
			continue
		}
		if message := r.current.checkRetention(r.now(), c.name, c.service.ClaimRetention); message != "" {
			problems = append(problems, hemlockservice.Problem{File: c.source.Source, Line: 1, Column: 1, Message: message})
		}
	}
	if len(problems) > 0 {
		return hemlockerror.Wrap(publishOperation, KindInvalid, problems)
	}
	return nil
}

// checkRetention returns why the claim retention of a service must not be changed to a value; empty if it may.
func (c Configuration) checkRetention(now time.Time, name string, to time.Duration) string {
	last, changed := c.retentionChanges[name]
	changed = changed && now.Before(last.waitEnd())
	published, known := c.Services[name]
	from := published.ClaimRetention
	switch {
	case !known && changed:
		from = last.previous() // the service was removed
	case !known:
		return ""
	}
	switch {
	case to > maxRetentionFactor*from || from > maxRetentionFactor*to:
		return fmt.Sprintf("claim-retention of service %q changes from %s to %s; change it by a factor of at most %d at a time, and "+
			"wait twice the old retention between two changes", name, from, to, maxRetentionFactor)
	case changed && to != from && to != last.previous():
		return fmt.Sprintf("claim-retention of service %q changes from %s to %s, and was changed from %s at %s; change it again after %s",
			name, from, to, last.previous(), time.Unix(last.UnixSeconds, 0).UTC().Format(time.RFC3339),
			last.waitEnd().UTC().Format(time.RFC3339))
	}
	return ""
}

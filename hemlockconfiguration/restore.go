package hemlockconfiguration

import (
	"context"

	"hemlockhollow/hemlockerror"
)

// Restore makes sure that the configuration in the store includes the given one, which had been published and which the store may have
// lost since. It returns the configuration that the store then has: the given one, one that includes it already, or a new version that
// merges both, if others have published since the loss. Several nodes may call it at the same time.
//
// Its errors are those of Publish, except for those of invalid changes and of conflicts.
func (p *Publisher) Restore(ctx context.Context, own Configuration) (Configuration, error) {
	r := &publishRun{Publisher: p}
	for range p.maxAttempts {
		head, err := r.refreshHead(ctx)
		if err != nil {
			return Configuration{}, err
		}
		next := own
		if own.includesHead(head) {
			// The configuration that the head row names is not needed, and may be missing.
			if err := r.putObject(ctx, own); err != nil || head.Version == own.Version {
				return own, err
			}
		} else {
			if err := r.refresh(ctx); err != nil {
				return Configuration{}, err
			}
			if r.current.Includes(own) {
				return r.current, nil
			}
			next = r.current.merge(p.now(), own, p.nonce())
			if err := next.validate(); err != nil {
				return Configuration{}, hemlockerror.Wrap(publishOperation, KindInvalid, err)
			}
		}
		r.nonce, _ = next.nonceOf(next.Version)
		committed, err := r.commit(ctx, next)
		if err != nil {
			return Configuration{}, err
		}
		if committed {
			return next, nil
		}
	}
	return Configuration{}, hemlockerror.New(publishOperation, KindContended, "others changed the configuration first at every attempt")
}

// refreshHead reads the head row, with retries.
func (r *publishRun) refreshHead(ctx context.Context) (Head, error) {
	var lastErr error
	for n := range r.maxAttempts {
		if n > 0 && r.backoff(ctx, n) != nil {
			break
		}
		head, row, err := r.store.ReadHead(ctx)
		if err == nil {
			r.rowVersion = row
			return head, nil
		}
		lastErr = err
	}
	return Head{}, hemlockerror.Wrap(publishOperation, KindUnavailable, lastErr)
}

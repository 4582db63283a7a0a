package hemlockconfiguration

import (
	"context"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// commit stores the next configuration as an object and swaps the head row to it. It returns true when the publish
// took effect, and false when another publish wrote this version; current is then the newer configuration. The object
// is written first, so that the head row never names an object that does not exist.
func (r *publishRun) commit(ctx context.Context, next Configuration) (bool, error) {
	if err := r.putObject(ctx, next); err != nil {
		return false, err
	}
	newHead := Head{Version: next.Version, Digest: next.Digest, Nonce: r.nonce}
	var lastErr error
	for n := range r.maxAttempts {
		if n > 0 && r.backoff(ctx, n) != nil {
			break
		}
		err := r.store.SwapHead(ctx, r.rowVersion, newHead)
		if err == nil {
			return true, nil
		}
		// The outcome of this call or of an earlier one may be unknown. While the row keeps its version, a write that
		// was sent can still take effect, so the same write is retried until the row version has changed: from then on
		// every delayed copy fails its condition, and the nonce of the new version shows which publish wrote it.
		if lastErr = err; hemlockerror.KindOf[Kind](err) != KindStale {
			changed, err := r.rowChanged(ctx)
			if err != nil {
				lastErr = err
			}
			if !changed {
				continue
			}
		}
		return r.wroteVersion(ctx, next.Version)
	}
	return false, outcomeUnknown(lastErr)
}

func (r *publishRun) putObject(ctx context.Context, next Configuration) error {
	body := Encode(next)
	var lastErr error
	for n := range r.maxAttempts {
		if n > 0 && r.backoff(ctx, n) != nil {
			break
		}
		if lastErr = r.store.PutObject(ctx, next.Digest, body); lastErr == nil {
			return nil
		}
	}
	return hemlockerror.Wrap(publishOperation, KindUnavailable, lastErr)
}

// rowChanged reports whether the head row no longer has the version that SwapHead requires.
func (r *publishRun) rowChanged(ctx context.Context) (bool, error) {
	_, row, err := r.store.ReadHead(ctx)
	return err == nil && row != r.rowVersion, err
}

// wroteVersion reports whether this publish wrote the version, by the nonce of that version. It is called after the
// head row has changed.
func (r *publishRun) wroteVersion(ctx context.Context, version uint64) (bool, error) {
	if err := r.refresh(ctx); err != nil {
		return false, outcomeUnknown(err)
	}
	nonce, ok := r.current.nonceOf(version)
	if !ok {
		return false, outcomeUnknown(errors.Errorf("version %d is no longer in the nonce history of version %d", version, r.current.Version))
	}
	return nonce == r.nonce, nil
}

func outcomeUnknown(cause error) error {
	return hemlockerror.Wrap(publishOperation, KindOutcomeUnknown, cause)
}

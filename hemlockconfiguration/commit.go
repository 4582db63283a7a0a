package hemlockconfiguration

import (
	"context"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// commit stores the next configuration and swaps the head. It returns true when the publish took effect, and false
// when another publish took this version; current is then the newer configuration. The object goes first, so that a
// head never names an object that is not there.
func (a *attempt) commit(ctx context.Context, next Configuration) (bool, error) {
	if err := a.put(ctx, next); err != nil {
		return false, err
	}
	head := Head{Version: next.Version, Digest: next.Digest, Nonce: a.nonce}
	var last error
	for n := range a.attempts {
		if n > 0 && a.wait(ctx, n) != nil {
			break
		}
		err := a.store.SwapHead(ctx, a.row, head)
		if err == nil {
			return true, nil
		}
		// The outcome of this call or of an earlier one is open. While the row keeps its version, a write that was
		// sent can still take effect, so the same write is sent again until the row has moved: from then on every
		// late copy fails its condition, and the nonce of that version decides.
		if last = err; hemlockerror.KindOf[Kind](err) != KindStale {
			moved, err := a.moved(ctx)
			if err != nil {
				last = err
			}
			if !moved {
				continue
			}
		}
		return a.settle(ctx, next.Version)
	}
	return false, unknown(last)
}

func (a *attempt) put(ctx context.Context, next Configuration) error {
	body := Encode(next)
	var last error
	for n := range a.attempts {
		if n > 0 && a.wait(ctx, n) != nil {
			break
		}
		if last = a.store.PutObject(ctx, next.Digest, body); last == nil {
			return nil
		}
	}
	return hemlockerror.Wrap(publishOperation, KindUnavailable, last)
}

// moved reports whether the head row no longer has the version that the swap is conditional on.
func (a *attempt) moved(ctx context.Context) (bool, error) {
	_, row, err := a.store.ReadHead(ctx)
	return err == nil && row != a.row, err
}

// settle decides by the nonce of the version which publish wrote it, after the row has moved.
func (a *attempt) settle(ctx context.Context, version uint64) (bool, error) {
	if err := a.refresh(ctx); err != nil {
		return false, unknown(err)
	}
	writer, ok := a.current.writer(version)
	if !ok {
		return false, unknown(errors.Errorf("version %d is no longer in the history of version %d", version, a.current.Version))
	}
	return writer == a.nonce, nil
}

func unknown(cause error) error {
	return hemlockerror.Wrap(publishOperation, KindOutcomeUnknown, cause)
}

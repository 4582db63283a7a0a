package hemlockclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"
)

const (
	// objectPrefix is followed by the SHA-256 of the encoded answer, so that a repeated put is harmless and a wrong
	// object is recognised.
	objectPrefix = "claim-answer-"
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 320 * time.Millisecond
)

// Finish stores the answer of a claim. It tries again within its time limit; after an error the claim stays without an
// answer, and repeated requests get an unknown outcome.
func (c *Claimer) Finish(ctx context.Context, claim Claim, answer Answer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.finishLimit)
	defer cancel()
	row := claim.row(StateFinished)
	encoded, err := json.Marshal(answer)
	if err != nil {
		return wrapError("finish", KindUnknown, err)
	}
	if len(encoded) <= c.settings.answerInline {
		row.Answer = encoded
		return c.settle(ctx, "finish", claim, row)
	}
	if c.settings.objects == nil {
		return newError("finish", KindUnknown, "no object store for an answer of this size")
	}
	sum := sha256.Sum256(encoded)
	row.Object = objectPrefix + hex.EncodeToString(sum[:])
	err = repeat(ctx, func() (bool, error) {
		err := c.settings.objects.PutObject(ctx, row.Object, encoded)
		return err == nil, err
	})
	if err != nil {
		return wrapError("finish", KindUnknown, err)
	}
	return c.settle(ctx, "finish", claim, row)
}

// Release gives a claim back. Only the attempt that made the claim may call it, and only before a byte of the request
// was sent to a target.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.claimLimit)
	defer cancel()
	return c.settle(ctx, "release", claim, claim.row(StateReleased))
}

// settle brings the row of a claim into its last state. A lost reply needs no special care: each repetition reads the
// row first, and at most one of the writes with the version of the claim can take effect.
func (c *Claimer) settle(ctx context.Context, operation string, claim Claim, last Row) error {
	err := repeat(ctx, func() (bool, error) {
		row, found, err := c.store.Read(ctx, claim.key)
		if err != nil {
			return false, err
		}
		own := found && row.Nonce == claim.nonce
		if own && row.State == StateRunning {
			return c.writeRow(ctx, claim.key, row.Version, last)
		}
		// A row that another attempt has claimed shows that an earlier write of this release took effect.
		if own && row.State == last.State || !own && last.State == StateReleased {
			return true, nil
		}
		return true, newError(operation, KindLost, "the row does not hold the running claim")
	})
	if err != nil && KindOf(err) != KindLost {
		return wrapError(operation, KindUnknown, err)
	}
	return err
}

// repeat calls the step until it is done or the context ends, with a growing pause after each call.
func repeat(ctx context.Context, step func() (done bool, err error)) error {
	pause := firstBackoff
	for {
		done, err := step()
		if done {
			return err
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if err == nil {
				err = ctx.Err()
			}
			return err
		}
		pause = min(2*pause, lastBackoff)
	}
}

// load returns the answer of a finished row. Its errors are of KindUnknown: the request did run.
func (c *Claimer) load(ctx context.Context, row Row) (*Answer, error) {
	encoded := row.Answer
	if row.Object != "" {
		if c.settings.objects == nil {
			return nil, newError("load answer", KindUnknown, "no object store")
		}
		body, err := c.settings.objects.GetObject(ctx, row.Object)
		if err != nil {
			return nil, wrapError("load answer", KindUnknown, err)
		}
		sum := sha256.Sum256(body)
		if strings.TrimPrefix(row.Object, objectPrefix) != hex.EncodeToString(sum[:]) {
			return nil, newError("load answer", KindUnknown, "the object does not match its name")
		}
		encoded = body
	}
	var answer Answer
	if err := json.Unmarshal(encoded, &answer); err != nil {
		return nil, wrapError("load answer", KindUnknown, err)
	}
	return &answer, nil
}

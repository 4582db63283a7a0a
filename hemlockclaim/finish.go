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
	// objectPrefix is followed by the SHA-256 hash of the encoded response, so that storing it again is harmless and a
	// corrupted or wrong object is detected.
	objectPrefix = "claim-answer-"
	minBackoff   = 20 * time.Millisecond
	maxBackoff   = 320 * time.Millisecond
)

// Finish stores the response of a claim and retries within its timeout; cancelling the context does not stop it. After an
// error, it is unknown whether the response is stored. If it is not, later requests with the key get a refusal with
// unknown outcome.
func (c *Claimer) Finish(ctx context.Context, claim Claim, response StoredResponse) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.finishTimeout)
	defer cancel()
	row := claim.row(StateFinished)
	encoded, err := json.Marshal(response)
	if err != nil {
		return wrapError("finish", KindUnknown, err)
	}
	if len(encoded) <= c.settings.maxInlineResponse {
		row.Response = encoded
		return c.settle(ctx, "finish", claim, row)
	}
	if c.settings.objects == nil {
		return newError("finish", KindUnknown, "the response exceeds the inline limit and there is no object store")
	}
	sum := sha256.Sum256(encoded)
	row.Object = objectPrefix + hex.EncodeToString(sum[:])
	err = retry(ctx, func() (bool, error) {
		err := c.settings.objects.PutObject(ctx, row.Object, encoded)
		return err == nil, err
	})
	if err != nil {
		return wrapError("finish", KindUnknown, err)
	}
	return c.settle(ctx, "finish", claim, row)
}

// Release makes the key of a claim available again. Only the attempt that made the claim may call it, and only if no
// byte of the request was sent to a target. Cancelling the context does not stop Release.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.claimTimeout)
	defer cancel()
	return c.settle(ctx, "release", claim, claim.row(StateReleased))
}

// settle writes the final state of a claim and retries until its context ends. A lost reply needs no special handling:
// each step reads the row first, and at most one of the writes with the version of the claim can take effect. If the table has
// returned from an older copy and lost the claim, a finished one is written anew, so that a repeated request gets its response.
func (c *Claimer) settle(ctx context.Context, operation string, claim Claim, final Row) error {
	err := retry(ctx, func() (bool, error) {
		row, found, err := c.store.Read(ctx, claim.key)
		if err != nil {
			return false, err
		}
		own := found && row.Nonce == claim.nonce
		lost, err := c.isLost(ctx, claim, row, found)
		if err != nil {
			return false, err
		}
		if own && row.State == StateRunning || lost && final.State == StateFinished {
			era, err := c.currentEra(ctx)
			if err != nil {
				return false, err
			}
			final.Era = era.Era
			return c.writeRow(ctx, claim.key, row.Version, final)
		}
		// Either the row has the final state, as an earlier write of this call has taken effect. Or the claim is to be
		// released and the row no longer belongs to it, as another attempt may have claimed the key after an earlier
		// write of this call.
		if own && row.State == final.State || !own && final.State == StateReleased {
			return true, nil
		}
		return true, newError(operation, KindLost, "the row no longer contains this running claim")
	})
	if err != nil && KindOf(err) != KindLost {
		return wrapError(operation, KindUnknown, err)
	}
	return err
}

// isLost reports whether the table has lost the row of the claim: in another era than that of the claim, there is none, or an earlier
// one, which can only be a released one.
func (c *Claimer) isLost(ctx context.Context, claim Claim, row Row, found bool) (bool, error) {
	if found && (row.Nonce == claim.nonce || row.State != StateReleased) {
		return false, nil
	}
	era, err := c.currentEra(ctx)
	return era.Era != claim.era, err
}

// retry calls step until it is done or the context ends, with exponential backoff between calls. It returns the error of
// the last call, or that of the context if the last call had none but was not done.
func retry(ctx context.Context, step func() (done bool, err error)) error {
	backoff := minBackoff
	for {
		done, err := step()
		if done {
			return err
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if err == nil {
				err = ctx.Err()
			}
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// loadResponse returns the response of a finished claim. Its errors are of KindUnknown, as the request has run.
func (c *Claimer) loadResponse(ctx context.Context, row Row) (*StoredResponse, error) {
	encoded := row.Response
	if row.Object != "" {
		if c.settings.objects == nil {
			return nil, newError("load response", KindUnknown, "the response is in an object and there is no object store")
		}
		body, err := c.settings.objects.GetObject(ctx, row.Object)
		if err != nil {
			return nil, wrapError("load response", KindUnknown, err)
		}
		sum := sha256.Sum256(body)
		if strings.TrimPrefix(row.Object, objectPrefix) != hex.EncodeToString(sum[:]) {
			return nil, newError("load response", KindUnknown, "the object does not match the checksum in its name")
		}
		encoded = body
	}
	var response StoredResponse
	if err := json.Unmarshal(encoded, &response); err != nil {
		return nil, wrapError("load response", KindUnknown, err)
	}
	return &response, nil
}

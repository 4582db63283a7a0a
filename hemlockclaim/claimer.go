package hemlockclaim

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// Claimer makes claims for one service. It is stateless and safe for concurrent use.
type Claimer struct {
	store    Store
	settings settings
	// service is the namespace of the keys.
	service string
	// retention is how long a key can be used; rows are kept for at least twice that time.
	retention time.Duration
}

type settings struct {
	eras              *EraTracker
	objects           ObjectStore
	clock             func() time.Time
	nonce             func() string
	claimTimeout      time.Duration
	finishTimeout     time.Duration
	maxInlineResponse int
}

// Option changes a setting of a Claimer.
type Option func(*settings)

// WithObjects sets the store of responses above the inline limit; without it, such responses are not stored.
func WithObjects(objects ObjectStore) Option {
	return func(s *settings) { s.objects = objects }
}

// WithEras sets the tracker of the table's eras; without it, the table is taken to never lose a row.
func WithEras(eras *EraTracker) Option {
	return func(s *settings) { s.eras = eras }
}

// WithClock sets the clock that determines the age of keys.
func WithClock(clock func() time.Time) Option {
	return func(s *settings) { s.clock = clock }
}

// WithNonce sets the generator of nonces, which must be globally unique.
func WithNonce(nonce func() string) Option {
	return func(s *settings) { s.nonce = nonce }
}

// WithTimeouts sets the timeout of Claim and Release and that of Finish; the defaults are 500 ms and 2 s.
func WithTimeouts(claim, finish time.Duration) Option {
	return func(s *settings) { s.claimTimeout, s.finishTimeout = claim, finish }
}

// WithInlineLimit sets the maximum size of an encoded response that is stored in the row; the default is 64 KiB.
func WithInlineLimit(size int) Option {
	return func(s *settings) { s.maxInlineResponse = size }
}

// New returns a Claimer for a service. Keys older than the retention are refused.
func New(store Store, service string, retention time.Duration, options ...Option) *Claimer {
	s := settings{
		clock: time.Now,
		nonce: uuid.NewString,
		// A caller must receive the refusal within 500 ms if the platform is unreachable.
		claimTimeout:      500 * time.Millisecond,
		finishTimeout:     2 * time.Second,
		maxInlineResponse: 64 << 10,
	}
	for _, o := range options {
		o(&s)
	}
	return &Claimer{store: store, settings: s, service: service, retention: retention}
}

// ForService returns a Claimer with the same store and settings for another service and retention.
func (c *Claimer) ForService(service string, retention time.Duration) *Claimer {
	changed := *c
	changed.service, changed.retention = service, retention
	return &changed
}

// Claim is the right to run one request at most once.
type Claim struct {
	key    string
	digest string
	nonce  string
	// era is the era of the table in which the claim was made.
	era string
}

func (c Claim) row(state State) Row {
	return Row{State: state, Digest: c.digest, Nonce: c.nonce, Era: c.era}
}

// maxClaimAttempts limits how often Claim writes, as other attempts may change the row between its read and its write.
const maxClaimAttempts = 3

// Claim claims the key of a request; digest is the Digest of the request. It returns one of three: a Claim, after which
// the request may be run; the stored response of an earlier attempt; or an error. If the response is not nil or there is
// an error, the request must not be run.
//
// Cancelling the context does not stop Claim, as an interrupted claim could leave a row that makes the key unusable.
func (c *Claimer) Claim(ctx context.Context, key, digest string) (Claim, *StoredResponse, error) {
	rowKey, err := checkKey(c.service, key, c.retention, c.settings.clock())
	if err != nil {
		return Claim{}, nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.claimTimeout)
	defer cancel()
	era, err := c.currentEra(ctx)
	if err != nil {
		return Claim{}, nil, wrapError("claim", KindUnavailable, err)
	}
	if err := c.checkLead(ctx, key, era); err != nil {
		return Claim{}, nil, err
	}
	claim := Claim{key: rowKey, digest: digest, nonce: c.settings.nonce(), era: era.Era}
	if mayBeLost(key, era) {
		return c.claimAfterLoss(ctx, claim, key)
	}
	return c.claim(ctx, claim, key, 0)
}

// claim writes the row of a claim if the row has the version, or if it is absent or released.
func (c *Claimer) claim(ctx context.Context, claim Claim, key string, version uint64) (Claim, *StoredResponse, error) {
	for range maxClaimAttempts {
		applied, err := c.write(ctx, claim, version, StateRunning)
		switch {
		case err == nil && applied:
			return c.confirm(claim, key)
		case KindOf(err) == KindUnavailable:
			return Claim{}, nil, err
		case err != nil:
			return c.readBack(ctx, claim, key, version, err)
		}
		row, found, err := c.store.Read(ctx, claim.key)
		if err != nil {
			// The condition failed because of another attempt, which may have run.
			return Claim{}, nil, wrapError("claim", KindInProgress, err)
		}
		if !found {
			version = 0
			continue
		}
		if row.State != StateReleased || row.Digest != claim.digest {
			response, err := c.responseOfOther(ctx, row, claim.digest)
			return Claim{}, response, err
		}
		version = row.Version
	}
	return Claim{}, nil, newError("claim", KindInProgress, "other attempts with this key are in progress")
}

func (c *Claimer) currentEra(ctx context.Context) (EraRecord, error) {
	if c.settings.eras == nil {
		return EraRecord{}, nil
	}
	return c.settings.eras.Current(ctx, c.settings.clock())
}

// checkLead returns an error of KindUnavailable if the time in the key is too far ahead for a claim yet.
func (c *Claimer) checkLead(ctx context.Context, key string, era EraRecord) error {
	if c.settings.eras == nil {
		return nil
	}
	now := c.settings.clock()
	id, _ := parseKey(key)
	allowed, err := c.settings.eras.AllowLead(ctx, era, issuedAt(id).Sub(now), now)
	if err != nil {
		return wrapError("claim", KindUnavailable, err)
	}
	if !allowed {
		return newError("claim", KindUnavailable, "the clock of the key's issuer is ahead of the node's; such keys are accepted within a minute")
	}
	return nil
}

// claimAfterLoss claims a key of which the table may have lost a row. Only a row of the current era proves that the key may be
// claimed.
func (c *Claimer) claimAfterLoss(ctx context.Context, claim Claim, key string) (Claim, *StoredResponse, error) {
	row, found, err := c.store.Read(ctx, claim.key)
	switch {
	case err != nil:
		return Claim{}, nil, wrapError("claim", KindUncertain, err)
	case !found || row.State == StateReleased && row.Era != claim.era:
		return Claim{}, nil, newError("claim", KindUncertain, "the table returned from an older copy since the key was issued")
	case row.State == StateReleased && row.Digest == claim.digest:
		return c.claim(ctx, claim, key, row.Version)
	}
	response, err := c.responseOfOther(ctx, row, claim.digest)
	return Claim{}, response, err
}

// confirm checks the age of the key again after the row was written. Without it, an attempt that is paused after the
// first check until Sweep has deleted the row of an earlier attempt could insert the row again and run a second time.
func (c *Claimer) confirm(claim Claim, key string) (Claim, *StoredResponse, error) {
	if _, err := checkKey(c.service, key, c.retention, c.settings.clock()); err != nil {
		return Claim{}, nil, err
	}
	return claim, nil, nil
}

// readBack determines the outcome of a claim after the reply to its write was lost.
func (c *Claimer) readBack(ctx context.Context, claim Claim, key string, version uint64, cause error,
) (Claim, *StoredResponse, error) {
	unavailable := wrapError("claim", KindUnavailable, cause)
	row, found, err := c.store.Read(ctx, claim.key)
	if err != nil {
		// The write may take effect later. The key is then unusable, but this attempt does not run.
		return Claim{}, nil, unavailable
	}
	if found && row.Nonce == claim.nonce && row.State == StateRunning {
		if row.ReadEra != claim.era {
			return Claim{}, nil, newError("claim", KindUncertain, "the table may have returned from an older copy during the claim")
		}
		return c.confirm(claim, key)
	}
	if row.Version == version {
		// The write has not taken effect but may still be in transit. A tombstone with the same condition makes it
		// fail. Whether or not the tombstone is written, this attempt does not run.
		_, _ = c.write(ctx, claim, version, StateReleased)
		return Claim{}, nil, unavailable
	}
	if !found || row.State == StateReleased && row.Digest == claim.digest {
		// The row has changed since, so the condition of the lost write can no longer hold.
		return Claim{}, nil, unavailable
	}
	response, err := c.responseOfOther(ctx, row, claim.digest)
	return Claim{}, response, err
}

// responseOfOther returns the stored response, or the error, for a row that belongs to another attempt or request.
func (c *Claimer) responseOfOther(ctx context.Context, row Row, digest string) (*StoredResponse, error) {
	if row.Digest != digest {
		return nil, newError("claim", KindMismatch, "the idempotency key was used with a different request")
	}
	if row.State != StateFinished {
		return nil, newError("claim", KindInProgress, "an earlier attempt with this key has no stored response")
	}
	return c.loadResponse(ctx, row)
}

func (c *Claimer) write(ctx context.Context, claim Claim, version uint64, state State) (bool, error) {
	return c.writeRow(ctx, claim.key, version, claim.row(state))
}

func (c *Claimer) writeRow(ctx context.Context, key string, version uint64, row Row) (bool, error) {
	applied, err := c.store.Write(ctx, []Change{{Key: key, Version: version, Row: row}})
	if err != nil {
		return false, err
	}
	if len(applied) != 1 {
		return false, newError("write", KindUnknown, "the number of results differs from the number of changes")
	}
	return applied[0], nil
}

package hemlockclaim

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// Claimer makes claims for one service. It holds no state; it is safe for concurrent use.
type Claimer struct {
	store    Store
	settings settings
	// service scopes the keys.
	service string
	// retention is how long a key can be used; rows are kept at least twice as long.
	retention time.Duration
}

type settings struct {
	objects      ObjectStore
	clock        func() time.Time
	nonce        func() string
	claimLimit   time.Duration
	finishLimit  time.Duration
	answerInline int
}

// Option changes a setting of a Claimer.
type Option func(*settings)

// WithObjects sets where answers above the inline limit are kept; without it they are not stored.
func WithObjects(objects ObjectStore) Option {
	return func(s *settings) { s.objects = objects }
}

// WithClock sets the clock that the age of keys is measured with.
func WithClock(clock func() time.Time) Option {
	return func(s *settings) { s.clock = clock }
}

// WithNonce sets the source of nonces; each must be unique for ever.
func WithNonce(nonce func() string) Option {
	return func(s *settings) { s.nonce = nonce }
}

// WithTimeouts sets how long Claim and Release, and how long Finish may take; the defaults are 500 ms and 2 s.
func WithTimeouts(claim, finish time.Duration) Option {
	return func(s *settings) { s.claimLimit, s.finishLimit = claim, finish }
}

// WithInlineLimit sets the largest encoded answer that is kept in the row; the default is 64 KiB.
func WithInlineLimit(size int) Option {
	return func(s *settings) { s.answerInline = size }
}

// New returns a Claimer for a service.
func New(store Store, service string, retention time.Duration, options ...Option) *Claimer {
	s := settings{
		clock: time.Now,
		nonce: uuid.NewString,
		// A caller must get the refusal within 500 ms when the platform is unreachable.
		claimLimit:   500 * time.Millisecond,
		finishLimit:  2 * time.Second,
		answerInline: 64 << 10,
	}
	for _, o := range options {
		o(&s)
	}
	return &Claimer{store: store, settings: s, service: service, retention: retention}
}

// ForService returns a Claimer for another service or retention with the same store.
func (c *Claimer) ForService(service string, retention time.Duration) *Claimer {
	changed := *c
	changed.service, changed.retention = service, retention
	return &changed
}

// Claim is the right to run one request once.
type Claim struct {
	key    string
	digest string
	nonce  string
}

func (c Claim) row(state State) Row {
	return Row{State: state, Digest: c.digest, Nonce: c.nonce}
}

// maxRounds bounds how often Claim starts again when other attempts change the row between its steps.
const maxRounds = 3

// Claim returns a Claim to run, or the stored answer, or an error. After an error the request must not be run.
//
// The steps do not end with the context: a claim that is cut short could leave a row that makes the key unusable.
func (c *Claimer) Claim(ctx context.Context, key, digest string) (Claim, *Answer, error) {
	name, err := rowKey(c.service, key, c.retention, c.settings.clock())
	if err != nil {
		return Claim{}, nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.claimLimit)
	defer cancel()
	claim := Claim{key: name, digest: digest, nonce: c.settings.nonce()}
	var version uint64
	for range maxRounds {
		applied, err := c.write(ctx, claim, version, StateRunning)
		switch {
		case err == nil && applied:
			return c.confirm(claim, key)
		case KindOf(err) == KindUnavailable:
			return Claim{}, nil, err
		case err != nil:
			return c.readBack(ctx, claim, key, version, err)
		}
		row, found, err := c.store.Read(ctx, name)
		if err != nil {
			// The failed condition shows that another attempt was here, which may have run.
			return Claim{}, nil, wrapError("claim", KindInProgress, err)
		}
		if !found {
			version = 0
			continue
		}
		if row.State != StateReleased || row.Digest != digest {
			answer, err := c.taken(ctx, row, digest)
			return Claim{}, answer, err
		}
		version = row.Version
	}
	return Claim{}, nil, newError("claim", KindInProgress, "other attempts with this key are under way")
}

// confirm returns a claim whose row was written. An attempt that is paused behind the first check of the key for so long
// that the sweep has deleted the row of an earlier attempt could insert a row again; the second check stops it.
func (c *Claimer) confirm(claim Claim, key string) (Claim, *Answer, error) {
	if _, err := rowKey(c.service, key, c.retention, c.settings.clock()); err != nil {
		return Claim{}, nil, err
	}
	return claim, nil, nil
}

// readBack decides a claim whose reply was lost.
func (c *Claimer) readBack(ctx context.Context, claim Claim, key string, version uint64, lost error,
) (Claim, *Answer, error) {
	refusal := wrapError("claim", KindUnavailable, lost)
	row, found, err := c.store.Read(ctx, claim.key)
	if err != nil {
		// The claim may take effect later. The key is unusable then, but this attempt does not run.
		return Claim{}, nil, refusal
	}
	if found && row.Nonce == claim.nonce && row.State == StateRunning {
		return c.confirm(claim, key)
	}
	if row.Version == version {
		// The claim is not visible, but may still be under way. A tombstone with the same condition makes it fail;
		// whatever the outcome of the tombstone, this attempt does not run.
		_, _ = c.write(ctx, claim, version, StateReleased)
		return Claim{}, nil, refusal
	}
	if !found || row.State == StateReleased && row.Digest == claim.digest {
		// The row has moved on, so that the lost claim fails its condition.
		return Claim{}, nil, refusal
	}
	answer, err := c.taken(ctx, row, claim.digest)
	return Claim{}, answer, err
}

// taken returns the answer or the error for a row that belongs to another attempt or request.
func (c *Claimer) taken(ctx context.Context, row Row, digest string) (*Answer, error) {
	if row.Digest != digest {
		return nil, newError("claim", KindMismatch, "the idempotency key was used with another request")
	}
	if row.State != StateFinished {
		return nil, newError("claim", KindInProgress, "an earlier attempt has no answer")
	}
	return c.load(ctx, row)
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
		return false, newError("write", KindUnknown, "the store reported on another number of changes")
	}
	return applied[0], nil
}

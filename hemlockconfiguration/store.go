package hemlockconfiguration

import (
	"context"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// Head is the content of the head row, the one row of the table that names the current version of the configuration.
type Head struct {
	// Version is the version of the configuration; 0 when nothing has been published yet.
	Version uint64 `json:"version"`
	// Digest is the digest of the configuration; it names the object with the encoded configuration.
	Digest string `json:"digest"`
	// Nonce identifies the publish that wrote the row.
	Nonce string `json:"nonce"`
}

// RowVersion is the version that the table gives to the head row at each write, for conditional writes; 0 means that
// the row does not exist. The table never uses a row version twice.
type RowVersion uint64

// Store is the durable store of the head row and of the configurations. After an error other than the kinds named
// here a write may have taken effect, or may still take effect later.
type Store interface {
	// ReadHead returns the zero Head and RowVersion 0 when the row does not exist. It must be linearizable.
	ReadHead(ctx context.Context) (Head, RowVersion, error)
	// SwapHead replaces the head row if it still has the old row version, and returns KindStale if it does not.
	SwapHead(ctx context.Context, old RowVersion, head Head) error
	// PutObject stores the body under the digest. It is not an error if the object already exists.
	PutObject(ctx context.Context, digest string, body []byte) error
	// GetObject returns KindNotFound when the object does not exist.
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Load returns the configuration that the head row names; for version 0 that is the empty configuration. A
// configuration of another version or digest than in the head row is an error of KindCorrupt.
func Load(ctx context.Context, store Store, head Head) (Configuration, error) {
	if head.Version == 0 {
		return Configuration{}, nil
	}
	body, err := store.GetObject(ctx, head.Digest)
	if err != nil {
		return Configuration{}, err
	}
	c, err := Decode(body)
	if err != nil {
		return Configuration{}, err
	}
	if c.Version != head.Version || c.Digest != head.Digest {
		return Configuration{}, hemlockerror.Wrap("load configuration", KindCorrupt, errors.Errorf(
			"the head row names version %d with digest %s, but the object has version %d with digest %s",
			head.Version, head.Digest, c.Version, c.Digest))
	}
	return c, nil
}

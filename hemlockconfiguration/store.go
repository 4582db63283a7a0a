package hemlockconfiguration

import (
	"context"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// Head is the row that names the configuration in force.
type Head struct {
	// Version is 0 when nothing has been published yet.
	Version uint64 `json:"version"`
	// Digest names the object that holds the configuration.
	Digest string `json:"digest"`
	// Nonce identifies the publish that wrote the head.
	Nonce string `json:"nonce"`
}

// RowVersion is the version of the head row in the table; 0 means that there is no row. The table never uses a
// version twice.
type RowVersion uint64

// HeadStore is the durable store of the head and of the configurations. An error other than the kinds named here
// leaves open whether a write took effect or will still take effect.
type HeadStore interface {
	// ReadHead returns the zero Head and RowVersion 0 when there is no row. It must be linearizable.
	ReadHead(ctx context.Context) (Head, RowVersion, error)
	// SwapHead replaces the head if the row still has the old version, and returns KindStale if it does not.
	SwapHead(ctx context.Context, old RowVersion, head Head) error
	// PutObject stores the body under the digest. An object that exists already is no error.
	PutObject(ctx context.Context, digest string, body []byte) error
	// GetObject returns KindMissing when there is no such object.
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Load returns the configuration that the head names, checked against the head.
func Load(ctx context.Context, store HeadStore, head Head) (Configuration, error) {
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
			"head names version %d with digest %s, the object holds version %d with digest %s",
			head.Version, head.Digest, c.Version, c.Digest))
	}
	return c, nil
}

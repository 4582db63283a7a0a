package hemlockclaim

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// State is the state of a claim row.
type State string

// The states of a claim row.
const (
	// StateRunning means that an attempt holds the claim and its request may have run.
	StateRunning State = "running"
	// StateFinished means that the request ran and its response is stored.
	StateFinished State = "finished"
	// StateReleased is a tombstone: the requests of all earlier claims did not and will not run, and the key can be
	// claimed again.
	StateReleased State = "released"
)

// Row is the row of one idempotency key.
type Row struct {
	// State is one of the State constants.
	State State `json:"state"`
	// Digest identifies the request that the key belongs to.
	Digest string `json:"digest"`
	// Nonce identifies the attempt that wrote the row and is unique to it.
	Nonce string `json:"nonce"`
	// Response is the JSON encoding of the response of a finished claim, unless Object is set.
	Response []byte `json:"answer,omitempty"`
	// Object is the name of the object that stores the response of a finished claim.
	Object string `json:"object,omitempty"`
	// Era is the era of the table for which the row was written; empty if the table states none. A write in another era counts as
	// one with an unknown outcome.
	Era string `json:"era,omitempty"`
	// Version is the version of the row in the table; it is not part of the encoding.
	Version uint64 `json:"-"`
	// ReadEra is the era in which the row was read; it is not part of the encoding.
	ReadEra string `json:"-"`
}

// EncodeRow returns the value of a row in the table.
func EncodeRow(row Row) []byte {
	// Encoding cannot fail, as a Row contains only strings and bytes.
	encoded, _ := json.Marshal(row)
	return encoded
}

// DecodeRow parses the value of a row.
func DecodeRow(value []byte, version uint64) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, errors.WithStack(err)
	}
	switch row.State {
	case StateRunning, StateFinished, StateReleased:
	default:
		return Row{}, errors.Errorf("unknown claim state %q", row.State)
	}
	row.Version = version
	return row, nil
}

// Change is one conditional write of a row.
type Change struct {
	// Key is the key of the row in the table.
	Key string
	// Version is the version that the row must have; 0 means that it must be absent.
	Version uint64
	// Row is the new row; its Version is ignored.
	Row Row
	// Delete removes the row instead; only Sweep sets it.
	Delete bool
}

// encodedSize estimates the bytes of the change in a transaction.
func (c Change) encodedSize() int {
	// The factor 4/3 accounts for the base64 encoding of the response, and the 100 bytes for field names and quotes.
	return len(c.Key) + len(c.Row.Digest) + len(c.Row.Nonce) + len(c.Row.Object) + len(c.Row.Response)*4/3 + 100
}

// Entry is a row together with its key.
type Entry struct {
	Key string
	Row Row
}

// Reader reads claim rows.
type Reader interface {
	// Read returns the row, or false if it is absent.
	Read(ctx context.Context, key string) (Row, bool, error)
}

// Writer writes claim rows. Each change is applied or fails independently of the others.
type Writer interface {
	// Write reports for each change, in the same order, whether it was applied; false means that its condition failed.
	// After an error of KindUnavailable, no change was or will be applied. After any other error, each change may have
	// been applied already or may still be applied later.
	Write(ctx context.Context, changes []Change) ([]bool, error)
}

// Store is the access to rows that a Claimer needs.
type Store interface {
	Reader
	Writer
}

// Transactor applies several changes atomically.
type Transactor interface {
	// Transact applies all changes, or none if any condition fails; it then returns the keys of the failed conditions.
	// The keys of the changes must be distinct. Errors have the same meaning as those of Writer.
	Transact(ctx context.Context, changes []Change) (failed []string, err error)
}

// Lister lists claim rows.
type Lister interface {
	// List returns up to limit rows whose keys have the prefix and are greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
}

// Table is the part of the platform's table API that claims need.
type Table interface {
	Reader
	Transactor
	Lister
}

// ObjectStore stores responses that are too large for a row.
type ObjectStore interface {
	// PutObject stores the object. If the object exists already, it stays unchanged and there is no error.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

type combinedStore struct {
	Reader
	Writer
}

// NewStore returns a Store with separate paths for reads and writes, for example the platform and a Batcher.
func NewStore(reader Reader, writer Writer) Store {
	return combinedStore{reader, writer}
}

// StoredResponse is the stored response to a request.
type StoredResponse struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header contains end-to-end headers only.
	Header http.Header `json:"header,omitempty"`
	// Body is the complete body.
	Body []byte `json:"body,omitempty"`
}

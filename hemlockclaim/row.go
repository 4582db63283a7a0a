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
	// StateRunning is a claim that was made; its request may have run.
	StateRunning State = "running"
	// StateFinished is a claim with an answer.
	StateFinished State = "finished"
	// StateReleased is a tombstone: the claims before it did not and will not run, and the key can be claimed again.
	StateReleased State = "released"
)

// Row is the row of one key.
type Row struct {
	// State is one of the State constants.
	State State `json:"state"`
	// Digest identifies the request that the key belongs to.
	Digest string `json:"digest"`
	// Nonce identifies the attempt that wrote the row; it is unique for each attempt.
	Nonce string `json:"nonce"`
	// Answer is the encoded answer of a finished claim, unless Object is set.
	Answer []byte `json:"answer,omitempty"`
	// Object names the object that holds the answer of a finished claim.
	Object string `json:"object,omitempty"`
	// Version is the version of the row in the table; it is not part of the encoding.
	Version uint64 `json:"-"`
}

// EncodeRow returns the value of a row in the table.
func EncodeRow(row Row) []byte {
	// A Row holds only strings and bytes, which always encode.
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

// Change is one conditional write.
type Change struct {
	// Key is the key of the row in the table.
	Key string
	// Version is the version that the row must have; 0 means that it must be absent.
	Version uint64
	// Row is the new row; its Version is ignored.
	Row Row
	// Delete removes the row instead; only the sweep does so.
	Delete bool
}

func (c Change) size() int {
	// The rest is field names, quotes and the base64 form of the answer.
	return len(c.Key) + len(c.Row.Digest) + len(c.Row.Nonce) + len(c.Row.Object) + len(c.Row.Answer)*4/3 + 100
}

// Entry is a row together with its key.
type Entry struct {
	Key string
	Row Row
}

// Reader reads rows.
type Reader interface {
	// Read returns the row, or false when it is absent.
	Read(ctx context.Context, key string) (Row, bool, error)
}

// Writer writes rows independently of each other.
type Writer interface {
	// Write reports for each change whether it was applied; false means that its condition failed. With an error of
	// KindUnavailable no change was or will be applied. With any other error, each change may have been applied and
	// may still be applied later.
	Write(ctx context.Context, changes []Change) ([]bool, error)
}

// Store is what a Claimer needs.
type Store interface {
	Reader
	Writer
}

// Transactor applies all changes or none.
type Transactor interface {
	// Transact returns the keys whose conditions failed; then no change was applied. Its errors are as for Writer. The
	// keys of the changes are distinct.
	Transact(ctx context.Context, changes []Change) (failed []string, err error)
}

// Lister lists rows.
type Lister interface {
	// List returns up to limit rows with the prefix in key order, beginning behind the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
}

// Table is the part of the platform's table that claims use.
type Table interface {
	Reader
	Transactor
	Lister
}

// ObjectStore holds answers that are too large for a row.
type ObjectStore interface {
	// PutObject stores the object; one that exists already is left as it is and is no error.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

type combinedStore struct {
	Reader
	Writer
}

// NewStore returns a Store that reads and writes on different ways, such as the platform and a Batcher.
func NewStore(reader Reader, writer Writer) Store {
	return combinedStore{reader, writer}
}

// Answer is the stored response to a request.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header holds end-to-end headers only.
	Header http.Header `json:"header,omitempty"`
	// Body is the whole body.
	Body []byte `json:"body,omitempty"`
}

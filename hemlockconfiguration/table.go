package hemlockconfiguration

import (
	"context"
	"encoding/json"

	"hemlockhollow/hemlockerror"
)

const (
	headKey      = "configuration/head"
	objectPrefix = "configuration/"
)

// Table is what the store needs of the platform's table service.
type Table interface {
	// ReadRow returns version 0 when there is no row.
	ReadRow(ctx context.Context, key string) (value []byte, version uint64, err error)
	// SwapRow writes the value if the row has the version, and returns false if it does not.
	SwapRow(ctx context.Context, key string, version uint64, value []byte) (bool, error)
}

// ObjectStore is what the store needs of the platform's object store.
type ObjectStore interface {
	// Put stores the body unless the object exists; an existing object is no error.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns false when there is no such object.
	Get(ctx context.Context, name string) ([]byte, bool, error)
}

// TableStore is the HeadStore over the platform: the head is one row of the table.
type TableStore struct {
	table   Table
	objects ObjectStore
}

// NewTableStore returns the store over a table and an object store.
func NewTableStore(table Table, objects ObjectStore) *TableStore {
	return &TableStore{table: table, objects: objects}
}

// ReadHead implements HeadStore.
func (s *TableStore) ReadHead(ctx context.Context) (Head, RowVersion, error) {
	value, version, err := s.table.ReadRow(ctx, headKey)
	if err != nil || version == 0 {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, 0, hemlockerror.Wrap("read head", KindCorrupt, err)
	}
	return head, RowVersion(version), nil
}

// SwapHead implements HeadStore.
func (s *TableStore) SwapHead(ctx context.Context, old RowVersion, head Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	swapped, err := s.table.SwapRow(ctx, headKey, uint64(old), value)
	if err == nil && !swapped {
		return hemlockerror.New("swap head", KindStale, "")
	}
	return err
}

// PutObject implements HeadStore.
func (s *TableStore) PutObject(ctx context.Context, digest string, body []byte) error {
	return s.objects.Put(ctx, objectPrefix+digest, body)
}

// GetObject implements HeadStore.
func (s *TableStore) GetObject(ctx context.Context, digest string) ([]byte, error) {
	body, found, err := s.objects.Get(ctx, objectPrefix+digest)
	if err == nil && !found {
		return nil, hemlockerror.New("get object", KindNotFound, digest)
	}
	return body, err
}

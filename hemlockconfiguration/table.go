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

// Table is the part of the platform's table service that TableStore uses.
type Table interface {
	// ReadRow returns version 0 when the row does not exist.
	ReadRow(ctx context.Context, key string) (value []byte, version uint64, err error)
	// SwapRow writes the value if the row has the given version, and returns false if it does not.
	SwapRow(ctx context.Context, key string, version uint64, value []byte) (bool, error)
}

// ObjectStore is the part of the platform's object store that TableStore uses.
type ObjectStore interface {
	// Put stores the body unless the object exists. It is not an error if the object already exists.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns false when the object does not exist.
	Get(ctx context.Context, name string) ([]byte, bool, error)
}

// TableStore is the Store of the platform: the head row is a row of its table, and the configurations are objects.
type TableStore struct {
	table   Table
	objects ObjectStore
}

// NewTableStore returns a store that uses the table and the object store.
func NewTableStore(table Table, objects ObjectStore) *TableStore {
	return &TableStore{table: table, objects: objects}
}

// ReadHead implements Store.
func (s *TableStore) ReadHead(ctx context.Context) (Head, RowVersion, error) {
	value, version, err := s.table.ReadRow(ctx, headKey)
	if err != nil || version == 0 {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, 0, hemlockerror.Wrap("read head row", KindCorrupt, err)
	}
	return head, RowVersion(version), nil
}

// SwapHead implements Store.
func (s *TableStore) SwapHead(ctx context.Context, old RowVersion, head Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	swapped, err := s.table.SwapRow(ctx, headKey, uint64(old), value)
	if err == nil && !swapped {
		return hemlockerror.New("swap head row", KindStale, "")
	}
	return err
}

// PutObject implements Store.
func (s *TableStore) PutObject(ctx context.Context, digest string, body []byte) error {
	return s.objects.Put(ctx, objectPrefix+digest, body)
}

// GetObject implements Store.
func (s *TableStore) GetObject(ctx context.Context, digest string) ([]byte, error) {
	body, found, err := s.objects.Get(ctx, objectPrefix+digest)
	if err == nil && !found {
		return nil, hemlockerror.New("get object", KindNotFound, digest)
	}
	return body, err
}

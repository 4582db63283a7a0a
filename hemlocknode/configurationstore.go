package hemlocknode

import (
	"context"

	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/platform/hemlockplatform"
)

// NewConfigurationStore returns the configuration store on the platform.
func NewConfigurationStore(client *hemlockplatform.Client) hemlockconfiguration.Store {
	return hemlockconfiguration.NewTableStore(tableRows{client}, objects{client})
}

// NewPublishingStore returns the configuration store on the platform for the publish command. With a publish, it also writes the record
// of the table's era, if there is none.
func NewPublishingStore(client *hemlockplatform.Client) hemlockconfiguration.Store {
	return publishingStore{Store: NewConfigurationStore(client), claims: hemlockplatform.NewClaimStore(client)}
}

type publishingStore struct {
	hemlockconfiguration.Store
	claims hemlockplatform.ClaimStore
}

// SwapHead implements hemlockconfiguration.Store.
func (s publishingStore) SwapHead(ctx context.Context, old hemlockconfiguration.RowVersion, head hemlockconfiguration.Head) error {
	if err := hemlockclaim.InitialiseEra(ctx, s.claims); err != nil {
		return err
	}
	return s.Store.SwapHead(ctx, old, head)
}

type tableRows struct {
	client *hemlockplatform.Client
}

// ReadRow implements hemlockconfiguration.Table.
func (t tableRows) ReadRow(ctx context.Context, key string) ([]byte, uint64, error) {
	row, err := t.client.GetRow(ctx, key)
	if hemlockplatform.KindOf(err) == hemlockplatform.KindNotFound {
		return nil, 0, nil
	}
	return row.Value, row.Version, err
}

// SwapRow implements hemlockconfiguration.Table.
func (t tableRows) SwapRow(ctx context.Context, key string, version uint64, value []byte) (bool, error) {
	_, err := t.client.Transact(ctx, []hemlockplatform.Write{{Key: key, IfVersion: version, Value: value}})
	if hemlockplatform.KindOf(err) == hemlockplatform.KindConflict {
		return false, nil
	}
	return err == nil, err
}

type objects struct {
	client *hemlockplatform.Client
}

// Put implements hemlockconfiguration.ObjectStore. It returns no error if the object already exists.
func (o objects) Put(ctx context.Context, name string, body []byte) error {
	err := o.client.PutObject(ctx, name, body)
	if hemlockplatform.KindOf(err) == hemlockplatform.KindConflict {
		return nil
	}
	return err
}

// Get implements hemlockconfiguration.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, bool, error) {
	body, err := o.client.GetObject(ctx, name)
	if hemlockplatform.KindOf(err) == hemlockplatform.KindNotFound {
		return nil, false, nil
	}
	return body, err == nil, err
}

// Package store is the table and object store of the platform stand-in, with fault injection. It keeps all data in
// memory and is not part of the product.
package store

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
)

// Row is a row of the table.
type Row struct {
	// Key is never empty.
	Key string `json:"key"`
	// Version is above zero.
	Version uint64 `json:"version"`
	// Value is a JSON value other than null.
	Value json.RawMessage `json:"value"`
}

// Write is one conditional write.
type Write struct {
	// Key is never empty.
	Key string `json:"key"`
	// IfVersion is the required version; 0 means that the row must be absent.
	IfVersion *uint64 `json:"if-version"`
	// Value is the new value; null deletes the row.
	Value json.RawMessage `json:"value"`
}

// Counts are the numbers of operations since the start, including those that failed, and the current number of rows.
type Counts struct {
	Reads        uint64 `json:"reads"`
	Lists        uint64 `json:"lists"`
	Transactions uint64 `json:"transactions"`
	Writes       uint64 `json:"writes"`
	Conflicts    uint64 `json:"conflicts"`
	Objects      uint64 `json:"objects"`
	Rows         int    `json:"rows"`
}

// Store is the table and the object store. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	rows    map[string]Row
	objects map[string][]byte
	// version is incremented by each write of a row, including deletions. Within an era it never decreases, so that no version is
	// used twice, not even when a deleted row is written again.
	version uint64
	// era is incremented by each Restore.
	era    uint64
	counts Counts
	// eraMutex is locked for reading during each call, so that the era that a response states is the one of the call. It is locked
	// before mutex.
	eraMutex sync.RWMutex
}

// New returns an empty store in era 1.
func New() *Store {
	return &Store{rows: map[string]Row{}, objects: map[string][]byte{}, era: 1}
}

// Copy is a copy of the content of a store.
type Copy struct {
	rows    map[string]Row
	objects map[string][]byte
	version uint64
}

// WithoutObjects returns the copy without its objects.
func (c Copy) WithoutObjects() Copy {
	c.objects = nil
	return c
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{rows: maps.Clone(s.rows), objects: maps.Clone(s.objects), version: s.version}
}

// Restore makes the store return from the copy, in a new era: what was written since the copy is lost, and its versions are assigned
// again.
func (s *Store) Restore(c Copy) {
	s.eraMutex.Lock()
	defer s.eraMutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows, s.objects, s.version = maps.Clone(c.rows), maps.Clone(c.objects), c.version
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.era++
}

// InEra runs calls of the store within one era, and returns its number, which rises with each Restore.
func (s *Store) InEra(run func()) uint64 {
	s.eraMutex.RLock()
	defer s.eraMutex.RUnlock()
	run()
	return s.era
}

// Transact applies all writes and returns nil, or applies none and returns the keys whose conditions failed.
func (s *Store) Transact(writes []Write) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Transactions++
	s.counts.Writes += uint64(len(writes))
	failed := []string{}
	for _, w := range writes {
		if s.rows[w.Key].Version != *w.IfVersion {
			failed = append(failed, w.Key)
		}
	}
	if len(failed) > 0 {
		s.counts.Conflicts++
		return failed
	}
	for _, w := range writes {
		s.version++
		if deletes(w.Value) {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = Row{Key: w.Key, Version: s.version, Value: w.Value}
	}
	return nil
}

func deletes(value json.RawMessage) bool {
	return len(value) == 0 || bytes.Equal(bytes.TrimSpace(value), []byte("null"))
}

// Read returns one row.
func (s *Store) Read(key string) (Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Reads++
	row, found := s.rows[key]
	return row, found
}

// List returns up to limit rows with the prefix, in key order and starting after the given key.
func (s *Store) List(prefix, after string, limit int) []Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Lists++
	rows := []Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}

// PutObject stores the object; with ifAbsent, it returns false when one of that name exists.
func (s *Store) PutObject(name string, body []byte, ifAbsent bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Objects++
	if _, exists := s.objects[name]; exists && ifAbsent {
		return false
	}
	s.objects[name] = slices.Clone(body)
	return true
}

// GetObject returns the object.
func (s *Store) GetObject(name string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Objects++
	body, found := s.objects[name]
	return body, found
}

// Counts returns the numbers of operations since the start and the current number of rows.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := s.counts
	counts.Rows = len(s.rows)
	return counts
}

package hemlockorganisation

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a request that is served for another organisation or without a valid key, and against directories in which a key
// has two owners.
func TestDirectoryKnowsExactlyItsKeys(t *testing.T) {
	keys := []string{"a", "b", "c", "d", "e", "f", "g", ""}
	rapid.Check(t, func(t *rapid.T) {
		owners, valid := map[string]string{}, true
		var entries []Entry
		for i := range rapid.IntRange(0, 3).Draw(t, "organisations") {
			e := Entry{Organisation: Organisation{Name: fmt.Sprint("o", i), Rank: uint8(i)}, Keys: rapid.SliceOfN(rapid.SampledFrom(keys), 0, 3).Draw(t, "keys")}
			entries = append(entries, e)
			for _, k := range e.Keys {
				owner, exists := owners[k]
				valid = valid && k != "" && (!exists || owner == e.Organisation.Name)
				owners[k] = e.Organisation.Name
			}
		}
		d, err := NewDirectory(entries)
		if (err == nil) != valid {
			t.Fatalf("error %v for the entries %v", err, entries)
		}
		if valid && (d.Len() != len(entries) || d.KeyCount() != len(owners)) {
			t.Fatalf("%d organisations and %d keys, want %d and %d", d.Len(), d.KeyCount(), len(entries), len(owners))
		}
		for _, k := range append(keys, "h") {
			if o, ok := d.Authenticate(k); valid && (o.Name != owners[k] || ok != (owners[k] != "")) {
				t.Fatalf("key %q: organisation %q, %t, want %q", k, o.Name, ok, owners[k])
			}
		}
	})
}

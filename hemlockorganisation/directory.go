package hemlockorganisation

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"sync"

	"hemlockhollow/hemlockerror"
)

// Entry is an organisation with its keys.
type Entry struct {
	Organisation Organisation
	// Keys are the keys in clear text. A key that is listed twice counts once.
	Keys []string
}

// Directory is the set of organisations of one configuration. It is immutable. It does not contain keys in clear text: it is
// indexed by their digests. A nil Directory has no organisations.
type Directory struct {
	organisations []Organisation
	byName        map[string]int
	// byDigest has the keys by the first eight bytes of their digest. The whole digests are compared in constant time.
	byDigest map[uint64][]digestedKey
	keyCount int
}

// digestedKey is a key of an organisation.
type digestedKey struct {
	digest digest
	// organisation is the index of the key's organisation.
	organisation int
}

type digest [sha256.Size]byte

// NewDirectory returns a directory. Its errors have one of the kinds of this package, and name organisations but no keys.
func NewDirectory(entries []Entry) (*Directory, error) {
	const operation = "make directory of organisations"
	d := &Directory{byName: make(map[string]int, len(entries)), byDigest: map[uint64][]digestedKey{}}
	for i, e := range entries {
		o := e.Organisation
		if !isValidName(o.Name) {
			return nil, hemlockerror.New(operation, KindName, "the name of an organisation is empty or not a valid header value")
		}
		if _, exists := d.byName[o.Name]; exists {
			return nil, hemlockerror.New(operation, KindName, "two organisations have the name "+o.Name)
		}
		if !o.Limit.isValid() {
			return nil, hemlockerror.New(operation, KindLimit, "a limit of "+o.Name+" is negative or not finite")
		}
		d.byName[o.Name] = i
		d.organisations = append(d.organisations, o)
		for _, key := range e.Keys {
			if key == "" {
				return nil, hemlockerror.New(operation, KindKey, "a key of "+o.Name+" is empty")
			}
			keyDigest := digestOf(key)
			owner, exists := d.find(keyDigest)
			if !exists {
				d.add(keyDigest, i)
				continue
			}
			if owner != i {
				return nil, hemlockerror.New(operation, KindKey,
					"a key belongs to both "+d.organisations[owner].Name+" and "+o.Name)
			}
		}
	}
	return d, nil
}

func (d *Directory) add(keyDigest digest, organisation int) {
	d.byDigest[keyDigest.index()] = append(d.byDigest[keyDigest.index()], digestedKey{keyDigest, organisation})
	d.keyCount++
}

// find returns the index of the organisation that has the key with a digest.
func (d *Directory) find(keyDigest digest) (int, bool) {
	for _, k := range d.byDigest[keyDigest.index()] {
		if subtle.ConstantTimeCompare(k.digest[:], keyDigest[:]) == 1 {
			return k.organisation, true
		}
	}
	return 0, false
}

// IsEmpty reports whether there are no organisations. Requests then need no key.
func (d *Directory) IsEmpty() bool { return d.Len() == 0 }

// Len returns the number of organisations.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.organisations)
}

// KeyCount returns the number of keys of all organisations.
func (d *Directory) KeyCount() int {
	if d == nil {
		return 0
	}
	return d.keyCount
}

// Authenticate returns the organisation that has a key, and false if none has it.
func (d *Directory) Authenticate(key string) (Organisation, bool) {
	if d.IsEmpty() {
		return Organisation{}, false
	}
	i, ok := d.find(digestOf(key))
	if !ok {
		return Organisation{}, false
	}
	return d.organisations[i], true
}

// Organisation returns the organisation with a name, and false if there is none.
func (d *Directory) Organisation(name string) (Organisation, bool) {
	if d == nil {
		return Organisation{}, false
	}
	i, ok := d.byName[name]
	if !ok {
		return Organisation{}, false
	}
	return d.organisations[i], true
}

// All returns the organisations in the order of the configuration. The caller must not change the slice.
func (d *Directory) All() []Organisation {
	if d == nil {
		return nil
	}
	return d.organisations
}

// digestKey returns the random key of this process for digests. Digests of one process are useless for another, and clients
// cannot choose keys whose digests have the same index.
var digestKey = sync.OnceValue(func() []byte {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // never fails
	return key
})

func digestOf(key string) digest {
	mac := hmac.New(sha256.New, digestKey())
	_, _ = mac.Write([]byte(key)) // never fails
	var d digest
	mac.Sum(d[:0])
	return d
}

// index returns the part of a digest by which a Directory is indexed.
func (d digest) index() uint64 { return binary.BigEndian.Uint64(d[:]) }

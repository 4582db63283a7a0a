// Package hemlockconfiguration holds the configuration that all nodes share, its encoding, the holder of the version
// in force and the protocol by which operators publish a new version.
package hemlockconfiguration

import (
	"maps"
	"slices"

	"hemlockhollow/hemlockservice"
)

// history is how many versions back a configuration tells which publish wrote them.
const history = 64

// Configuration is the set of all services at one version. It is immutable: its maps and slices are never changed
// after it was made, and callers must not change Services.
type Configuration struct {
	// Version rises by one with every accepted publish; 0 is the empty configuration before the first.
	Version uint64
	// Digest is the SHA-256 of the canonical JSON in lower-case hex; it names the object in the store.
	Digest string
	// Services are keyed by their names.
	Services map[string]hemlockservice.Service

	// changed is the version at which each service was last published or removed. Removed services stay in it, so
	// that a publish from an older base cannot bring them back unseen.
	changed map[string]uint64
	// nonces are those of the last versions, oldest first; the last one belongs to Version.
	nonces []nonce
}

// nonce identifies the publish that wrote a version.
type nonce struct {
	Version uint64 `json:"version"`
	Nonce   string `json:"nonce"`
}

// LastChanged returns the version at which the service was last published or removed; 0 means never.
func (c Configuration) LastChanged(service string) uint64 {
	return c.changed[service]
}

// writer returns the nonce of the publish that wrote the version. It returns false for versions that are newer than
// the configuration or that its history no longer covers.
func (c Configuration) writer(version uint64) (string, bool) {
	for _, n := range c.nonces {
		if n.Version == version {
			return n.Nonce, true
		}
	}
	return "", false
}

// next returns the configuration that follows when the changes are applied; a nil service is removed.
func (c Configuration) next(changes map[string]*hemlockservice.Service, publish string) Configuration {
	n := Configuration{
		Version:  c.Version + 1,
		Services: maps.Clone(c.Services),
		changed:  maps.Clone(c.changed),
		nonces:   append(slices.Clone(c.nonces), nonce{Version: c.Version + 1, Nonce: publish}),
	}
	if n.Services == nil {
		n.Services = map[string]hemlockservice.Service{}
	}
	if n.changed == nil {
		n.changed = map[string]uint64{}
	}
	if len(n.nonces) > history {
		n.nonces = n.nonces[len(n.nonces)-history:]
	}
	for name, s := range changes {
		n.changed[name] = n.Version
		if s == nil {
			delete(n.Services, name)
		} else {
			n.Services[name] = *s
		}
	}
	n.Digest = digestOf(n.canonical())
	return n
}

// Package hemlockconfiguration contains the configuration that all nodes share, its encoding, the holder of a node's
// active configuration and the protocol by which operators publish a new version.
package hemlockconfiguration

import (
	"maps"
	"slices"
	"time"

	"hemlockhollow/hemlockservice"
)

// maxNonces is the number of latest versions whose nonces a configuration keeps. Within this history a publisher whose
// reply was lost can find out whether its publish took effect.
const maxNonces = 64

// Configuration is the set of all services at one version. It is immutable: its maps and slices are never modified
// after its creation, and code that uses it must not modify Services.
type Configuration struct {
	// Version is incremented by every publish that takes effect; 0 is the empty configuration before the first publish.
	Version uint64
	// Digest is the SHA-256 of the canonical JSON in lower-case hexadecimal; it names the object in the store.
	Digest string
	// Services maps names to services.
	Services map[string]hemlockservice.Service

	// lastChanged is the version at which each service was last published or removed. It keeps removed services, so
	// that a publish with an older base version conflicts instead of silently adding them again.
	lastChanged map[string]uint64
	// nonces are those of the latest maxNonces versions, oldest first; the last one belongs to Version. A version has several if the
	// store lost the first publish that wrote it, and both were merged later.
	nonces []versionNonce
	// retentionChanges are the last changes of claim retentions, by service, whose wait had not ended at the last publish; nil if there
	// are none.
	retentionChanges map[string]retentionChange
}

// versionNonce is a version with the nonce, a unique random string, of the publish that wrote it.
type versionNonce struct {
	Version uint64 `json:"version"`
	Nonce   string `json:"nonce"`
}

// LastChanged returns the version at which the service was last published or removed; 0 means never.
func (c Configuration) LastChanged(service string) uint64 {
	return c.lastChanged[service]
}

// nonceOf returns the nonce of the publish that wrote the version. It returns false for versions that are newer than
// the configuration and for those whose nonces it no longer keeps.
func (c Configuration) nonceOf(version uint64) (string, bool) {
	for _, n := range c.nonces {
		if n.Version == version {
			return n.Nonce, true
		}
	}
	return "", false
}

// next returns the next version: this configuration with the changes applied, by service name. A nil service is
// removed. now dates the changes of claim retentions.
func (c Configuration) next(now time.Time, changes map[string]*hemlockservice.Service, nonce string) Configuration {
	n := Configuration{
		Version:          c.Version + 1,
		Services:         maps.Clone(c.Services),
		lastChanged:      maps.Clone(c.lastChanged),
		retentionChanges: c.retentionChangesWith(now, changes),
		nonces:           append(slices.Clone(c.nonces), versionNonce{Version: c.Version + 1, Nonce: nonce}),
	}
	if n.Services == nil {
		n.Services = map[string]hemlockservice.Service{}
	}
	if n.lastChanged == nil {
		n.lastChanged = map[string]uint64{}
	}
	n.nonces = slices.DeleteFunc(n.nonces, func(v versionNonce) bool { return v.Version+maxNonces <= n.Version })
	for name, s := range changes {
		n.lastChanged[name] = n.Version
		if s == nil {
			delete(n.Services, name)
		} else {
			n.Services[name] = *s
		}
	}
	n.Digest = digestOf(n.canonicalJSON())
	return n
}

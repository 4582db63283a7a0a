package hemlockconfiguration

import (
	"maps"
	"slices"
	"time"

	"hemlockhollow/hemlockservice"
)

// Versions alone do not identify configurations: after the store has returned from an older copy, a publish gets the version of one
// that the store has lost. The nonces do.

// Includes reports whether the other configuration is this one or one that this one is based on.
func (c Configuration) Includes(other Configuration) bool {
	if other.Version == 0 || c.Version == other.Version && c.Digest == other.Digest {
		return true
	}
	nonce, known := other.nonceOf(other.Version)
	return c.Version > other.Version && (!known || c.includesPublish(other.Version, nonce))
}

// includesHead is Includes for the configuration that a head row names.
func (c Configuration) includesHead(head Head) bool {
	if head.Version == c.Version && head.Version > 0 {
		return head.Digest == c.Digest
	}
	return head.Version == 0 || c.Version > head.Version && c.includesPublish(head.Version, head.Nonce)
}

// includesPublish reports whether this configuration is based on the publish that wrote a version. Versions whose nonces are no longer
// kept count as included.
func (c Configuration) includesPublish(version uint64, nonce string) bool {
	return version < c.oldestNonce() || slices.Contains(c.nonces, versionNonce{Version: version, Nonce: nonce})
}

// oldestNonce returns the first version whose nonce is kept, or the version after this one if there is none.
func (c Configuration) oldestNonce() uint64 {
	if len(c.nonces) == 0 {
		return c.Version + 1
	}
	return c.nonces[0].Version
}

// commonVersion returns the last version that both configurations are based on.
func (c Configuration) commonVersion(other Configuration) uint64 {
	common := max(c.oldestNonce(), other.oldestNonce()) - 1
	for _, n := range c.nonces {
		if slices.Contains(other.nonces, n) {
			common = max(common, n.Version)
		}
	}
	return common
}

// merge returns a configuration with the changes of both, of which neither includes the other. Of two changes of one service, the one
// in c stays. The version is above those of both, and both count as changes of it: a publish that is based on one of them conflicts
// with the changes of the other instead of reverting them.
func (c Configuration) merge(now time.Time, other Configuration, nonce string) Configuration {
	common := c.commonVersion(other)
	changes := map[string]*hemlockservice.Service{}
	for name, version := range other.lastChanged {
		if version > common {
			changes[name] = other.serviceOrNil(name)
		}
	}
	for name, version := range c.lastChanged {
		if version > common {
			changes[name] = c.serviceOrNil(name)
		}
	}
	merged := c
	merged.Version = max(c.Version, other.Version)
	merged.nonces = slices.Clone(c.nonces)
	for _, n := range other.nonces {
		if !slices.Contains(merged.nonces, n) {
			merged.nonces = append(merged.nonces, n)
		}
	}
	slices.SortStableFunc(merged.nonces, func(a, b versionNonce) int { return int(a.Version) - int(b.Version) })
	merged.retentionChanges = maps.Clone(other.retentionChanges)
	for name, r := range c.retentionChanges {
		if merged.retentionChanges == nil {
			merged.retentionChanges = map[string]retentionChange{}
		}
		if r.UnixSeconds >= merged.retentionChanges[name].UnixSeconds {
			merged.retentionChanges[name] = r
		}
	}
	return merged.next(now, changes, nonce)
}

func (c Configuration) serviceOrNil(name string) *hemlockservice.Service {
	if s, ok := c.Services[name]; ok {
		return &s
	}
	return nil
}

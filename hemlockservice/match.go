package hemlockservice

import (
	"net/url"
	"path"
	"strings"
)

// wildcardSuffix at the end of a pattern's path makes it match the path before the suffix and everything below it.
const wildcardSuffix = "/*"

// pattern is a match block: the requests with its method and path.
type pattern struct {
	// method is in upper case; empty matches every method.
	method string
	// path is in canonical form, with an optional wildcardSuffix at its end.
	path string
}

// prefix returns the path before the wildcard, and whether there is a wildcard.
func (p pattern) prefix() (string, bool) {
	return strings.CutSuffix(p.path, wildcardSuffix)
}

func (p pattern) matches(method, canonical string) bool {
	if p.method != "" && p.method != method {
		return false
	}
	prefix, wildcard := p.prefix()
	if !wildcard {
		return p.path == canonical
	}
	return canonical == prefix || strings.HasPrefix(canonical, prefix+"/")
}

// moreSpecific reports whether the pattern takes precedence over another one that matches the same request: an exact
// path over a wildcard, a longer wildcard over a shorter one, and of two equal paths the one with a method.
func (p pattern) moreSpecific(other pattern) bool {
	prefix, wildcard := p.prefix()
	otherPrefix, otherWildcard := other.prefix()
	switch {
	case wildcard != otherWildcard:
		return !wildcard
	case len(prefix) != len(otherPrefix):
		return len(prefix) > len(otherPrefix)
	default:
		return p.method != "" && other.method == ""
	}
}

// canonicalPath removes the query, the fragment, dot segments, empty segments and a trailing slash, and decodes percent
// encoding. Targets usually treat such variants of a path alike, so a request must not avoid its class, and with it the
// protection of repeat "never", by a variant of its path. It returns false for a malformed path.
func canonicalPath(raw string) (string, bool) {
	raw, _, _ = strings.Cut(raw, "?")
	raw, _, _ = strings.Cut(raw, "#")
	decoded, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(decoded, "/") {
		return "", false
	}
	return path.Clean(decoded), true
}

// Match returns the class of a request by its method, in upper or lower case, and by its path within the service, which
// may have a query. That is the class with the most specific matching block, or the default class if no block matches.
// Match returns false when there is no default class either and when the path is malformed.
func (s Service) Match(method, path string) (ClassRule, bool) {
	canonical, ok := canonicalPath(path)
	if !ok {
		return ClassRule{}, false
	}
	method = strings.ToUpper(method)
	var best pattern
	bestClass := -1
	for i, c := range s.classes {
		for _, p := range c.matches {
			if p.matches(method, canonical) && (bestClass < 0 || p.moreSpecific(best)) {
				best, bestClass = p, i
			}
		}
	}
	if bestClass >= 0 {
		return s.classes[bestClass], true
	}
	return s.Class(s.DefaultClass)
}

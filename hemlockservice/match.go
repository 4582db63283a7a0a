package hemlockservice

import (
	"net/url"
	"path"
	"strings"
)

// anyRemainder at the end of a pattern's path matches the path before it and everything below it.
const anyRemainder = "/*"

// pattern is one match block.
type pattern struct {
	// method is in upper case; empty matches every method.
	method string
	// path is in canonical form, with an optional anyRemainder at its end.
	path string
}

// prefix returns the path before the wildcard, and whether there is a wildcard.
func (p pattern) prefix() (string, bool) {
	return strings.CutSuffix(p.path, anyRemainder)
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

// moreSpecific orders the patterns that match one request: an exact path goes before a wildcard, a longer wildcard
// before a shorter one, and of two equal paths the one with a method goes first.
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

// canonicalPath removes the query, percent encoding, dot segments, empty segments and a trailing slash. Targets
// usually treat these spellings alike, so a request must not leave a class that is never repeated by being spelled
// another way.
func canonicalPath(raw string) (string, bool) {
	raw, _, _ = strings.Cut(raw, "?")
	raw, _, _ = strings.Cut(raw, "#")
	decoded, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(decoded, "/") {
		return "", false
	}
	return path.Clean(decoded), true
}

// Match returns the class of a request by its method and by its path within the service, which may have a query.
// The most specific match block decides; without one the default class does. It returns false when there is neither
// and when the path is malformed.
func (s Service) Match(method, path string) (ClassRule, bool) {
	canonical, ok := canonicalPath(path)
	if !ok {
		return ClassRule{}, false
	}
	method = strings.ToUpper(method)
	var best pattern
	found := -1
	for i, c := range s.classes {
		for _, p := range c.matches {
			if p.matches(method, canonical) && (found < 0 || p.moreSpecific(best)) {
				best, found = p, i
			}
		}
	}
	if found >= 0 {
		return s.classes[found], true
	}
	return s.Class(s.DefaultClass)
}

package hemlockroute

import (
	"slices"
	"strings"
	"sync/atomic"
)

// Table is one version of the routes. It is immutable.
type Table struct {
	version  uint64
	byHost   map[string][]*Route // longest prefix first
	byName   map[string]*Route
	services map[string]Service
	limits   ClientLimits
}

// NewTable returns a table of the routes.
func NewTable(version uint64, routes []Route, services map[string]Service, limits ClientLimits) *Table {
	t := &Table{version: version, byHost: map[string][]*Route{}, byName: map[string]*Route{}, services: services,
		limits: limits}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.byName[r.Name] = r
	}
	for _, ofHost := range t.byHost {
		slices.SortStableFunc(ofHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Version is the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on clients.
func (t *Table) Limits() ClientLimits { return t.limits }

// Service returns what is declared about a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.byName) }

// Match returns the route with the longest prefix that begins the path. The path may have a query.
func (t *Table) Match(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.byHost[NormaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NormaliseHost returns the host in lower case without a port.
func NormaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Holder holds the table in force. Versions only rise. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil before the first.
func (h *Holder) Current() *Table {
	return h.current.Load()
}

// Version returns the version in force, or 0.
func (h *Holder) Version() uint64 {
	if t := h.current.Load(); t != nil {
		return t.version
	}
	return 0
}

// Update puts a table in force if its version is higher, and reports whether it did.
func (h *Holder) Update(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.version >= t.version {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			return true
		}
	}
}

package hemlockroute

import (
	"slices"
	"strings"
	"sync/atomic"

	"hemlockhollow/hemlockorganisation"
)

// Table is one version of the routes, the services, the limits on clients and the organisations. It is immutable.
type Table struct {
	version  uint64
	byHost   map[string][]*Route // longest prefix first
	byName   map[string]*Route
	services map[string]Service
	limits   ClientLimits
	// organisations is nil if there are none.
	organisations *hemlockorganisation.Directory
}

// Option configures a Table.
type Option func(*Table)

// WithOrganisations sets the organisations. The default is none.
func WithOrganisations(organisations *hemlockorganisation.Directory) Option {
	return func(t *Table) { t.organisations = organisations }
}

// NewTable returns a table of the given version. The caller must not change the routes and the services afterwards. Of
// two routes with the same host and prefix, Match returns the earlier one.
func NewTable(version uint64, routes []Route, services map[string]Service, limits ClientLimits,
	options ...Option) *Table {
	t := &Table{version: version, byHost: map[string][]*Route{}, byName: map[string]*Route{}, services: services,
		limits: limits}
	for _, o := range options {
		o(t)
	}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.byName[r.Name] = r
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// WithHistory returns a copy of the table whose routes state when they were added, where the previous table is the one that it follows
// in this process; nil if there is none.
func (t *Table) WithHistory(previous *Table) *Table {
	if previous == nil {
		return t
	}
	routes := make([]Route, 0, len(t.byName))
	for _, hostRoutes := range t.byHost {
		for _, r := range hostRoutes {
			route := *r
			route.AddedIn = t.version
			if former, known := previous.byName[r.Name]; known {
				route.AddedIn = former.AddedIn
			}
			routes = append(routes, route)
		}
	}
	return NewTable(t.version, routes, t.services, t.limits, WithOrganisations(t.organisations))
}

// ChangesFrom returns the names of the routes that the previous table lacks, and of those that it has and this one lacks, in order. Both are
// empty without a previous table.
func (t *Table) ChangesFrom(previous *Table) (added, dropped []string) {
	if previous == nil {
		return nil, nil
	}
	return missingNames(t.byName, previous.byName), missingNames(previous.byName, t.byName)
}

// missingNames returns the names of the routes that other lacks, in order.
func missingNames(routes, other map[string]*Route) []string {
	var names []string
	for name := range routes {
		if other[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on clients.
func (t *Table) Limits() ClientLimits { return t.limits }

// Organisations returns the organisations. If there are none, the result may be nil, and its methods can be called all the same.
func (t *Table) Organisations() *hemlockorganisation.Directory { return t.organisations }

// Service returns the configuration of a service, and false if the table has no service of this name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.byName) }

// Match returns the route of the host with the longest prefix of the path, and false if there is none. The host may
// have a port, and the path a query.
func (t *Table) Match(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.byHost[NormaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NormaliseHost returns the host in lower case without a port. An IPv6 address must be in brackets.
func NormaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Holder holds the active table. The active version never decreases. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Table]
}

// Current returns the active table, or nil before the first.
func (h *Holder) Current() *Table {
	return h.current.Load()
}

// Version returns the active version, or 0 before the first.
func (h *Holder) Version() uint64 {
	if t := h.current.Load(); t != nil {
		return t.version
	}
	return 0
}

// Update makes a table the active one if its version is higher than the active version, and reports whether it did.
func (h *Holder) Update(t *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && current.version >= t.version {
			return false
		}
		if h.current.CompareAndSwap(current, t) {
			return true
		}
	}
}

// Replace makes a table the active one if it has the active version, and reports whether it did. It is for a version that has been
// assigned again.
func (h *Holder) Replace(t *Table) bool {
	current := h.current.Load()
	return current != nil && current.version == t.version && h.current.CompareAndSwap(current, t)
}

// Package hemlockroute holds the active routes, the services, the limits on clients and the organisations. A route says which services
// serve a request, how long that may take and whether the request may be retried. The package does no I/O.
package hemlockroute

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// WeightedService is one of the services that share the requests of a route.
type WeightedService struct {
	// Service is never empty.
	Service string
	// Weight is proportional to the fraction of the requests that the service gets; above zero.
	Weight float64
}

// Route describes how the requests of one host with one path prefix are served.
type Route struct {
	// Name identifies the route in all versions of the configuration.
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Splits has one entry or more.
	Splits []WeightedService
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time that a client waits for the response; above zero.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response has its full value; 0 means unknown.
	LatencyObjective time.Duration
	// Priority decides which requests are shed under overload: lower priorities first.
	Priority hemlockcall.Priority
	// MaxTargets is the maximum number of targets that one request may reach; at least 1.
	MaxTargets int
	// Public is set if requests need no key. It has no effect without organisations.
	Public bool
	// AddedIn is the version with which the route came to the tables that this process has used, or 0 if the first of them had it; see
	// Table.WithHistory.
	AddedIn uint64
}

// Service is the configuration of a service.
type Service struct {
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that a target accepts from all callers; 0 means unknown.
	MaxConnections int
}

// ClientLimits limits what a client may send.
type ClientLimits struct {
	// MaxHeaderBytes limits the request line and the headers together.
	MaxHeaderBytes int
	// MaxBodyBytes limits a request body.
	MaxBodyBytes int64
	// HeaderTimeout is how long a client may take to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

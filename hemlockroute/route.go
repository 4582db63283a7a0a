// Package hemlockroute holds the routes in force: which service serves a request, how long it may take, and what may be
// repeated. It does no I/O.
package hemlockroute

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Split is one of the services of a route.
type Split struct {
	// Service is never empty.
	Service string
	// Weight is the share of the requests relative to the other splits; above zero.
	Weight float64
}

// Route says how the requests below one prefix of a host are served.
type Route struct {
	// Name tells routes apart; it stays the same from version to version.
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Splits has one entry or more.
	Splits []Split
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting; above zero.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most; 0 means unknown.
	LatencyObjective time.Duration
	// Priority decides what is shed last.
	Priority hemlockcall.Priority
	// MaxAttempts is the largest number of targets that one request may be sent to; at least 1.
	MaxAttempts int
}

// Service is what the configuration says about a service.
type Service struct {
	// HealthPath is the path of the status check.
	HealthPath string
	// MaxConnections is the largest number of connections that a target accepts from all callers; 0 means unknown.
	MaxConnections int
}

// ClientLimits bound what a client may send.
type ClientLimits struct {
	// MaxHeaderBytes bounds the request line with the headers.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// HeaderTimeout is how long a client may take for the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

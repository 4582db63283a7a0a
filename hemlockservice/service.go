// Package hemlockservice reads the service files that operators write, and matches requests to their classes and
// callers to their customers.
//
// A file has one block service "NAME" with these keys:
//
//	slots             requests that one target runs at a time; required
//	connections       connections that one target accepts; required, at least slots
//	not-run-statuses  response statuses that mean "not run"; 400 to 599
//	claim-retention   oldest idempotency key that is accepted; 1m to 720h, default 48h
//	default-class     class of requests that no match block matches; without it they are refused
//	default-rank      rank of customers that the file does not name; 0 to 255, default 255
//
// Blocks class "NAME" have match blocks and these keys:
//
//	priority    critical, important or sheddable; required
//	repeat      never or safe; required
//	timeout     how long a caller waits; required, 10ms to 10m
//	retries     allowance for the whole call chain; 0 to 16, default 0
//	max-body    largest request body; 1B to 4GiB, default 1MiB; for repeat "never" up to 256KiB, default 256KiB
//	max-answer  largest response body; up to 4GiB, default 64MiB; for repeat "never" up to 1MiB, default 64KiB
//
// A match block has a path, and a method unless it matches all methods. A trailing /* of the path matches the path
// before it and everything below. Blocks customer "NAME" have a rank (0 is served first) and optionally token-sha256.
package hemlockservice

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
)

// Service is the content of one service file. It is immutable; its slices are reached through methods that copy.
type Service struct {
	// Name is the first segment of callers' paths; lower case, digits and hyphens.
	Name string
	// Slots is how many requests one target of the service runs at a time; above zero.
	Slots int
	// Connections is how many connections one target accepts; at least Slots.
	Connections int
	// ClaimRetention is how old an idempotency key may be.
	ClaimRetention time.Duration
	// DefaultClass is the class of requests that no match block matches; empty means that they are refused.
	DefaultClass string
	// DefaultRank is the rank of customers that the file does not name.
	DefaultRank uint8

	notRun    []int
	classes   []ClassRule
	customers []Customer
}

// ClassRule is a class with its limits and the requests that it matches.
type ClassRule struct {
	hemlockcall.Class
	// MaxRequestBody is the largest request body in bytes.
	MaxRequestBody int64
	// MaxResponseBody is the largest response body in bytes. For a class that is never repeated it also bounds what a
	// claim stores.
	MaxResponseBody int64

	matches []pattern
}

// Customer is a caller that the service file names.
type Customer struct {
	// Name is what the caller sends in Hemlock-Customer.
	Name string
	// Rank orders customers of one priority; 0 is served first.
	Rank uint8

	// digest is the SHA-256 of the customer's token, or nil when the customer needs none.
	digest []byte
}

// NeedsToken reports whether the customer has to authenticate.
func (c Customer) NeedsToken() bool {
	return c.digest != nil
}

// IsNotRunStatus reports whether a response status of the target means that the request was not run.
func (s Service) IsNotRunStatus(status int) bool {
	return slices.Contains(s.notRun, status)
}

// NotRunStatuses returns the statuses that mean "not run", in rising order.
func (s Service) NotRunStatuses() []int {
	return slices.Clone(s.notRun)
}

// Classes returns the classes in the order of the file.
func (s Service) Classes() []ClassRule {
	return slices.Clone(s.classes)
}

// Class returns the class of the given name.
func (s Service) Class(name string) (ClassRule, bool) {
	for _, c := range s.classes {
		if c.Name == name {
			return c, true
		}
	}
	return ClassRule{}, false
}

// Customers returns the named customers in the order of the file.
func (s Service) Customers() []Customer {
	return slices.Clone(s.customers)
}

// Customer returns the customer of the given name. It returns false when the file does not name the customer, and
// when the customer has a token digest that the token does not match.
func (s Service) Customer(name, token string) (Customer, bool) {
	for _, c := range s.customers {
		if c.Name != name {
			continue
		}
		if c.digest == nil {
			return c, true
		}
		// The comparison takes constant time, so that its duration does not tell how much of a digest was right.
		digest := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(digest[:], c.digest) == 1 {
			return c, true
		}
		return Customer{}, false
	}
	return Customer{}, false
}

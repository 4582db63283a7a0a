// Package hemlockservice reads the service files that operators write, and matches requests to their classes and
// callers to their customers.
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
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxAnswer is the largest response body in bytes. For a class that is never repeated it also bounds what a
	// claim stores.
	MaxAnswer int64

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

// NotRun reports whether a response status of the target means that the request was not run.
func (s Service) NotRun(status int) bool {
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

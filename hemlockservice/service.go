// Package hemlockservice parses and checks the service files that operators write. It finds the class of a request and
// the customer of a caller.
//
// A file has one block service "NAME" with these keys:
//
//	slots             requests that one target runs at a time; required
//	connections       connections that one target accepts; required, at least slots
//	not-run-statuses  response statuses by which a target says that it did not run the request; 400 to 599
//	claim-retention   maximum age of an idempotency key that is accepted; 1m to 720h, default 48h
//	default-class     class of requests that no match block matches; without it they are refused
//	default-rank      rank of customers that the file does not name; 0 to 255, default 255
//
// Blocks class "NAME" describe how the requests of one kind are served. They have match blocks and these keys:
//
//	priority    critical, important or sheddable; required
//	repeat      never (run at most once, by an idempotency key) or safe (idempotent, may be retried); required
//	timeout     how long a caller waits for the response; required, 10ms to 10m
//	retries     retry budget of the call tree, a customer request with all nested calls that its run makes; 0 to 16,
//	            default 0
//	max-body    maximum size of a request body; 1B to 4GiB, default 1MiB; for repeat "never" up to 256KiB, default 256KiB
//	max-answer  maximum size of a response body; 1B to 4GiB, default 64MiB; for repeat "never" up to 1MiB, default 64KiB
//
// A match block has a path, and a method unless it matches all methods. A trailing /* of the path matches the path
// before it and everything below. Blocks customer "NAME" have a rank (0 to 255, 0 is served first) and optionally
// token-sha256, the SHA-256 of the token that the customer has to send, in lower-case hexadecimal.
package hemlockservice

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
)

// Service is the content of one service file. It is immutable; methods return copies of its slices.
type Service struct {
	// Name is the first segment of the paths that callers request; lower-case letters, digits and hyphens.
	Name string
	// Slots is the number of requests that one target of the service runs at a time; above zero.
	Slots int
	// Connections is the number of connections that one target accepts; at least Slots.
	Connections int
	// ClaimRetention is the maximum age of an idempotency key that is accepted.
	ClaimRetention time.Duration
	// DefaultClass is the class of requests that no match block matches; empty means that they are refused.
	DefaultClass string
	// DefaultRank is the rank of customers that the file does not name.
	DefaultRank uint8

	notRunStatuses []int
	classes        []ClassRule
	customers      []Customer
}

// ClassRule is a class with its size limits and its match blocks.
type ClassRule struct {
	hemlockcall.Class
	// MaxRequestBody is the maximum size of a request body in bytes.
	MaxRequestBody int64
	// MaxResponseBody is the maximum size of a response body in bytes. For a class with AtMostOnce it also limits the
	// response that a claim stores.
	MaxResponseBody int64

	matches []pattern
}

// Customer is a customer that the service file names.
type Customer struct {
	// Name is the name that a caller sends in the header Hemlock-Customer.
	Name string
	// Rank orders customers within one priority and depth; 0 is served first.
	Rank uint8

	// tokenDigest is the SHA-256 of the customer's token, or nil if the customer needs no token.
	tokenDigest []byte
}

// NeedsToken reports whether requests of the customer need its token.
func (c Customer) NeedsToken() bool {
	return c.tokenDigest != nil
}

// IsNotRunStatus reports whether a target says by this response status that it did not run the request.
func (s Service) IsNotRunStatus(status int) bool {
	return slices.Contains(s.notRunStatuses, status)
}

// NotRunStatuses returns the statuses for which IsNotRunStatus is true, in increasing order.
func (s Service) NotRunStatuses() []int {
	return slices.Clone(s.notRunStatuses)
}

// Classes returns the classes in the order of the file.
func (s Service) Classes() []ClassRule {
	return slices.Clone(s.classes)
}

// Class returns the class of the given name, and whether there is one.
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
// when the customer has a token digest that is not that of the token.
func (s Service) Customer(name, token string) (Customer, bool) {
	for _, c := range s.customers {
		if c.Name != name {
			continue
		}
		if c.tokenDigest == nil {
			return c, true
		}
		// The comparison takes constant time, so that its duration does not reveal how much of a digest was right.
		digest := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(digest[:], c.tokenDigest) == 1 {
			return c, true
		}
		return Customer{}, false
	}
	return Customer{}, false
}

// Package hemlockorganisation holds the organisations (customers) of a configuration: their API keys, ranks and limits. It
// recognises the organisation of a request by its key, at the rate of all requests that arrive at a host. The package does no I/O.
package hemlockorganisation

import (
	"math"
	"strings"

	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindName means that a name is empty, is not a valid value of a header, or belongs to two organisations.
	KindName Kind = "name"
	// KindKey means that a key is empty or belongs to two organisations.
	KindKey Kind = "key"
	// KindLimit means that a limit is negative or not finite.
	KindLimit Kind = "limit"
)

// Error is the error type of this package. Its text never contains a key.
type Error = hemlockerror.Error[Kind]

// DefaultRank is the rank of organisations without a rank of their own, and of calls without an organisation.
const DefaultRank uint8 = 1

// Organisation is a customer.
type Organisation struct {
	// Name is not empty, and valid as the value of a header.
	Name string
	// Rank orders organisations before the priority of their calls; 0 is the most important.
	Rank uint8
	// Limit limits the requests of the organisation over all hosts together.
	Limit Limit
}

// Limit is the quota of an organisation. The zero value means no limit.
type Limit struct {
	// Rate is the number of requests per second; finite and not negative. 0 means no limit, whatever the burst is.
	Rate float64
	// Burst is the number of requests that may exceed the rate; finite and not negative.
	Burst float64
}

// Unlimited reports whether the organisation may send any number of requests.
func (l Limit) Unlimited() bool { return l.Rate == 0 }

func (l Limit) isValid() bool {
	for _, v := range []float64{l.Rate, l.Burst} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// isValidName reports whether a name can be sent as the value of a header and arrives unchanged: control characters would end the
// header line, and spaces around the value are dropped by the receiver.
func isValidName(name string) bool {
	return name != "" && strings.Trim(name, " ") == name &&
		!strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

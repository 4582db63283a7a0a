package hemlockquota

import "time"

// Request asks a pool for tokens and renews what the sender has lent to it.
type Request struct {
	// From is the address of the sender.
	From string
	// Level is 0 for a pool of a zone and 1 for a pool of all zones.
	Level int
	// Partition and Partitions state for which organisations the sender lends Lent.
	Partition, Partitions int
	// Clock is a lower bound of the pool's clock when the request was sent, from the clock of its last answer; 0 before the first one. With
	// it a pool recognises requests that were delayed, without clocks that agree.
	Clock uint64
	// Lent is what the sender lends of the quota of every organisation of the partition. 0 leaves an earlier loan until its end.
	Lent Fraction
	// Lease is how long the loan lasts after the receipt.
	Lease time.Duration
	// Population is the number of nodes that share the quotas, as the sender knows it; 0 if its view is not settled.
	Population int
	// Reclaimed is set if the sender takes back what it has lent.
	Reclaimed bool
	// Number identifies the loans that hold after this request, at level 1; 0 if they cannot be renewed by Renews.
	Number uint64
	// Renews is the number of the request whose loans continue, with a new lease, for the organisations that this one does not mention; 0
	// if their loans end. A pool that does not know the loans by this number ignores the whole request.
	Renews uint64
	// DemandsOnly is set if the loans of the sender stay as they are, without a new lease.
	DemandsOnly bool
	Demands     []Demand
}

// maxDemands bounds the organisations in one request; further ones wait for the next.
const maxDemands = 4096

// Demand is the part of a Request about one organisation.
type Demand struct {
	Organisation string
	Wanted       int
	// Returned tokens were granted earlier and not used.
	Returned int
	// Lent is what the sender lends of the quota of this organisation, at level 1 only; 0 ends a loan.
	Lent Fraction
}

// Answer is the answer of a pool.
type Answer struct {
	// Accepted is set if the pool counts what the request lends. Otherwise it has ignored the whole request.
	Accepted bool
	// Population is the number of nodes that share the quotas, as the pool knows it; 0 if its view is not settled.
	Population int
	// Clock is the pool's clock in microseconds.
	Clock uint64
	// Number is that of the request, if the pool knows its loans by this number.
	Number uint64
	Grants []Grant
}

// Add adds the result of a ticket that asked for missing tokens of an organisation.
func (a *Answer) Add(organisation string, t *Ticket) {
	for i := range a.Grants {
		if g := &a.Grants[i]; g.Organisation == organisation {
			g.Granted += t.Tokens
			if t.Outcome != Unavailable {
				g.Wait = min(g.Wait, t.Wait)
			}
			return
		}
	}
	if t.Tokens > 0 {
		a.Grants = append(a.Grants, Grant{Organisation: organisation, Granted: t.Tokens, Wait: t.Wait})
	}
}

// Grant is the part of an Answer about one organisation. There is none for organisations that the pool does not know.
type Grant struct {
	Organisation string
	Granted      int
	// Wait is the time until there is a token if fewer were granted than wanted.
	Wait time.Duration
}

// Message is a request that is to be sent. The sender reports its result with Answered or Failed.
type Message struct {
	Address string
	Request Request

	slot     *slot
	sequence uint64
	sentAt   time.Time
	// lends is set if the request may make the pool count a loan.
	lends bool
	// transfers are the wanted tokens that go with fractions that the sender takes back, by organisation.
	transfers map[string]int
}

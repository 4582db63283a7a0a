package hemlockadmission

import (
	"math"
	"time"
)

const (
	// minServedRatio is the part of an organisation's requests that is guaranteed, relative to the part of all requests that is
	// served. Without it, organisations of a low rank, or with a load far above that of others, get nothing while others fill the
	// target. A quarter is required. With exactly that, 0.148 were served in the test where 0.149 were due.
	minServedRatio = 0.28
	// maxCredit limits how many requests an organisation may place before all others at once.
	maxCredit = 2
	// servedWindow is the number of offered requests from which on the counts of offered and served ones are halved. A gate gets
	// them within seconds.
	servedWindow = 256
	// maxAccounts limits the memory for accounts to about 2 MB. Further organisations share one account.
	maxAccounts = 4096
	// sweptPerOffer is how many accounts each offer checks for expiry. As an offer adds at most one account, the expired ones
	// are found faster than new ones are added.
	sweptPerOffer = 2
	// unownedRank is the organisation rank of requests without an organisation: the middle one.
	unownedRank = 1
	// goldenRatio spreads the initial credits evenly; see open.
	goldenRatio = 0.6180339887498949
)

// accounts holds the accounts of the organisations that have used the target recently.
type accounts[T any] struct {
	enabled      bool
	serviceOrder serviceOrder
	epoch        time.Time
	byName       map[string]*account[T] // at most maxAccounts
	all          []*account[T]          // those of byName
	next         int                    // index in all from which on the next offer checks for expiry
	created      uint64
	// overflow is the common account of further organisations once there are maxAccounts.
	overflow account[T]
	// unowned has the credit of the requests without an organisation. Nothing else is counted in it.
	unowned account[T]
	// offered and served are recent counts of the requests of all organisations and of those without one.
	offered, served float64
	// guaranteed counts the requests that were placed before all others.
	guaranteed uint64
	refused    [groupCount]uint64
}

func newAccounts[T any](o serviceOrder, enabled bool) accounts[T] {
	s := accounts[T]{enabled: enabled, serviceOrder: o, byName: map[string]*account[T]{}}
	s.overflow.initialise(o)
	return s
}

// initialise makes the queues of an account without amounts.
func (a *account[T]) initialise(o serviceOrder) {
	for i := range a.flows {
		a.flows[i].tickets = newQueue[*Ticket[T]](o)
	}
	a.receivedLevel, a.totalLevel = math.Inf(-1), math.Inf(-1)
}

// inUse reports whether an organisation has used the target recently. Otherwise, requests are handled as without organisations.
func (s *accounts[T]) inUse() bool {
	return len(s.all) > 0
}

// open sets the organisation rank and the account of a ticket that is offered, and drops expired accounts.
func (s *accounts[T]) open(now time.Time, t *Ticket[T]) {
	t.organisationRank = unownedRank
	if s.inUse() {
		s.sweep(now)
	}
	if !s.enabled || t.Attributes.Organisation == "" {
		return
	}
	t.organisationRank = t.Attributes.OrganisationRank
	t.account = s.byName[t.Attributes.Organisation]
	switch {
	case t.account != nil:
	case len(s.all) >= maxAccounts:
		t.account = &s.overflow
	default:
		t.account = s.add(now, t.Attributes.Organisation)
	}
	t.account.tickets++
}

// add adds the account of an organisation. The initial credit is between 0 and 1, evenly spread over the new accounts: an
// organisation whose requests are so rare that its account expires in between is then guaranteed its share on average.
func (s *accounts[T]) add(now time.Time, name string) *account[T] {
	if s.epoch.IsZero() {
		s.epoch = now
		s.overflow.epoch, s.overflow.at = now, now
	}
	s.created++
	_, credit := math.Modf(float64(s.created) * goldenRatio)
	a := &account[T]{name: name, index: len(s.all), epoch: s.epoch, at: now, credit: credit}
	a.initialise(s.serviceOrder)
	s.byName[name] = a
	s.all = append(s.all, a)
	return a
}

// sweep drops expired accounts, a few at a time.
func (s *accounts[T]) sweep(now time.Time) {
	for range min(sweptPerOffer, len(s.all)) {
		s.next = (s.next + 1) % len(s.all)
		a := s.all[s.next]
		if !a.expired(now) {
			continue
		}
		n := len(s.all) - 1
		s.all[a.index] = s.all[n]
		s.all[a.index].index = a.index
		s.all[n] = nil
		s.all = s.all[:n]
		delete(s.byName, a.name)
		if n == 0 {
			return
		}
	}
}

// creditAccount returns the account whose credit counts for a ticket.
func (s *accounts[T]) creditAccount(t *Ticket[T]) *account[T] {
	if t.account == nil {
		return &s.unowned
	}
	return t.account
}

// recordOffer counts a request that competes for a slot, and adds the guaranteed part of it to the credit of its organisation.
func (s *accounts[T]) recordOffer(t *Ticket[T]) {
	if !s.inUse() {
		return
	}
	if s.offered >= servedWindow {
		s.offered, s.served = s.offered/2, s.served/2
	}
	s.offered++
	servedPart := min(1, (s.served+1)/s.offered)
	a := s.creditAccount(t)
	a.credit = min(maxCredit, a.credit+minServedRatio*servedPart)
}

// guarantee puts a ticket that has to wait before all others if its organisation has the credit for it.
func (s *accounts[T]) guarantee(t *Ticket[T]) {
	if a := s.creditAccount(t); s.inUse() && a.credit >= 1 {
		a.credit--
		t.guaranteed = true
		s.guaranteed++
	}
}

// admit counts a request that starts to run.
func (s *accounts[T]) admit(now time.Time, t *Ticket[T]) {
	if !s.inUse() {
		return
	}
	s.served++
	if a := s.creditAccount(t); !t.guaranteed {
		a.credit = max(0, a.credit-1)
	}
	if t.account != nil {
		t.account.admit(now, t)
	}
}

// refuse ends the use of the account by a ticket that is not queued any more and will not run, and gives back its credit.
func (s *accounts[T]) refuse(t *Ticket[T]) {
	if t.guaranteed {
		a := s.creditAccount(t)
		a.credit = min(maxCredit, a.credit+1)
	}
	if t.account != nil {
		t.account.tickets--
	}
}

// finish counts the slot time of a request that has run.
func (s *accounts[T]) finish(now time.Time, t *Ticket[T], serviceTime time.Duration) {
	if t.account != nil {
		t.account.tickets--
		t.account.finish(now, t, serviceTime)
	}
}

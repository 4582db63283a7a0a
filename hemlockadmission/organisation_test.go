package hemlockadmission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against an organisation rank that does not go before the priority, against calls without an organisation that gain
// or lose by the rank in their attributes, and against an organisation that counts although OrganisationOrder is disabled.
func TestServiceOrderOfOrganisations(t *testing.T) {
	attributes := func(organisation string, rank uint8, priority hemlockcall.Priority) Attributes {
		return Attributes{Organisation: organisation, OrganisationRank: rank, Priority: priority, Remaining: time.Minute}
	}
	offered := []Attributes{attributes("low", 2, hemlockcall.Critical), attributes("", 0, hemlockcall.Important),
		attributes("", 9, hemlockcall.Critical), attributes("high", 0, hemlockcall.Sheddable)}
	for name, test := range map[string]struct {
		options []Option
		want    []int
	}{
		"enabled":  {[]Option{asAtGate}, []int{3, 2, 1, 0}},
		"disabled": {[]Option{asAtGate, WithoutMechanisms(OrganisationOrder)}, []int{0, 2, 1, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			var decided []*Ticket[int]
			c := New(1, func(k *Ticket[int]) { decided = append(decided, k) }, append(test.options, WithQueueSize(9))...)
			running, got := c.Offer(start, attributes("", 1, hemlockcall.Critical), -1), []int(nil)
			for i, a := range offered {
				c.Offer(start, a, i)
			}
			for range offered {
				c.Finish(start, running, Outcome{})
				running = decided[len(decided)-1]
				got = append(got, running.Value)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("served in the order %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against an organisation whose served requests do not use up its credit, so that it goes before others although it is
// served as often, and against a credit that is lost with a request that was cancelled.
func TestCreditFollowsTheServedRequests(t *testing.T) {
	c := New(1, func(*Ticket[int]) {}, asAtGate, WithQueueSize(9))
	a := newSender("a", 0, 1).attributes
	for range 20 {
		c.Finish(start, c.Offer(start, a, 0), Outcome{Result: Completed})
	}
	account := c.accounts.byName["a"]
	if account.credit >= 1 {
		t.Errorf("credit %.2f after all requests were served, want less than 1", account.credit)
	}
	c.Offer(start, newSender("", 0, 1).attributes, 0)
	account.credit = 1
	k := c.Offer(start, a, 0)
	if !k.guaranteed || account.credit >= 1 {
		t.Fatalf("guaranteed %v with the credit %.2f left, want true and less than 1", k.guaranteed, account.credit)
	}
	if c.Cancel(start, k); account.credit < 1 {
		t.Errorf("credit %.2f after the guaranteed request was cancelled, want at least 1", account.credit)
	}
}

// Guards against organisations beyond the limit of accounts that count as calls without an organisation, which go before those
// of all organisations of their rank, and against requests that stay in their common account.
func TestOrganisationsBeyondTheLimitShareAnAccount(t *testing.T) {
	c := New(1, func(*Ticket[int]) {}, asAtGate, WithQueueSize(9))
	c.SetSlots(start, 0)
	for i := range maxAccounts {
		c.Offer(start, newSender(fmt.Sprint(i), 0, 1).attributes, 0)
	}
	c.SetSlots(start, 1)
	one, two := c.Offer(start, newSender("one", 0, 1).attributes, 0), c.Offer(start, newSender("two", 0, 2).attributes, 0)
	if shared := &c.accounts.overflow; one.account != shared || two.account != shared || shared.tickets != 2 || shared.queued != 1 {
		t.Fatalf("%d requests in the common account and %d queued, want 2 and 1", shared.tickets, shared.queued)
	}
	c.Finish(start, one, Outcome{Result: Completed})
	c.Finish(start, two, Outcome{Result: Completed})
	if left := c.accounts.overflow.tickets; left != 0 {
		t.Errorf("%d requests are left in the common account, want none", left)
	}
}

package hemlockquota

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// SettleTime is how long after its start a node's view counts as settled, unless a pool has reported a population.
	SettleTime = 2 * time.Second
	// populationTime is how long a population that a pool has reported counts.
	populationTime = 2 * time.Second
	// repartitionDelay is how long another number of pools must be due before the organisations are divided among them: a division ends
	// all loans.
	repartitionDelay = 3 * time.Second
)

// Ledger is the side that lends fractions to pools and asks them for tokens: of a host, or of a pool of a zone towards the pools of
// all zones. It is safe for concurrent use. The caller sends the messages that Messages returns.
type Ledger struct {
	level   int
	self    string
	started time.Time
	lender  lender
	// host is the lender of a host; nil at level 1.
	host *hostLender

	mutex    sync.Mutex
	accounts map[string]*account
	slots    []*slot
	peers    map[string]*peer
	sequence uint64
	// population is the number of nodes that this node knows, and reported the one that a pool stated at reportedAt.
	population, reported int
	reportedAt           time.Time
	// otherPartitionsSince is when the number of partitions that is due began to differ from the present one; zero if it does not.
	otherPartitionsSince time.Time
	stopping             bool
	changes              []Change
	counts               Counts
	unavailableCount     uint64
}

// Change is a change of the pool of a partition; From or To is empty if there was or is none. If they are equal, the pool has not
// answered a request.
type Change struct {
	From, To  string
	Partition int
}

// NewHostLedger returns the ledger of a host, which lends its fraction to the pools of its zone.
func NewHostLedger(self string, now time.Time) *Ledger {
	host := &hostLender{loans: map[*slot]*loans{}}
	l := newLedger(0, self, now, host)
	l.host = host
	return l
}

// NewPoolLedger returns the ledger of a pool of a zone, which lends its surplus to the pools of all zones.
func NewPoolLedger(self string, pool *Pool, now time.Time) *Ledger {
	return newLedger(1, self, now, pool)
}

func newLedger(level int, self string, now time.Time, lender lender) *Ledger {
	return &Ledger{level: level, self: self, started: now, lender: lender, accounts: map[string]*account{}, peers: map[string]*peer{}}
}

func (l *Ledger) terms() terms { return levels[l.level] }

// SetLimits sets the quotas of all organisations that have one.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, a := range l.accounts {
		if _, ok := limits[name]; ok {
			continue
		}
		for _, w := range a.waiting {
			w.resolve(Granted, w.wanted, 0) // it has no limit any more
		}
		delete(l.accounts, name)
	}
	for name, limit := range limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{name: name, hash: hashOf(name), own: bucket{at: now}}
			l.accounts[name] = a
		}
		a.limit = limit
		if a.slot != nil {
			a.own.set(now, a.slot.own, limit)
		}
	}
	l.assign(now)
}

// SetPopulation sets the number of nodes that share the quotas, as this node knows it.
func (l *Ledger) SetPopulation(population int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.population = population
}

// SetPools sets the nodes that may be pools: partitions is the number of pools that is due, and rank returns those for one of them, the
// first choice first.
func (l *Ledger) SetPools(now time.Time, partitions int, rank func(index int) []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case partitions == len(l.slots):
		l.otherPartitionsSince = time.Time{}
	case len(l.slots) == 0 || !l.otherPartitionsSince.IsZero() && now.Sub(l.otherPartitionsSince) >= repartitionDelay:
		l.otherPartitionsSince = time.Time{}
		for _, s := range l.slots {
			l.refuseWaiting(s)
		}
		l.slots = nil
		for i := range partitions {
			l.slots = append(l.slots, &slot{partition: partition{i, partitions}})
		}
		if l.host != nil {
			l.host.retire()
		}
		l.assign(now)
	case l.otherPartitionsSince.IsZero():
		l.otherPartitionsSince = now
	}
	kept := map[string]bool{}
	for i, s := range l.slots {
		s.ranking = rank(i)
		for _, address := range append(slices.Clone(s.ranking), s.pool) {
			kept[address] = true
		}
	}
	for address := range l.peers {
		if !kept[address] {
			delete(l.peers, address)
		}
	}
}

// assign divides the accounts among the slots.
func (l *Ledger) assign(now time.Time) {
	if len(l.slots) == 0 {
		return
	}
	for _, s := range l.slots {
		s.accounts, s.asking = nil, nil
	}
	for _, a := range l.accounts {
		s := l.slots[a.hash%uint64(len(l.slots))]
		if s != a.slot {
			a.slot, a.stock, a.returned = s, nil, 0
		}
		s.accounts = append(s.accounts, a)
		a.own.set(now, s.own, a.limit)
		if a.asking {
			s.asking = append(s.asking, a)
		}
	}
	for _, s := range l.slots {
		slices.SortFunc(s.accounts, func(a, b *account) int { return strings.Compare(a.name, b.name) })
	}
}

// settledPopulation returns the number of nodes that share the quotas, or 0 if it is not known well enough.
func (l *Ledger) settledPopulation(now time.Time) int {
	if now.Sub(l.started) < SettleTime {
		return 0
	}
	return l.population
}

// fraction returns the fraction of every quota that this host owns.
func (l *Ledger) fraction(now time.Time) Fraction {
	age := now.Sub(l.started)
	settled := age >= SettleTime
	// What a previous process at this address has lent may count for another lease and timeout.
	if l.stopping || !settled && l.reported == 0 || age < levels[0].lease+levels[0].timeout {
		return 0
	}
	n := l.population
	if !settled || now.Sub(l.reportedAt) < populationTime {
		n = max(n, l.reported)
	}
	if n <= 0 {
		return 0
	}
	return One / Fraction(n)
}

// Take asks for tokens of an organisation. An organisation without limit has all.
func (l *Ledger) Take(now time.Time, organisation string, count int) *Ticket {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[organisation]
	t := &Ticket{account: a, wanted: count, done: make(chan struct{})}
	if a == nil {
		t.resolve(Granted, count, 0)
		return t
	}
	a.arrivals.add(now, float64(count), arrivalTime)
	if a.slot == nil {
		l.unavailable(t)
		return t
	}
	l.takeOrWait(now, a, t)
	return t
}

// takeOrWait resolves the ticket, or lets it wait for the answer of a pool.
func (l *Ledger) takeOrWait(now time.Time, a *account, t *Ticket) {
	s, count := a.slot, t.wanted
	tokens := a.takeStock(now, l.terms().hold, count)
	if tokens < count && s.own > 0 {
		a.own.set(now, s.own, a.limit)
		tokens += a.own.take(count - tokens)
	}
	if ahead := a.ahead(now, l.terms()); ahead > 0 && s.pool != "" && a.stockCount(now, l.terms().hold) < (ahead+1)/2 {
		s.ask(a)
	}
	switch {
	case tokens == count || tokens > 0 && now.Before(a.deniedUntil):
		l.counts.Granted += uint64(tokens)
		t.resolve(Granted, tokens, a.roomAt.Sub(now))
	case now.Before(a.deniedUntil):
		l.exhausted(t, a.roomAt.Sub(now))
	case s.pool == "" && s.own > 0:
		l.exhausted(t, a.own.wait())
	case s.pool == "" || l.peerOf(s.pool).silent || len(a.waiting) >= maxWaiting:
		l.unavailable(t)
	default:
		t.Tokens = tokens
		a.waiting = append(a.waiting, t)
		s.ask(a)
	}
}

func (l *Ledger) exhausted(t *Ticket, wait time.Duration) {
	l.counts.Refused += uint64(t.wanted)
	t.resolve(Exhausted, 0, max(wait, 0))
}

// unavailable resolves a ticket that no pool has answered; it may have some tokens that were in stock.
func (l *Ledger) unavailable(t *Ticket) {
	if t.Tokens > 0 {
		l.counts.Granted += uint64(t.Tokens)
		t.resolve(Granted, t.Tokens, UnavailableRetryAfter)
		return
	}
	if t.Outcome == Pending {
		l.unavailableCount++
	}
	t.resolve(Unavailable, 0, UnavailableRetryAfter)
}

// Abandon ends the wait of a ticket. Its results are valid afterwards.
func (l *Ledger) Abandon(t *Ticket) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t.Outcome == Pending {
		t.account.remove(t)
		l.unavailable(t)
	}
}

// Return gives back a token of a request that did not run. It goes to the pool and not into the stock: the tokens of many requests that
// are refused late would otherwise add up to more than the burst.
func (l *Ledger) Return(now time.Time, organisation string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[organisation]
	if a == nil || a.slot == nil {
		return
	}
	l.counts.Returned++
	if a.slot.own > 0 {
		a.own.set(now, a.slot.own, a.limit)
		a.own.put(1)
		return
	}
	a.returned = min(a.returned+1, maxWanted)
}

// Stop takes back what the host has lent, and lends and uses nothing from now on. The node is then no longer counted by others.
func (l *Ledger) Stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopping = true
}

// Messages returns the messages that are due. It is called after each Take that is pending, after each result of a message, and at
// least every 50 ms.
func (l *Ledger) Messages(now time.Time) []*Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.host != nil {
		l.host.fraction = l.fraction(now)
	}
	var messages []*Message
	for _, s := range l.slots {
		if m := l.message(now, s); m != nil {
			messages = append(messages, m)
		}
	}
	return messages
}

func (l *Ledger) change(c Change) {
	if len(l.changes) < 64 {
		l.changes = append(l.changes, c)
	}
}

// Changes returns the changes of pools since the last call.
func (l *Ledger) Changes() []Change {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changes := l.changes
	l.changes = nil
	return changes
}

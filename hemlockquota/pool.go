package hemlockquota

import (
	"maps"
	"sync"
	"time"
)

const (
	// demandTime is the time constant of the recent demand at a pool. A zone whose demand has ended lends more than 0.9 of its share
	// after 1.5 s, so that the quota is used elsewhere within 2 s.
	demandTime = 600 * time.Millisecond
	// demandMargin is how much of the share a pool keeps, as a multiple of the recent demand.
	demandMargin = 1.25
	// lentSteps is the number of steps in which a surplus is lent. Each change of a loan costs a part of the tokens in the bucket, so
	// small variations of the demand must not change it.
	lentSteps = 8
	// maxLoans bounds the loans that a pool keeps of each kind.
	maxLoans = 16384
)

// Pool grants tokens from what others lend to it. It is safe for concurrent use.
//
// Its half of the invariant: it counts a loan from the receipt of a request for at most the lease, and ignores requests that are older than
// the timeout. Its sender, who counts the loan as lent for lease + timeout from the sending, thus never uses it at the same time.
type Pool struct {
	level     int
	clockBase uint64
	started   time.Time

	mutex sync.Mutex
	// loans are those that hold for all organisations of a partition, and sums their sums for each partition.
	loans map[loanKey]*received
	// known are the numbers by which the loans of requests of level 1 can be renewed. All loans of a sender and partition are those after
	// the last accepted request.
	known map[loanKey]numbered
	sums  map[partition]Fraction
	// nextEnd is not later than the first end of a loan.
	nextEnd    time.Time
	accounts   map[string]*poolAccount
	population int
	counts     Counts
	// limitsVersion changes with the set of organisations.
	limitsVersion uint64
}

// numbered is the number of a request of level 1, and the end of its loans.
type numbered struct {
	number uint64
	until  time.Time
}

type loanKey struct {
	from      string
	partition partition
}

// received is a loan that a pool counts.
type received struct {
	fraction Fraction
	until    time.Time
	// reclaimed loans are not lent on.
	reclaimed bool
}

// poolAccount is the state of one organisation at a pool.
type poolAccount struct {
	name   string
	hash   uint64
	limit  Limit
	bucket bucket
	// loans are those for this organisation alone, at level 1, and sum is their sum.
	loans map[string]*received
	sum   Fraction
	// lentOn is what the pool has lent to a pool of the next level, and lastLent the part of the last request.
	lentOn   loans
	lastLent Fraction
	demand   rate
	// promised is when the token after those that were promised to refused requests is due.
	promised time.Time
}

// Counts are the totals of a Pool or a Ledger since its creation, in tokens.
type Counts struct {
	Granted  uint64 `json:"granted"`
	Refused  uint64 `json:"refused"`
	Returned uint64 `json:"returned"`
	// Ignored is the number of requests that were ignored because they were too old, or the first ones of their senders.
	Ignored uint64 `json:"ignored,omitempty"`
}

// NewPool returns a pool of the level without loans. The clock base is a random number: it distinguishes the clocks of processes, so that a
// request that was meant for a previous process at this address is not accepted.
func NewPool(level int, now time.Time, clockBase uint64) *Pool {
	return &Pool{level: level, clockBase: clockBase>>2 + 1, started: now, loans: map[loanKey]*received{}, known: map[loanKey]numbered{},
		sums: map[partition]Fraction{}, accounts: map[string]*poolAccount{}}
}

// SetLimits sets the quotas of all organisations that have one. Levels are limited to the new capacities at once.
func (p *Pool) SetLimits(now time.Time, limits map[string]Limit) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	for name, a := range p.accounts {
		if _, ok := limits[name]; !ok {
			delete(p.accounts, name)
			p.limitsVersion++
			continue
		}
		p.settle(now, a)
	}
	for name, limit := range limits {
		a := p.accounts[name]
		if a == nil {
			a = &poolAccount{name: name, hash: hashOf(name), loans: map[string]*received{}, bucket: bucket{at: now}}
			p.accounts[name] = a
			p.limitsVersion++
			clear(p.known) // they do not include what was lent of this quota
		}
		a.limit = limit
		p.settle(now, a)
	}
}

// SetPopulation sets the number of nodes that share the quotas, as this node knows it; 0 if its view is not settled.
func (p *Pool) SetPopulation(population int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.population = population
}

func (p *Pool) clock(now time.Time) uint64 {
	return p.clockBase + uint64(max(0, now.Sub(p.started).Microseconds()))
}

// Receive handles a request. It returns the answer and, for a pool of a zone, the tokens that are missing in it: the caller may take them
// from the ledger towards the pools of all zones, and add the tickets to the answer.
func (p *Pool) Receive(now time.Time, r Request) (Answer, []Demand) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	answer := Answer{Population: p.population, Clock: p.clock(now)}
	t := levels[p.level]
	// An unsigned difference: a clock in the future, such as that of a previous process, is not accepted either.
	if r.Level != p.level || r.Clock == 0 || answer.Clock-r.Clock > uint64(t.timeout.Microseconds()) || !p.canRenew(now, r) {
		p.counts.Ignored++
		return answer, nil
	}
	answer.Accepted = true
	switch {
	case r.DemandsOnly:
	case p.level == 0:
		p.receivePartition(now, r, t)
	default:
		answer.Number = p.number(now, r, t)
		p.receiveOrganisations(now, r, t, func(former, fraction Fraction) bool { return fraction >= former })
		// Tokens that are asked for with a fraction that is taken back are granted before.
		defer p.receiveOrganisations(now, r, t, func(former, fraction Fraction) bool { return fraction < former })
	}
	var missing []Demand
	for _, d := range r.Demands {
		a := p.accounts[d.Organisation]
		if a == nil || d.Wanted == 0 && d.Returned == 0 {
			continue
		}
		grant := p.grant(now, a, d)
		// While a pool of a zone counts no loan, such as after the end of its predecessor, it cannot say that the quota is exceeded.
		if grant.Granted > 0 || p.level > 0 || a.bucket.share+a.lentOn.total(now) > 0 {
			answer.Grants = append(answer.Grants, grant)
		}
		if grant.Granted < d.Wanted && p.level == 0 {
			missing = append(missing, Demand{Organisation: d.Organisation, Wanted: d.Wanted - grant.Granted})
		}
	}
	return answer, missing
}

func (p *Pool) receivePartition(now time.Time, r Request, t terms) {
	key := loanKey{r.From, partition{r.Partition, r.Partitions}}
	l := p.loans[key]
	switch {
	case r.Reclaimed && l != nil:
		l.reclaimed = true
		if end := now.Add(t.release); end.Before(l.until) {
			l.until = end
			p.nextEnd = minTime(p.nextEnd, end)
		}
	case !r.Reclaimed && r.Lent > 0 && (l != nil || len(p.loans) < maxLoans):
		if l == nil {
			l = &received{}
			p.loans[key] = l
		}
		changed := l.fraction != r.Lent
		p.sums[key.partition] = p.sums[key.partition] - l.fraction + r.Lent
		*l = received{fraction: r.Lent, until: now.Add(min(r.Lease, t.lease))}
		p.nextEnd = minTime(p.nextEnd, l.until)
		if changed {
			p.settleAll(now)
		}
	}
}

// canRenew reports whether the pool knows the loans that a request renews.
func (p *Pool) canRenew(now time.Time, r Request) bool {
	known := p.known[loanKey{r.From, partition{r.Partition, r.Partitions}}]
	return r.Renews == 0 || known.number == r.Renews && now.Before(known.until)
}

// number records the number of an accepted request of level 1. Loans that a request of another division may have changed have no number.
func (p *Pool) number(now time.Time, r Request, t terms) uint64 {
	for key, known := range p.known {
		if key.from == r.From && key.partition.count != r.Partitions || !now.Before(known.until) {
			delete(p.known, key)
		}
	}
	key := loanKey{r.From, partition{r.Partition, r.Partitions}}
	delete(p.known, key)
	if r.Number == 0 || r.Reclaimed || len(p.known) >= maxLoans {
		return 0
	}
	p.known[key] = numbered{r.Number, now.Add(min(r.Lease, t.lease))}
	return r.Number
}

// receiveOrganisations applies the loans of a request of level 1 for which the function returns true.
func (p *Pool) receiveOrganisations(now time.Time, r Request, t terms, applies func(former, fraction Fraction) bool) {
	lent := map[string]Fraction{}
	renews := r.Renews != 0 && !r.Reclaimed
	if !r.Reclaimed {
		for _, d := range r.Demands {
			lent[d.Organisation] = d.Lent
		}
	}
	mentioned := partition{r.Partition, r.Partitions}
	for name, a := range p.accounts {
		if !mentioned.contains(a.hash) {
			continue
		}
		l, former := a.loans[r.From], Fraction(0)
		if l != nil {
			former = l.fraction
		}
		fraction, isMentioned := lent[name]
		if !isMentioned && renews {
			fraction = former
		}
		switch {
		case !applies(former, fraction), fraction == 0 && l == nil, l == nil && len(a.loans) >= maxLoans:
			continue
		case fraction == 0:
			delete(a.loans, r.From)
			a.sum -= former
		default:
			if l == nil {
				l = &received{}
				a.loans[r.From] = l
			}
			a.sum = a.sum - former + fraction
			*l = received{fraction: fraction, until: now.Add(min(r.Lease, t.lease))}
			p.nextEnd = minTime(p.nextEnd, l.until)
		}
		p.settle(now, a)
	}
}

func (p *Pool) grant(now time.Time, a *poolAccount, d Demand) Grant {
	p.settle(now, a)
	// Returned tokens of requests that did not run were demand, and the returned part of advance supplies is small.
	a.demand.add(now, float64(d.Wanted), demandTime)
	a.bucket.put(d.Returned)
	p.counts.Returned += uint64(d.Returned)
	g := Grant{Organisation: d.Organisation, Granted: a.bucket.take(d.Wanted)}
	p.counts.Granted += uint64(g.Granted)
	if refused := d.Wanted - g.Granted; refused > 0 {
		p.counts.Refused += uint64(refused)
		due := now.Add(a.bucket.wait())
		if p.level == 0 { // a pool of zones is also asked for tokens that no request waits for
			due = maxTime(due, a.promised)
		}
		g.Wait = min(due.Sub(now), maxWait)
		a.promised = minTime(due.Add(time.Duration(min(refused, 1000))*a.bucket.interval()), now.Add(maxWait))
	}
	return g
}

// share returns the fraction of an organisation's quota that the pool counts, without what it has lent on.
func (p *Pool) share(now time.Time, a *poolAccount) Fraction {
	sum := a.sum
	for of, fraction := range p.sums {
		if of.contains(a.hash) {
			sum += fraction
		}
	}
	if now.Before(p.started.Add(levels[p.level].release)) {
		return 0 // what a previous process at this address has lent on has not ended yet
	}
	return min(sum, One).minus(a.lentOn.total(now))
}

// settle applies the present share to the bucket of an organisation.
func (p *Pool) settle(now time.Time, a *poolAccount) {
	a.bucket.set(now, p.share(now, a), a.limit)
}

func (p *Pool) settleAll(now time.Time) {
	for _, a := range p.accounts {
		p.settle(now, a)
	}
}

// expire drops the loans that have ended.
func (p *Pool) expire(now time.Time) {
	if now.Before(p.nextEnd) {
		return
	}
	p.nextEnd = now.Add(time.Hour)
	ended := false
	for key, l := range p.loans {
		if now.Before(l.until) {
			p.nextEnd = minTime(p.nextEnd, l.until)
			continue
		}
		ended = true
		delete(p.loans, key)
		p.sums[key.partition] -= l.fraction
		if p.sums[key.partition] == 0 {
			delete(p.sums, key.partition)
		}
	}
	for _, a := range p.accounts {
		for from, l := range a.loans {
			if now.Before(l.until) {
				p.nextEnd = minTime(p.nextEnd, l.until)
				continue
			}
			ended = true
			delete(a.loans, from)
			a.sum -= l.fraction
		}
	}
	if ended {
		p.settleAll(now)
	}
}

// AccountState is the state of one organisation at a pool.
type AccountState struct {
	// Share is the fraction of the quota that the pool grants, and LentOn the one that it has lent to a pool of the next level.
	Share  float64 `json:"share"`
	LentOn float64 `json:"lent-on"`
	Level  float64 `json:"level"`
	Demand float64 `json:"demand-per-second"`
}

// PoolState is the state of a Pool, for operators.
type PoolState struct {
	Lenders       int                     `json:"lenders"`
	Counts        Counts                  `json:"counts"`
	Organisations map[string]AccountState `json:"organisations,omitempty"`
}

// Snapshot returns the state of the pool. It omits organisations without share.
func (p *Pool) Snapshot(now time.Time) PoolState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	lenders := map[string]bool{}
	for key := range p.loans {
		lenders[key.from] = true
	}
	state := PoolState{Counts: p.counts, Organisations: map[string]AccountState{}}
	for name, a := range p.accounts {
		for from := range maps.Keys(a.loans) {
			lenders[from] = true
		}
		p.settle(now, a)
		lentOn := a.lentOn.total(now)
		if a.bucket.share+lentOn > 0 {
			state.Organisations[name] = AccountState{Share: a.bucket.share.Value(), LentOn: lentOn.Value(), Level: a.bucket.level,
				Demand: a.demand.current(now, demandTime)}
		}
	}
	state.Lenders = len(lenders)
	return state
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

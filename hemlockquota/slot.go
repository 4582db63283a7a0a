package hemlockquota

import "time"

const (
	// silentAvoidance is how long a pool that did not answer is not asked again while another one can be, and endedAvoidance the same
	// after its process has ended: it may be restarted soon.
	silentAvoidance = 10 * time.Second
	endedAvoidance  = 2 * time.Second
	// probeInterval is the time between requests to a pool that did not answer the last one, until its loan has ended.
	probeInterval = 100 * time.Millisecond
	// maxIgnored is the number of consecutive requests that a pool may ignore before it counts as silent.
	maxIgnored = 3
	// extraDelay is how long a request has no answer before new needs are sent in another one, and maxExtra bounds those. Without them,
	// needs wait for the answer to the previous request first: with 7.5 to 30 ms of processing at pools, 583 instead of 352 of about 5,300
	// requests of small organisations were refused. Without the delay, fewer needs would share a request.
	extraDelay = 20 * time.Millisecond
	maxExtra   = 4
)

// slot is one partition of the organisations at a Ledger, with the pool that serves them.
type slot struct {
	partition partition
	// ranking are the nodes that may be the pool, the first choice first.
	ranking []string
	// pool is the present pool; empty while there is none to ask.
	pool     string
	accounts []*account
	// asking are the accounts for which the next message asks for tokens.
	asking []*account
	// inFlight is set while a request to the pool that may change loans has no result. There is at most one.
	inFlight bool
	// extra is the number of requests without result that only ask for tokens, and lastExtra when the last one was sent.
	extra     int
	lastExtra time.Time
	// known is the number by which the pool knows the loans of the last request; 0 if there is none. limitsVersion is the version of the
	// lender's limits at that request.
	known, limitsVersion uint64
	lastSent             time.Time
	// leaving is set while the loan of the present pool is reclaimed, so that another one can get it; reclaimed once the pool has
	// confirmed it.
	leaving, reclaimed bool
	// own is the fraction that the node uses itself.
	own Fraction
}

// peer is what a Ledger knows of a node that is or was a pool.
type peer struct {
	// clock is the pool's clock at the time clockAt, or earlier; 0 before its first answer.
	clock   uint64
	clockAt time.Time
	// silent is set while the last request has failed.
	silent bool
	// ignored is the number of consecutive requests that the pool has ignored.
	ignored int
	// avoidedUntil is the time before which the node is not chosen as pool.
	avoidedUntil time.Time
}

// clockNow returns a lower bound of the pool's present clock, even if its clock is slower than the own one by 0.1%.
func (p *peer) clockNow(now time.Time) uint64 {
	if p.clock == 0 {
		return 0
	}
	elapsed := max(0, now.Sub(p.clockAt).Microseconds())
	return p.clock + uint64(elapsed-elapsed/1000)
}

func (l *Ledger) peerOf(address string) *peer {
	p := l.peers[address]
	if p == nil {
		p = &peer{}
		l.peers[address] = p
	}
	return p
}

// choose determines the pool of a slot. A loan is first taken back from the pool that had it.
func (l *Ledger) choose(now time.Time, s *slot) {
	if s.inFlight {
		return
	}
	if s.pool != "" && l.peerOf(s.pool).silent && !l.lender.lentTo(now, s, s.pool) {
		l.avoid(now, s.pool, silentAvoidance)
	}
	preferred := ""
	for _, address := range s.ranking {
		if !now.Before(l.peerOf(address).avoidedUntil) {
			preferred = address
			break
		}
	}
	switch {
	case s.pool == preferred:
		s.leaving, s.reclaimed = false, false
	case s.pool != "" && l.level == 0 && l.lender.lentTo(now, s, s.pool):
		s.leaving = true // loans of level 1 end soon and are counted for each pool
	default:
		l.change(Change{From: s.pool, To: preferred, Partition: s.partition.index})
		for _, a := range s.accounts {
			a.returned = 0
		}
		s.pool, s.leaving, s.reclaimed, s.known, s.lastSent = preferred, false, false, 0, time.Time{}
	}
}

func (l *Ledger) avoid(now time.Time, address string, period time.Duration) {
	p := l.peerOf(address)
	*p = peer{avoidedUntil: now.Add(period)}
}

// refreshOwn applies a change of the fraction that the node uses itself.
func (l *Ledger) refreshOwn(now time.Time, s *slot) {
	own := l.lender.own(now, s)
	if own == s.own {
		return
	}
	s.own = own
	for _, a := range s.accounts {
		a.own.set(now, own, a.limit)
	}
}

// message returns the message that is due for the slot, or nil.
func (l *Ledger) message(now time.Time, s *slot) *Message {
	l.choose(now, s)
	l.refreshOwn(now, s)
	if s.pool == "" {
		l.refuseWaiting(s)
		return nil
	}
	p := l.peerOf(s.pool)
	if s.inFlight {
		return l.extraMessage(now, s, p)
	}
	if !l.isDue(now, s, p) {
		return nil
	}
	m := l.newMessage(now, s, p)
	s.inFlight, s.lastSent = true, now
	if p.clock == 0 || p.silent {
		return m // lends nothing and asks for nothing until the pool has answered
	}
	l.addDemands(now, m)
	if s.leaving || l.stopping {
		m.Request.Reclaimed = true
	} else {
		l.lender.lend(now, m)
		l.refreshOwn(now, s)
	}
	if l.level > 0 && len(m.Request.Demands) == 0 && !l.lender.lentTo(now, s, s.pool) {
		s.inFlight = false
		return nil
	}
	return m
}

func (l *Ledger) newMessage(now time.Time, s *slot, p *peer) *Message {
	l.sequence++
	return &Message{Address: s.pool, slot: s, sequence: l.sequence, sentAt: now, Request: Request{From: l.self, Level: l.level,
		Partition: s.partition.index, Partitions: s.partition.count, Clock: p.clockNow(now), Lease: l.terms().lease,
		Population: l.settledPopulation(now)}}
}

// extraMessage returns a message that only asks for tokens, while another one has had no answer for a while. A pool of level 1 that
// knows no number of loans may not know such requests.
func (l *Ledger) extraMessage(now time.Time, s *slot, p *peer) *Message {
	if len(s.asking) == 0 || s.extra >= maxExtra || now.Sub(maxTime(s.lastSent, s.lastExtra)) < extraDelay || p.clock == 0 || p.silent ||
		s.leaving || l.stopping || l.level > 0 && s.known == 0 {
		return nil
	}
	m := l.newMessage(now, s, p)
	m.Request.DemandsOnly = true
	s.extra, s.lastExtra = s.extra+1, now
	l.addDemands(now, m)
	return m
}

// finished records that a message has a result. known is the number by which the pool knows its loans.
func (s *slot) finished(m *Message, known uint64) {
	if m.Request.DemandsOnly {
		s.extra--
		return
	}
	s.inFlight, s.known = false, known
}

func (l *Ledger) isDue(now time.Time, s *slot, p *peer) bool {
	since := now.Sub(s.lastSent)
	switch {
	case p.silent:
		return since >= probeInterval
	case p.ignored > 0:
		return since >= probeInterval || len(s.asking) > 0
	case len(s.asking) > 0:
		return true
	case (s.leaving || l.stopping) && !s.reclaimed && l.lender.lentTo(now, s, s.pool):
		return true
	case p.clock == 0:
		return l.lender.wantsToLend() && since >= probeInterval
	default:
		return since >= l.terms().renewal && (l.lender.wantsToLend() || l.lender.lentTo(now, s, s.pool))
	}
}

// addDemands adds what the message asks for and returns.
func (l *Ledger) addDemands(now time.Time, m *Message) {
	s, t := m.slot, l.terms()
	s.asking = s.asking[:0]
	for _, a := range s.accounts {
		if len(m.Request.Demands) >= maxDemands {
			if a.asking {
				s.asking = append(s.asking, a)
			}
			continue
		}
		stock := a.stockCount(now, t.hold)
		d := Demand{Organisation: a.name, Returned: a.returned}
		if a.asking {
			for _, w := range a.waiting {
				d.Wanted += w.wanted
				w.sequence = m.sequence
			}
			d.Wanted = min(maxWanted, d.Wanted+max(0, a.ahead(now, t)-stock))
		}
		a.asking, a.returned = false, 0
		if d.Wanted > 0 || d.Returned > 0 {
			m.Request.Demands = append(m.Request.Demands, d)
		}
	}
}

// ask lets the next message of the slot ask for tokens for the account.
func (s *slot) ask(a *account) {
	if !a.asking {
		a.asking = true
		s.asking = append(s.asking, a)
	}
}

// refuseWaiting resolves the waiting tickets of a slot that has no pool to ask, or whose pool is silent.
func (l *Ledger) refuseWaiting(s *slot) {
	for _, a := range s.accounts {
		for _, w := range a.waiting {
			l.unavailable(w)
		}
		a.waiting, a.asking = nil, false
	}
	s.asking = s.asking[:0]
}

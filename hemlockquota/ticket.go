package hemlockquota

import "time"

// Outcome is the result of a Ticket.
type Outcome uint8

const (
	// Pending tickets wait for the answer of a pool.
	Pending Outcome = iota
	// Granted tickets have at least one of the tokens that they asked for.
	Granted
	// Exhausted means that the quota has no token now.
	Exhausted
	// Unavailable means that no pool has answered, so that it is not known whether the quota is exceeded.
	Unavailable
)

// UnavailableRetryAfter is when a request that was refused as Unavailable may be sent again.
const UnavailableRetryAfter = 200 * time.Millisecond

// Ticket asks for tokens of one organisation. Its results are valid once Done is closed.
type Ticket struct {
	account *account
	wanted  int
	// sequence is that of the message that asks for the tokens; 0 before one does.
	sequence uint64
	done     chan struct{}

	// Outcome is not Pending once done is closed.
	Outcome Outcome
	// Tokens is the number of tokens, from 1 to the number that was asked for if the outcome is Granted.
	Tokens int
	// Wait is the time until there is a token, if there were fewer than asked for.
	Wait time.Duration
}

// Done returns a channel that is closed when the ticket has its results.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// IsPending reports whether the ticket still waits for the answer of a pool.
func (t *Ticket) IsPending() bool {
	select {
	case <-t.done:
		return false
	default:
		return true
	}
}

func (t *Ticket) resolve(outcome Outcome, tokens int, wait time.Duration) {
	if t.Outcome == Pending {
		t.Outcome, t.Tokens, t.Wait = outcome, tokens, wait
		close(t.done)
	}
}

// stocked are tokens that a pool has granted and that are not used yet.
type stocked struct {
	count int
	// since is when the tokens were asked for.
	since time.Time
	pool  string
}

// account is the state of one organisation at a Ledger.
type account struct {
	name  string
	hash  uint64
	limit Limit
	slot  *slot
	stock []stocked
	// waiting are the pending tickets in order of arrival.
	waiting []*Ticket
	// asking is set while the account is in the list of those that the next message of the slot asks for.
	asking bool
	// returned tokens go back to the pool with the next message.
	returned int
	arrivals rate
	// own is the bucket of the fraction that this node uses itself.
	own bucket
	// deniedUntil is the time until which no tokens are asked for after the pool had none, and roomAt when it expects one.
	deniedUntil, roomAt time.Time
}

const (
	// arrivalTime is the time constant of the arrivals of an organisation.
	arrivalTime = time.Second
	// manyPerSecond is the rate above which an organisation is supplied in advance.
	manyPerSecond = 4
	// maxDenial is how long the answer of a pool that it has no tokens is used for other requests. It limits the messages for an
	// organisation that sends many times its quota.
	maxDenial = 25 * time.Millisecond
	// maxWaiting bounds the pending tickets of one organisation, and maxWanted the tokens that are asked for at once.
	maxWaiting = 1024
	maxWanted  = 1 << 16
)

// stockCount returns the number of tokens in stock, after those that were kept too long are marked as returned. Tokens of another pool
// than the present one are dropped.
func (a *account) stockCount(now time.Time, hold time.Duration) int {
	count, kept := 0, a.stock[:0]
	for _, s := range a.stock {
		switch {
		case now.Sub(s.since) < hold:
			count += s.count
			kept = append(kept, s)
		case s.pool == a.slot.pool:
			a.returned = min(a.returned+s.count, maxWanted)
		}
	}
	a.stock = kept
	return count
}

// takeStock takes up to count of the oldest tokens in stock.
func (a *account) takeStock(now time.Time, hold time.Duration, count int) int {
	a.stockCount(now, hold)
	taken := 0
	for taken < count && len(a.stock) > 0 {
		n := min(count-taken, a.stock[0].count)
		taken += n
		if a.stock[0].count -= n; a.stock[0].count == 0 {
			a.stock = a.stock[1:]
		}
	}
	return taken
}

// ahead returns how many tokens are to be in stock.
func (a *account) ahead(now time.Time, t terms) int {
	perSecond := a.arrivals.current(now, arrivalTime)
	if perSecond <= manyPerSecond || now.Before(a.deniedUntil.Add(arrivalTime)) {
		return 0
	}
	return int(perSecond*t.ahead.Seconds() + 0.5)
}

// remove removes a ticket from the waiting ones.
func (a *account) remove(t *Ticket) {
	for i, w := range a.waiting {
		if w == t {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return
		}
	}
}

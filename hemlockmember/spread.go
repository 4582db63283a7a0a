package hemlockmember

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlocksuspect"
)

const (
	// lowPriority is what must be left in the budget before views are exchanged; changed records go first.
	lowPriority = 4000
	// recordsPerMessage bounds a message to about 5 KB.
	recordsPerMessage  = 64
	suspectsPerMessage = 64
	longestBacklog     = 4096
)

// budget is a token bucket in bytes. Tokens become negative when probes alone exceed the rate.
type budget struct {
	rate, burst, tokens float64
	filled              time.Time
}

func (b *budget) fill(now time.Time) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.filled = now
	}
}

func (b *budget) has(bytes int) bool {
	return b.tokens >= float64(bytes)
}

// item is a changed record on its way to the neighbours.
type item struct {
	member Member
	// known are the neighbours that have it.
	known []string
}

type suspectItem struct {
	record hemlocksuspect.Record
	known  []string
}

// spread queues a changed record for all neighbours except the one it came from. A later change of the same member
// replaces an earlier one that is still queued.
func (g *Gossip) spread(_ time.Time, m Member, from string) {
	i := &item{member: m.brief()}
	if from != "" {
		i.known = append(i.known, from)
	}
	g.news[m.Address] = i
	g.freshNews = true
}

// knows records that a neighbour already has a queued record.
func (g *Gossip) knows(m Member, from string) {
	if i := g.news[m.Address]; i != nil && !newer(i.member, m) && !slices.Contains(i.known, from) {
		i.known = append(i.known, from)
	}
}

func (g *Gossip) spreadSuspects(records []hemlocksuspect.Record, from string) {
	for _, r := range records {
		if len(g.suspectNews) < longestBacklog {
			g.suspectNews = append(g.suspectNews, suspectItem{r, []string{from}})
			g.freshNews = true
		}
	}
}

// links returns the addresses that get news: the chosen neighbours and the members that probe this node.
func (g *Gossip) links(now time.Time) []string {
	links := slices.Clone(g.neighbours)
	for _, address := range sortedKeys(g.inbound) {
		if now.Sub(g.inbound[address]) <= inboundLifetime && !slices.Contains(links, address) {
			links = append(links, address)
		}
	}
	return links
}

// flush sends queued news as far as the budget allows; the rest waits for a later call. Suspects go first, then the
// node's own record and leaving members, then deaths, then all else.
func (g *Gossip) flush(now time.Time) {
	g.freshNews = false
	if len(g.news) == 0 && len(g.suspectNews) == 0 {
		return
	}
	links := g.links(now)
	g.flushSuspects(links)
	if len(g.news) == 0 || len(links) == 0 {
		// Nobody to tell: whoever appears later gets the records by the exchange of views.
		clear(g.news)
		return
	}
	items := make([]*item, 0, len(g.news))
	for _, i := range g.news {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(cmp.Compare(g.urgency(a), g.urgency(b)), strings.Compare(a.member.Address, b.member.Address))
	})
	complete := true
	for _, to := range links {
		if !g.flushTo(to, items) {
			complete = false
		}
	}
	if complete {
		clear(g.news)
		return
	}
	g.counts.Delayed++
}

func (g *Gossip) urgency(i *item) int {
	switch {
	case i.member.Address == g.self.Address:
		return 0
	case i.member.State == Leaving:
		return 1
	case i.member.State == Dead:
		return 2
	}
	return 3
}

// flushTo sends one neighbour what it does not have and reports whether nothing is left for it.
func (g *Gossip) flushTo(to string, items []*item) bool {
	for {
		var batch []Member
		size := MessageOverhead
		more := false
		for _, i := range items {
			if i.member.Address == to || slices.Contains(i.known, to) {
				continue
			}
			cost := memberSize(&i.member)
			if g.urgency(i) > 0 && !g.budget.has(size+cost) {
				more = true
				break
			}
			if len(batch) == recordsPerMessage {
				more = true
				break
			}
			size += cost
			batch = append(batch, i.member)
			i.known = append(i.known, to)
		}
		if len(batch) > 0 {
			g.send(Message{To: to, Kind: Update, Members: batch})
		}
		if !more {
			return true
		}
		if len(batch) < recordsPerMessage {
			return false
		}
	}
}

// flushSuspects sends crash records to the neighbours in the own zone.
func (g *Gossip) flushSuspects(links []string) {
	for len(g.suspectNews) > 0 {
		batch := g.suspectNews[:min(len(g.suspectNews), suspectsPerMessage)]
		if !g.budget.has(MessageOverhead) {
			return
		}
		for _, to := range links {
			if m, ok := g.view.Get(to); !ok || m.Zone != g.self.Zone {
				continue
			}
			var records []hemlocksuspect.Record
			for _, i := range batch {
				if !slices.Contains(i.known, to) {
					records = append(records, i.record)
				}
			}
			if len(records) > 0 {
				g.send(Message{To: to, Kind: Update, Suspects: records})
			}
		}
		g.suspectNews = g.suspectNews[len(batch):]
	}
	g.suspectNews = nil
}

// absorbSuspects merges crash records of the own zone and passes new ones on. An acknowledgement whose digest still
// differs afterwards gets this node's records.
func (g *Gossip) absorbSuspects(now time.Time, from string, m Message) {
	if g.suspects == nil || !g.inOwnZone(from) {
		return
	}
	if len(m.Suspects) > 0 {
		g.spreadSuspects(g.suspects.Merge(now, m.Suspects), from)
	}
	if m.Kind != Ack || len(m.Digests) == 0 || m.Digests[0] == g.suspects.Digest(now) || !g.budget.has(lowPriority) {
		return
	}
	if records := g.suspects.Records(now, suspectsPerMessage); len(records) > 0 {
		g.send(Message{To: from, Kind: Update, Suspects: records})
	}
}

func (g *Gossip) suspectDigest(now time.Time) uint64 {
	if g.suspects == nil {
		return 0
	}
	return g.suspects.Digest(now)
}

func (g *Gossip) inOwnZone(address string) bool {
	m, ok := g.view.Get(address)
	return ok && m.Zone == g.self.Zone
}

package hemlockadmission

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// rankGroups is the number of groups of organisations by rank; the last one also has all lower ranks.
	rankGroups = 4
	// unownedGroup is the group of the requests without an organisation.
	unownedGroup = rankGroups
	groupCount   = rankGroups + 1
	// maxReported limits the organisations of a snapshot.
	maxReported = 10
)

// Organisations is the use of a target by organisations at a point in time.
type Organisations struct {
	// Recent is the number of organisations that have sent requests recently.
	Recent int `json:"recent"`
	// Guaranteed counts the requests that were placed before all others, because their organisation was served far less often
	// than all together.
	Guaranteed uint64 `json:"guaranteed"`
	// Refused counts the refusals because of load by group: by organisation rank, or "none" without an organisation.
	Refused map[string]uint64 `json:"refused"`
	// MostServed holds the organisations that have received the most slot time recently, the first one the most.
	MostServed []Organisation `json:"most-served"`
}

// Organisation is the use of a target by one organisation.
type Organisation struct {
	Name string `json:"name"`
	// SlotSeconds is the slot time that it has received recently, decayed with a time constant of 2 s.
	SlotSeconds float64 `json:"slot-seconds"`
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
}

// Organisations returns the use by organisations at the given time. It takes time in proportion to their number and is meant
// for operators, not for each request.
func (c *Controller[T]) Organisations(now time.Time) Organisations {
	o := c.copyOrganisations(now)
	slices.SortFunc(o.MostServed, func(a, b Organisation) int { return cmp.Compare(b.SlotSeconds, a.SlotSeconds) })
	o.MostServed = o.MostServed[:min(maxReported, len(o.MostServed))]
	return o
}

// copyOrganisations returns the use by all organisations, in no particular order.
func (c *Controller[T]) copyOrganisations(now time.Time) Organisations {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	o := Organisations{Recent: len(c.accounts.all), Guaranteed: c.accounts.guaranteed, Refused: map[string]uint64{},
		MostServed: make([]Organisation, 0, len(c.accounts.all))}
	for i, refused := range c.accounts.refused {
		o.Refused[groupName(i)] = refused
	}
	for _, a := range c.accounts.all {
		o.MostServed = append(o.MostServed, Organisation{Name: a.name, SlotSeconds: a.received * decayOf(now.Sub(a.at)),
			Running: a.tickets - a.queued, Queued: a.queued})
	}
	return o
}

// groupOf returns the group in which the refusals of a ticket are counted.
func groupOf[T any](t *Ticket[T]) int {
	if t.account == nil {
		return unownedGroup
	}
	return min(int(t.organisationRank), rankGroups-1)
}

func groupName(group int) string {
	switch group {
	case unownedGroup:
		return "none"
	case rankGroups - 1:
		return "rank-" + strconv.Itoa(group) + "-or-lower"
	}
	return "rank-" + strconv.Itoa(group)
}

package hemlockquota

import "hemlockhollow/hemlockmember"

// Population counts the nodes that share the quotas. Members that were declared dead count until the view drops them after an hour:
// while a zone is partitioned, the other zones must not take its share. Members that left gracefully do not count, also after they
// were declared dead.
type Population struct {
	// left holds the incarnations of members that left.
	left map[string]uint64
}

// Observe returns the number of nodes that share the quotas according to the records of a view.
func (p *Population) Observe(members []hemlockmember.Member) int {
	left, count := map[string]uint64{}, 0
	for _, m := range members {
		incarnation, known := p.left[m.Address]
		switch {
		case m.State == hemlockmember.Leaving, m.State == hemlockmember.Dead && known && incarnation == m.Incarnation:
			left[m.Address] = m.Incarnation
		default:
			count++
		}
	}
	p.left = left
	return count
}

package hemlockrelay

import (
	"hemlockhollow/hemlockselection"
)

// WithOutstandingWork makes a Gate report the outstanding work at its target. By default, it reports none.
func WithOutstandingWork() GateOption {
	return func(g *Gate) { g.work = hemlockselection.NewWork() }
}

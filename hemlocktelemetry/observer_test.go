package hemlocktelemetry

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockrelay"
)

// Guards against refusals of a class with few calls that no log shows, because those of other classes use up all lines.
func TestRefusalsOfARareClassAreLogged(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	observer := NewObserver(NewMetrics(), log, func() uint64 { return 1 })
	refusal := hemlockcall.Refuse(hemlockcall.ReasonOverload, "no capacity")
	for range 10 * maxFailureBurst {
		observer.Refused(hemlockrelay.SideEntry, &hemlockcall.RelayRequest{ID: "a", Class: "frequent"}, refusal, 0)
	}
	observer.Refused(hemlockrelay.SideEntry, &hemlockcall.RelayRequest{ID: "b", Class: "rare", ClassAddedIn: 7}, refusal, 0)
	if last := lines[len(lines)-1]; !strings.Contains(last, `"class"="rare"`) || !strings.Contains(last, `"route-added-in"=7`) {
		t.Errorf("last line after a refusal of a rare class: %s", last)
	}
	if len(lines) > 2*maxFailureBurst {
		t.Errorf("%d lines for %d refusals, want at most %d", len(lines), 10*maxFailureBurst, 2*maxFailureBurst)
	}
}

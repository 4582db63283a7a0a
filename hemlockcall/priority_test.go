package hemlockcall

import "testing"

// Guards against a priority whose name in state dumps is not the one that service files use.
func TestPriorityNamesRoundTrip(t *testing.T) {
	for p := Sheddable; int(p) < PriorityCount; p++ {
		parsed, ok := ParsePriority(p.String())
		if !ok || parsed != p {
			t.Errorf("the name of priority %v parsed as %v, %v; want the same priority and true", p, parsed, ok)
		}
	}
	if _, ok := ParsePriority("urgent"); ok {
		t.Error("an unknown name was accepted, want false")
	}
}

package hemlockcall

import (
	"strings"
	"testing"
)

// Guards against a panic that ends the process, and against a report that does not say where it came from.
func TestGuard(t *testing.T) {
	for name, run := range map[string]func(){
		"a value":         func() { panic("broken") },
		"an index":        func() { _ = make([]int, len(name(0)))[7] },
		"a nil reference": func() { var r *Refusal; _ = r.Detail },
	} {
		t.Run(name, func(t *testing.T) {
			err := RecoverPanic(run)
			if err == nil || !strings.Contains(err.Error(), "at guard_test.go:") {
				t.Errorf("error %v", err)
			}
		})
	}
	t.Run("no panic", func(t *testing.T) {
		if err := RecoverPanic(func() {}); err != nil {
			t.Error(err)
		}
	})
}

func name(n int) string { return strings.Repeat("x", n) }

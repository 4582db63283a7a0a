package hemlockcall

import (
	"strings"
	"testing"
)

// Guards against a panic that terminates the process, and against an error that does not say where the panic occurred.
func TestRecoverPanic(t *testing.T) {
	for name, run := range map[string]func(){
		"a value":         func() { panic("broken") },
		"an index":        func() { _ = make([]int, len(stringOfLength(0)))[7] },
		"a nil reference": func() { var r *Refusal; _ = r.Detail },
	} {
		t.Run(name, func(t *testing.T) {
			err := RecoverPanic(run)
			if err == nil || !strings.Contains(err.Error(), "at recover_test.go:") {
				t.Errorf("error %v, want one that names a line of recover_test.go", err)
			}
		})
	}
	t.Run("no panic", func(t *testing.T) {
		if err := RecoverPanic(func() {}); err != nil {
			t.Error(err)
		}
	})
}

func stringOfLength(n int) string { return strings.Repeat("x", n) }

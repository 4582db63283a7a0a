// Package proofs tests the guarantees of the design with real processes that are killed, suspended and stopped, and with
// outages of the platform. The scripts assert on counts and final states, never on durations.
package proofs

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the folder with the built programs.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hemlockhollow")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "..", "../standin/platform", "../standin/target", "../standin/load")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func TestGuarantees(t *testing.T) {
	files, err := filepath.Glob("testdata/script/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	// Each script has its own group of loopback addresses.
	for i, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			testscript.Run(t, testscript.Params{
				Files: []string{file},
				Setup: func(e *testscript.Env) error { return setUp(e, 100+i) },
				Cmds:  commands(),
			})
		})
	}
}

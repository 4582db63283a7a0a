package hemlockcommand

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlocknode"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hemlockhollow": func() {
		c := Command{LookupEnv: os.LookupEnv, Output: os.Stdout, ErrorOutput: os.Stderr, Node: nodeStub, Store: newStoreStub}
		os.Exit(c.Run(context.Background(), os.Args[1:]))
	}})
}

// nodeStub validates the settings, as a node does when it starts.
func nodeStub(_ context.Context, settings hemlocknode.Settings) error {
	return settings.Validate()
}

// storeStub stores the head row and the objects as files in the directory $STORE, so that the commands of a script share
// them. The first byte of a row's file is the row version.
type storeStub struct{}

func newStoreStub(platform string) (hemlockconfiguration.Store, error) {
	if strings.HasSuffix(platform, ":1") {
		return nil, errors.New("connection refused")
	}
	return hemlockconfiguration.NewTableStore(storeStub{}, storeStub{}), nil
}

// storePath returns the file of a row or an object.
func storePath(name string) string {
	return os.Getenv("STORE") + "/" + strings.ReplaceAll(name, "/", "_")
}

func (storeStub) ReadRow(_ context.Context, key string) ([]byte, uint64, error) {
	value, err := os.ReadFile(storePath(key))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	return value[1:], uint64(value[0]), err
}

func (s storeStub) SwapRow(ctx context.Context, key string, version uint64, value []byte) (bool, error) {
	if _, current, _ := s.ReadRow(ctx, key); current != version {
		return false, nil
	}
	return true, os.WriteFile(storePath(key), append([]byte{byte(version + 1)}, value...), 0o600)
}

func (storeStub) Put(_ context.Context, name string, body []byte) error {
	return os.WriteFile(storePath(name), body, 0o600)
}

func (storeStub) Get(_ context.Context, name string) ([]byte, bool, error) {
	body, err := os.ReadFile(storePath(name))
	return body, err == nil, nil
}

// Guards against a subcommand whose messages or exit codes differ from those in section 7 of the design.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodGet || r.URL.Path != "/state" {
					w.WriteHeader(http.StatusNotFound)
				}
				_, _ = w.Write([]byte(`{"version":7}`))
			}))
			e.Defer(server.Close)
			e.Setenv("OPERATOR", strings.TrimPrefix(server.URL, "http://"))
			e.Setenv("STORE", e.WorkDir)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// status CODE COMMAND... runs a command and checks its exit code, which testscript itself cannot do.
			"status": func(ts *testscript.TestScript, _ bool, arguments []string) {
				err := ts.Exec(arguments[1], arguments[2:]...)
				code := "0"
				if err != nil {
					code = strings.TrimPrefix(err.Error(), "exit status ")
				}
				if code != arguments[0] {
					ts.Fatalf("%v ended with %v, want exit status %s", arguments[1:], err, arguments[0])
				}
			},
		},
	})
}

// Guards against arguments with which the flag library panics, exits or ignores a flag.
func FuzzArguments(f *testing.F) {
	for _, a := range []string{"check\n--base\n5", "publish\n--base\n-1", "publish\n--remove=\n--platform", "state\n--", "check\n-\n--=",
		"publish\n-x=y\n", "--version", "state\n--operator\n127.0.0.1:0", "completion\nbash", "publish\n--test.v", "node", "node\n--zone", "node\noperand", "sidecar", "sidecar\noperand", "sidecar\n--placement\ncost", "sidecar\n--admission"} {
		f.Add(a)
	}
	flaggy.PanicInsteadOfExit = true
	f.Fuzz(func(t *testing.T, text string) {
		arguments := strings.Split(text, "\n")
		if arguments[0] == "check" || strings.Contains(text, "operator") {
			return // no files and no connections while fuzzing
		}
		var output bytes.Buffer
		c := Command{
			Node:      func(context.Context, hemlocknode.Settings) error { return nil },
			Sidecar:   func(context.Context, SidecarSettings) error { return nil },
			LookupEnv: func(string) (string, bool) { return "", false }, Output: &output, ErrorOutput: &output,
		}
		if code := c.Run(context.Background(), arguments); code != exitSuccess && code != exitUsage {
			t.Errorf("%q ended with exit code %d, want success or a usage error: %s", arguments, code, &output)
		}
		if strings.Contains(output.String(), "goroutine") {
			t.Errorf("%q printed a stack trace", arguments)
		}
	})
}

// Guards against an example file that no longer passes the check, or in which an order may run twice or is not critical.
func TestExamples(t *testing.T) {
	for deployment, services := range map[string]int{"kilwa": 4, "habi-tahanan": 4} {
		names, err := filepath.Glob("../examples/" + deployment + "/*.hcl")
		if err != nil || len(names) != services {
			t.Fatalf("%s has the files %v, error %v; want one file for each service and no error", deployment, names, err)
		}
		changes, err := readChanges("check", names, 0)
		if err != nil {
			t.Fatal(err)
		}
		parsed, problems := hemlockconfiguration.Check(changes)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		for _, s := range parsed {
			class, ok := s.Match(http.MethodPost, "/orders")
			if s.Name == "orders" && (!ok || !class.AtMostOnce || class.Priority != hemlockcall.Critical) {
				t.Errorf("%s: the class of POST /orders is %+v, found %v; want a critical at-most-once class", deployment, class, ok)
			}
		}
	}
}

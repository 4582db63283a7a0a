package proofs

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"hemlockhollow/standin/harness"
)

const timeout = 60 * time.Second

// script is the state of one running script. Hosts and load clients, with their results, are stored by the names that the
// script gives them.
type script struct {
	cluster *harness.Cluster
	hosts   map[string]*harness.Host
	loads   map[string]*harness.Process
	results map[string]harness.LoadResults
	// keys are the idempotency keys of orders by the names that the script gives them.
	keys map[string]string
}

type scriptKey struct{}

func setUp(e *testscript.Env, group int) error {
	s := &script{
		cluster: harness.New(binaries, group),
		hosts:   map[string]*harness.Host{},
		loads:   map[string]*harness.Process{},
		results: map[string]harness.LoadResults{},
		keys:    map[string]string{},
	}
	e.Values[scriptKey{}] = s
	e.Defer(func() {
		if os.Getenv("PROOFS_VERBOSE") != "" {
			s.cluster.WriteOutput(os.Stderr)
		}
		for _, l := range s.loads {
			l.Kill()
		}
		s.cluster.Stop()
	})
	return s.cluster.StartPlatform()
}

type command = func(ts *testscript.TestScript, s *script, arguments []string) error

// commands returns the commands of the scripts by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	byName := map[string]command{
		"host": addHost, "publish": publish, "ready": awaitReady, "load": startLoad, "wait-load": waitLoad,
		"crash": crash, "restart": restart, "freeze": freeze, "thaw": thaw, "shutdown": shutdown, "faults": setFaults,
		"copy-platform": copyPlatform, "return-platform": returnPlatform,
		"all-whole": allWhole, "at-least": atLeast, "none": none, "orders-hold": ordersHold, "version": atVersion,
		"call": call, "order": order, "counter-at-most": counterAtMost, "pause": pause, "race": race, "stalled": stalled,
	}
	registered := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range byName {
		registered[name] = func(ts *testscript.TestScript, negated bool, arguments []string) {
			err := run(ts, ts.Value(scriptKey{}).(*script), arguments)
			if (err != nil) != negated {
				ts.Fatalf("%s %s: %v", name, strings.Join(arguments, " "), err)
			}
		}
	}
	return registered
}

func (s *script) host(name string) *harness.Host {
	if h := s.hosts[name]; h != nil {
		return h
	}
	panic("no host " + name)
}

// addHost implements "host NAME ZONE SERVICE [TARGET-ARGUMENT...]", which starts a host.
func addHost(_ *testscript.TestScript, s *script, a []string) error {
	h := &harness.Host{Zone: a[1], Service: a[2], TargetArguments: a[3:]}
	s.hosts[a[0]] = h
	return s.cluster.Add(h)
}

// publish implements "publish FILE...", which publishes all files as one version of the configuration.
func publish(ts *testscript.TestScript, s *script, a []string) error {
	_, err := s.cluster.Publish(absolutePaths(ts, a)...)
	return err
}

func absolutePaths(ts *testscript.TestScript, names []string) []string {
	var all []string
	for _, n := range names {
		all = append(all, ts.MkAbs(n))
	}
	return all
}

// race implements "race FILE...", which publishes each file with a separate publisher, all at the same time.
func race(ts *testscript.TestScript, s *script, a []string) error {
	done := make(chan error)
	for _, file := range absolutePaths(ts, a) {
		go func() {
			_, err := s.cluster.Publish(file)
			done <- err
		}()
	}
	var failed error
	for range a {
		if err := <-done; err != nil {
			failed = err
		}
	}
	return failed
}

// awaitReady implements "ready VERSION [HOST...]", which waits until the hosts, by default all, see each other as ready
// and have at least this configuration version.
func awaitReady(_ *testscript.TestScript, s *script, a []string) error {
	version, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return err
	}
	return s.cluster.AwaitReady(timeout, version, s.hostsNamed(a[1:])...)
}

func (s *script) hostsNamed(names []string) []*harness.Host {
	if len(names) == 0 {
		return s.cluster.Hosts
	}
	var hosts []*harness.Host
	for _, n := range names {
		hosts = append(hosts, s.host(n))
	}
	return hosts
}

// startLoad implements "load NAME HOST,HOST ARGUMENT...", which starts a load client that sends to these hosts.
func startLoad(_ *testscript.TestScript, s *script, a []string) error {
	p, err := s.cluster.Load(s.hostsNamed(strings.Split(a[1], ",")), a[2:]...)
	s.loads[a[0]] = p
	return err
}

// waitLoad implements "wait-load NAME", which waits until a load client ends and stores its results.
func waitLoad(ts *testscript.TestScript, s *script, a []string) error {
	results, err := harness.WaitResults(s.loads[a[0]], timeout)
	s.results[a[0]] = results
	for _, c := range results.Classes {
		ts.Logf("%s: sent %d, attempts %d, outcomes %v, reasons %v", c.Name, c.Sent, c.Attempts, c.Outcomes, c.Reasons)
	}
	return err
}

// crash implements "crash node|target HOST" and "crash platform", which kill a process with SIGKILL.
func crash(_ *testscript.TestScript, s *script, a []string) error {
	switch a[0] {
	case "node":
		s.host(a[1]).Node.Kill()
	case "target":
		s.host(a[1]).Target.Kill()
	case "platform":
		s.cluster.Platform.Kill()
	}
	return nil
}

// restart implements "restart node|target HOST" and "restart platform", which start a process again.
func restart(_ *testscript.TestScript, s *script, a []string) error {
	switch a[0] {
	case "node":
		return s.cluster.StartNode(s.host(a[1]))
	case "target":
		return s.cluster.StartTarget(s.host(a[1]))
	}
	return s.cluster.StartPlatform()
}

// freeze implements "freeze HOST", which suspends the node and the target of a host.
func freeze(_ *testscript.TestScript, s *script, a []string) error {
	s.host(a[0]).Pause()
	return nil
}

// thaw implements "thaw HOST", which continues the processes of a frozen host.
func thaw(_ *testscript.TestScript, s *script, a []string) error {
	s.host(a[0]).Resume()
	return nil
}

// shutdown implements "shutdown node|target HOST", which sends SIGTERM and expects exit code 0.
func shutdown(_ *testscript.TestScript, s *script, a []string) error {
	p := s.host(a[1]).Node
	if a[0] == "target" {
		p = s.host(a[1]).Target
	}
	p.Signal(syscall.SIGTERM)
	code, err := p.Wait(timeout)
	if err == nil && code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return err
}

// setFaults implements "faults JSON", which replaces the faults that the platform injects.
func setFaults(_ *testscript.TestScript, s *script, a []string) error {
	return s.cluster.SetPlatformFaults(a[0])
}

// copyPlatform implements "copy-platform", which takes a copy of what the platform has stored.
func copyPlatform(_ *testscript.TestScript, s *script, _ []string) error {
	return s.cluster.CopyPlatform()
}

// returnPlatform implements "return-platform", which makes the platform return from the last copy.
func returnPlatform(_ *testscript.TestScript, s *script, _ []string) error {
	return s.cluster.ReturnPlatform()
}

// pause implements "pause DURATION", which waits, for example while a fault acts. Nothing is asserted on the duration.
func pause(_ *testscript.TestScript, _ *script, a []string) error {
	d, err := time.ParseDuration(a[0])
	time.Sleep(d)
	return err
}

func (s *script) class(load, name string) (harness.ClassResult, error) {
	for _, c := range s.results[load].Classes {
		if c.Name == name {
			return c, nil
		}
	}
	return harness.ClassResult{}, fmt.Errorf("no class %s in load %s", name, load)
}

// allWhole implements "all-whole LOAD CLASS", which expects a complete response to every request.
func allWhole(_ *testscript.TestScript, s *script, a []string) error {
	c, err := s.class(a[0], a[1])
	if err == nil && (c.Sent == 0 || c.Outcomes["whole"] != c.Sent) {
		return fmt.Errorf("%d sent, outcomes %v", c.Sent, c.Outcomes)
	}
	return err
}

// atLeast implements "at-least LOAD CLASS PERCENT", which expects complete responses to at least so many of the requests.
func atLeast(_ *testscript.TestScript, s *script, a []string) error {
	c, err := s.class(a[0], a[1])
	if err != nil {
		return err
	}
	percent, err := strconv.ParseFloat(a[2], 64)
	if err == nil && float64(c.Outcomes["whole"])*100 < percent*float64(c.Sent) {
		return fmt.Errorf("%d sent, outcomes %v", c.Sent, c.Outcomes)
	}
	return err
}

// none implements "none LOAD OUTCOME...", which expects no request of any class to have one of these outcomes.
func none(_ *testscript.TestScript, s *script, a []string) error {
	for _, c := range s.results[a[0]].Classes {
		for _, outcome := range a[1:] {
			if c.Outcomes[outcome] > 0 {
				return fmt.Errorf("class %s: %d %s", c.Name, c.Outcomes[outcome], outcome)
			}
		}
	}
	return nil
}

// ordersHold implements "orders-hold LOAD CLASS HOST...", which compares the idempotency keys of a class with the run
// logs of the targets: no key ran twice, every key with a complete response ran, and no key that was refused before
// execution ran.
func ordersHold(ts *testscript.TestScript, s *script, a []string) error {
	c, err := s.class(a[0], a[1])
	if err != nil {
		return err
	}
	runs := map[string]int{}
	for _, name := range a[2:] {
		counted, err := s.cluster.RunCounts(s.host(name))
		if err != nil {
			return err
		}
		for key, n := range counted {
			runs[key] += n
		}
	}
	ts.Logf("%d keys ran, %d completed, %d refused before execution", len(runs), len(c.CompleteKeys), len(c.NotRunKeys))
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, key := range c.CompleteKeys {
		if runs[key] == 0 {
			return fmt.Errorf("key %s got a complete response but has not run", key)
		}
	}
	for _, key := range c.NotRunKeys {
		if runs[key] > 0 {
			return fmt.Errorf("key %s was refused before execution but has run", key)
		}
	}
	return nil
}

// atVersion implements "version N [HOST...]", which waits until the hosts, by default all, have exactly this configuration
// version.
func atVersion(_ *testscript.TestScript, s *script, a []string) error {
	return harness.Eventually(timeout, func() error {
		for _, h := range s.hostsNamed(a[1:]) {
			state, err := s.cluster.State(h)
			if err != nil {
				return err
			}
			if got := strconv.FormatUint(state.Configuration.Version, 10); got != a[0] {
				return fmt.Errorf("node %d has version %s", h.Number, got)
			}
		}
		return nil
	})
}

// call implements "call HOST METHOD PATH STATUS [HEADER:VALUE]...", which sends a request and expects the status.
func call(_ *testscript.TestScript, s *script, a []string) error {
	status, err := send(s.host(a[0]).CallerAddress(), a[1], a[2], a[4:])
	if err == nil && strconv.Itoa(status) != a[3] {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// order implements "order HOST PATH NAME STATUS", which sends an order and expects the status. Orders of one name have the same
// idempotency key.
func order(_ *testscript.TestScript, s *script, a []string) error {
	if s.keys[a[2]] == "" {
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		s.keys[a[2]] = key.String()
	}
	status, err := send(s.host(a[0]).CallerAddress(), http.MethodPost, a[1], []string{"Idempotency-Key:" + s.keys[a[2]]})
	if err == nil && strconv.Itoa(status) != a[3] {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// stalled implements "stalled HOST PATH LENGTH SENT", which sends only the first SENT bytes of an upload of LENGTH bytes
// and expects a refusal all the same.
func stalled(_ *testscript.TestScript, s *script, a []string) error {
	length, err := strconv.Atoi(a[2])
	if err != nil {
		return err
	}
	sent, err := strconv.Atoi(a[3])
	if err != nil {
		return err
	}
	return sendPartialUpload(s.host(a[0]).CallerAddress(), a[1], length, sent)
}

// counterAtMost implements "counter-at-most NAME N HOST...", which expects the sum of a counter over the targets to be at
// most N.
func counterAtMost(ts *testscript.TestScript, s *script, a []string) error {
	sum := int64(0)
	for _, name := range a[2:] {
		counters, err := s.cluster.Counters(s.host(name))
		if err != nil {
			return err
		}
		ts.Logf("%s: %v", name, slices.Sorted(maps.Keys(counters)))
		sum += counters[a[0]]
	}
	maxSum, err := strconv.ParseInt(a[1], 10, 64)
	if err == nil && sum > maxSum {
		return fmt.Errorf("%s is %d", a[0], sum)
	}
	return err
}

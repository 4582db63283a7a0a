package proofs

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hemlockhollow/standin/harness"
)

const limit = 60 * time.Second

// scene is the cluster of one script.
type scene struct {
	cluster *harness.Cluster
	hosts   map[string]*harness.Host
	loads   map[string]*harness.Process
	results map[string]harness.LoadResults
}

type sceneKey struct{}

func setUp(e *testscript.Env, group int) error {
	s := &scene{
		cluster: harness.New(binaries, group),
		hosts:   map[string]*harness.Host{},
		loads:   map[string]*harness.Process{},
		results: map[string]harness.LoadResults{},
	}
	e.Values[sceneKey{}] = s
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

type command = func(ts *testscript.TestScript, s *scene, arguments []string) error

// commands are the verbs of the scripts.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	verbs := map[string]command{
		"host": addHost, "publish": publish, "ready": awaitReady, "load": startLoad, "wait-load": waitLoad,
		"crash": crash, "restart": restart, "freeze": freeze, "thaw": thaw, "shutdown": shutdown, "faults": setFaults,
		"all-whole": allWhole, "at-least": atLeast, "none": none, "orders-hold": ordersHold, "version": atVersion,
		"call": call, "counter-at-most": counterAtMost, "pause": pause, "race": race, "stalled": stalled,
	}
	registered := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range verbs {
		registered[name] = func(ts *testscript.TestScript, negated bool, arguments []string) {
			err := run(ts, ts.Value(sceneKey{}).(*scene), arguments)
			if (err != nil) != negated {
				ts.Fatalf("%s %s: %v", name, strings.Join(arguments, " "), err)
			}
		}
	}
	return registered
}

func (s *scene) host(name string) *harness.Host {
	if h := s.hosts[name]; h != nil {
		return h
	}
	panic("no host " + name)
}

// addHost: host NAME ZONE SERVICE [TARGET-ARGUMENT...]
func addHost(_ *testscript.TestScript, s *scene, a []string) error {
	h := &harness.Host{Zone: a[1], Service: a[2], TargetArguments: a[3:]}
	s.hosts[a[0]] = h
	return s.cluster.Add(h)
}

// publish: publish FILE...
func publish(ts *testscript.TestScript, s *scene, a []string) error {
	_, err := s.cluster.Publish(paths(ts, a)...)
	return err
}

func paths(ts *testscript.TestScript, names []string) []string {
	var all []string
	for _, n := range names {
		all = append(all, ts.MkAbs(n))
	}
	return all
}

// race: race FILE... publishes every file at the same time by a publisher of its own.
func race(ts *testscript.TestScript, s *scene, a []string) error {
	done := make(chan error)
	for _, file := range paths(ts, a) {
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

// awaitReady: ready VERSION [HOST...]; without hosts all
func awaitReady(_ *testscript.TestScript, s *scene, a []string) error {
	version, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return err
	}
	return s.cluster.AwaitReady(limit, version, s.chosen(a[1:])...)
}

func (s *scene) chosen(names []string) []*harness.Host {
	if len(names) == 0 {
		return s.cluster.Hosts
	}
	var hosts []*harness.Host
	for _, n := range names {
		hosts = append(hosts, s.host(n))
	}
	return hosts
}

// startLoad: load NAME ENTRY,ENTRY ARGUMENT...
func startLoad(_ *testscript.TestScript, s *scene, a []string) error {
	p, err := s.cluster.Load(s.chosen(strings.Split(a[1], ",")), a[2:]...)
	s.loads[a[0]] = p
	return err
}

// waitLoad: wait-load NAME
func waitLoad(ts *testscript.TestScript, s *scene, a []string) error {
	results, err := harness.WaitResults(s.loads[a[0]], limit)
	s.results[a[0]] = results
	for _, c := range results.Classes {
		ts.Logf("%s: sent %d, attempts %d, ends %v, reasons %v", c.Name, c.Sent, c.Attempts, c.Outcomes, c.Reasons)
	}
	return err
}

// crash: crash node|target|platform HOST
func crash(_ *testscript.TestScript, s *scene, a []string) error {
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

// restart: restart node|target|platform HOST
func restart(_ *testscript.TestScript, s *scene, a []string) error {
	switch a[0] {
	case "node":
		return s.cluster.StartNode(s.host(a[1]))
	case "target":
		return s.cluster.StartTarget(s.host(a[1]))
	}
	return s.cluster.StartPlatform()
}

func freeze(_ *testscript.TestScript, s *scene, a []string) error {
	s.host(a[0]).Pause()
	return nil
}

func thaw(_ *testscript.TestScript, s *scene, a []string) error {
	s.host(a[0]).Resume()
	return nil
}

// shutdown: shutdown node|target HOST sends SIGTERM and expects exit code 0
func shutdown(_ *testscript.TestScript, s *scene, a []string) error {
	p := s.host(a[1]).Node
	if a[0] == "target" {
		p = s.host(a[1]).Target
	}
	p.Signal(syscall.SIGTERM)
	code, err := p.Wait(limit)
	if err == nil && code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return err
}

// setFaults: faults JSON
func setFaults(_ *testscript.TestScript, s *scene, a []string) error {
	return s.cluster.SetPlatformFaults(a[0])
}

// pause: pause DURATION lets a fault last; nothing is asserted on its length
func pause(_ *testscript.TestScript, _ *scene, a []string) error {
	d, err := time.ParseDuration(a[0])
	time.Sleep(d)
	return err
}

func (s *scene) class(load, name string) (harness.ClassResult, error) {
	for _, c := range s.results[load].Classes {
		if c.Name == name {
			return c, nil
		}
	}
	return harness.ClassResult{}, fmt.Errorf("no class %s in load %s", name, load)
}

// allWhole: all-whole LOAD CLASS
func allWhole(_ *testscript.TestScript, s *scene, a []string) error {
	c, err := s.class(a[0], a[1])
	if err == nil && (c.Sent == 0 || c.Outcomes["whole"] != c.Sent) {
		return fmt.Errorf("%d sent, ends %v", c.Sent, c.Outcomes)
	}
	return err
}

// atLeast: at-least LOAD CLASS PERCENT of the requests are whole
func atLeast(_ *testscript.TestScript, s *scene, a []string) error {
	c, err := s.class(a[0], a[1])
	if err != nil {
		return err
	}
	percent, err := strconv.ParseFloat(a[2], 64)
	if err == nil && float64(c.Outcomes["whole"])*100 < percent*float64(c.Sent) {
		return fmt.Errorf("%d sent, ends %v", c.Sent, c.Outcomes)
	}
	return err
}

// none: none LOAD END... in no class
func none(_ *testscript.TestScript, s *scene, a []string) error {
	for _, c := range s.results[a[0]].Classes {
		for _, end := range a[1:] {
			if c.Outcomes[end] > 0 {
				return fmt.Errorf("class %s: %d %s", c.Name, c.Outcomes[end], end)
			}
		}
	}
	return nil
}

// ordersHold: orders-hold LOAD CLASS HOST... judges by the targets' own logs: no key ran twice, every answered key ran,
// no key that was refused as not run has run.
func ordersHold(ts *testscript.TestScript, s *scene, a []string) error {
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
	ts.Logf("%d keys ran, %d answered, %d not run", len(runs), len(c.WholeKeys), len(c.NotRunKeys))
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, key := range c.WholeKeys {
		if runs[key] == 0 {
			return fmt.Errorf("key %s was answered and has not run", key)
		}
	}
	for _, key := range c.NotRunKeys {
		if runs[key] > 0 {
			return fmt.Errorf("key %s was refused as not run and has run", key)
		}
	}
	return nil
}

// atVersion: version N HOST... waits until each host has exactly this configuration
func atVersion(_ *testscript.TestScript, s *scene, a []string) error {
	return harness.Eventually(limit, func() error {
		for _, h := range s.chosen(a[1:]) {
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

// call: call HOST METHOD PATH STATUS [HEADER:VALUE]...
func call(_ *testscript.TestScript, s *scene, a []string) error {
	status, err := send(s.host(a[0]).CallerAddress(), a[1], a[2], a[4:])
	if err == nil && strconv.Itoa(status) != a[3] {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// stalled: stalled HOST PATH LENGTH SENT sends a part of an upload and expects an answer all the same
func stalled(_ *testscript.TestScript, s *scene, a []string) error {
	length, err := strconv.Atoi(a[2])
	if err != nil {
		return err
	}
	sent, err := strconv.Atoi(a[3])
	if err != nil {
		return err
	}
	return sendPart(s.host(a[0]).CallerAddress(), a[1], length, sent)
}

// counterAtMost: counter-at-most NAME N HOST... sums a counter of the targets
func counterAtMost(ts *testscript.TestScript, s *scene, a []string) error {
	sum := int64(0)
	for _, name := range a[2:] {
		counters, err := s.cluster.Counters(s.host(name))
		if err != nil {
			return err
		}
		ts.Logf("%s: %v", name, slices.Sorted(maps.Keys(counters)))
		sum += counters[a[0]]
	}
	most, err := strconv.ParseInt(a[1], 10, 64)
	if err == nil && sum > most {
		return fmt.Errorf("%s is %d", a[0], sum)
	}
	return err
}

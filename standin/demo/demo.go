package main

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/standin/harness"
)

const (
	startTimeout = 20 * time.Second
	loadTimeout  = 90 * time.Second
	// The surge starts and ends at these seconds of the storm; the storm lasts until stormEnd, to show the recovery.
	surgeStart = 3
	surgeEnd   = 9
	stormEnd   = 18
	// group is the second byte of all addresses of the demo.
	group = 90
)

type demo struct {
	cluster  *harness.Cluster
	examples string
	report   report
}

func newDemo(binaries, examples string) *demo {
	return &demo{cluster: harness.New(binaries, group), examples: examples}
}

func (d *demo) run() error {
	steps := []func() error{d.start, d.publish, d.normalLoad, d.stalledUpload, d.storm}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.report.summary()
	return nil
}

func (d *demo) start() error {
	fmt.Println("Starting a platform and two availability zones with four hosts each, a node beside each target.")
	if err := d.cluster.StartPlatform(); err != nil {
		return err
	}
	for _, zone := range []string{"zone-a", "zone-b"} {
		for _, service := range []string{"catalogue", "orders", "counter", "studio"} {
			if err := d.cluster.Add(&harness.Host{Zone: zone, Service: service, TargetArguments: targetArguments(service)}); err != nil {
				return err
			}
		}
	}
	return nil
}

// targetArguments returns the arguments of a target with few slots, so that a small load is an overload. A catalogue page
// looks up stock.
func targetArguments(service string) []string {
	arguments := []string{"--slots", "8", "--service-time", "20ms", "--cold", "1s"}
	if service == "catalogue" {
		return append(arguments, "--downstream", "/counter/stock/7")
	}
	return arguments
}

func (d *demo) publish() error {
	files, err := filepath.Glob(filepath.Join(d.examples, "kilwa", "*.hcl"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("no service files in %s", d.examples)
	}
	output, err := d.cluster.Publish(files...)
	if err != nil {
		return err
	}
	fmt.Print(output)
	if err := d.cluster.AwaitReady(startTimeout, 1, d.cluster.Hosts...); err != nil {
		return err
	}
	d.report.check(true, "the configuration is active on %d nodes, and all see each other as ready", len(d.cluster.Hosts))
	return nil
}

// steadyLoad returns the arguments of the normal load; browsing alone uses about half of the catalogue's slots.
func steadyLoad(seconds int) []string {
	return []string{
		"--duration", fmt.Sprintf("%ds", seconds), "--timeout", "10s",
		"--class", "browsing:GET:/catalogue/patterns/{n}?size=20000:80",
		"--class", "booking:POST:/orders/orders:40:300:once",
		"--class", "lookup:GET:/counter/stock/{n}?size=200:60",
		"--class", "upload:PUT:/studio/scans/{n}:4:2000000",
	}
}

func (d *demo) normalLoad() error {
	// Targets start slowly and admit little at first, so that the first seconds say nothing about normal load.
	warmUp, err := d.cluster.Load(d.cluster.Hosts, steadyLoad(3)...)
	if err != nil {
		return err
	}
	if _, err := harness.WaitResults(warmUp, loadTimeout); err != nil {
		return err
	}
	load, err := d.cluster.Load(d.cluster.Hosts, steadyLoad(4)...)
	if err != nil {
		return err
	}
	results, err := harness.WaitResults(load, loadTimeout)
	if err != nil {
		return err
	}
	printClasses("Normal load, 4 s", results.Classes)
	for _, c := range results.Classes {
		d.report.check(c.Outcomes["whole"] == c.Sent, "%s: all %d requests complete", c.Name, c.Sent)
	}
	return d.checkContext()
}

// checkContext checks that the catalogue's nested calls were assigned to the customer request that they serve.
func (d *demo) checkContext() error {
	var matched uint64
	for _, h := range d.cluster.Hosts {
		var state struct {
			Contexts struct {
				Exact   uint64 `json:"exact"`
				ByTrace uint64 `json:"by-trace"`
			} `json:"contexts"`
		}
		if err := d.cluster.Get("http://"+h.OperatorAddress()+"/state", &state); err != nil {
			return err
		}
		matched += state.Contexts.Exact + state.Contexts.ByTrace
	}
	d.report.check(matched > 0, "%d nested calls of targets were assigned to the customer request that they serve", matched)
	return nil
}

// stalledUpload sends a part of an upload and nothing more, and checks that it occupies no slot.
func (d *demo) stalledUpload() error {
	entry, studio := d.cluster.Hosts[0], []*harness.Host{d.cluster.Hosts[3], d.cluster.Hosts[7]}
	connection, err := net.Dial("tcp", entry.CallerAddress())
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "PUT /studio/scans/stalled HTTP/1.1\r\nHost: studio\r\nContent-Length: 9000000\r\n\r\n%s",
		make([]byte, 100_000))
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	inUse := 0
	for _, h := range studio {
		state, err := d.cluster.State(h)
		if err != nil {
			return err
		}
		inUse += state.Admission.InFlight
	}
	d.report.check(inUse == 0, "an upload that stalls occupies no slot (%d in use)", inUse)
	return nil
}

// storm adds five times the browsing by callers that retry, crashes a target, kills a node and stops another one.
func (d *demo) storm() error {
	fmt.Printf("\nStorm: browsing rises sixfold from second %d to %d and its callers retry; a catalogue target crashes in\n"+
		"second 4 and returns in second 7, a counter node is killed in second 5, an orders node is stopped in second 6.\n",
		surgeStart, surgeEnd)
	hosts := d.cluster.Hosts
	entries := []*harness.Host{hosts[0], hosts[3], hosts[4], hosts[7]}
	load, err := d.cluster.Load(entries, steadyLoad(stormEnd)...)
	if err != nil {
		return err
	}
	begin := time.Now()
	surge, err := d.surge(begin, entries)
	if err != nil {
		return err
	}
	if err := d.injectFaults(begin); err != nil {
		return err
	}
	extra, err := harness.WaitResults(surge, loadTimeout)
	if err != nil {
		return err
	}
	results, err := harness.WaitResults(load, loadTimeout)
	if err != nil {
		return err
	}
	printClasses("Steady callers during the storm", results.Classes)
	printClasses("Additional callers", extra.Classes)
	return d.checkStorm(results, extra)
}

func (d *demo) surge(begin time.Time, entries []*harness.Host) (*harness.Process, error) {
	time.Sleep(time.Until(begin.Add(surgeStart * time.Second)))
	return d.cluster.Load(entries, "--duration", fmt.Sprintf("%ds", surgeEnd-surgeStart), "--repeats", "2", "--timeout", "10s",
		"--class", "surge:GET:/catalogue/patterns/{n}?size=20000:400")
}

func (d *demo) injectFaults(begin time.Time) error {
	hosts := d.cluster.Hosts
	catalogue, counter, orders := hosts[4], hosts[6], hosts[1]
	at := func(second int) { time.Sleep(time.Until(begin.Add(time.Duration(second) * time.Second))) }
	at(4)
	catalogue.Target.Kill()
	at(5)
	counter.Node.Kill()
	at(6)
	orders.Node.Signal(syscall.SIGTERM)
	at(7)
	if err := d.cluster.StartTarget(catalogue); err != nil {
		return err
	}
	code, err := orders.Node.Wait(startTimeout)
	if err != nil {
		return err
	}
	d.report.check(code == 0, "the stopped node finished what was in flight and ended with code %d", code)
	return nil
}

func (d *demo) checkStorm(results, extra harness.LoadResults) error {
	all := append(append([]harness.ClassResult{}, results.Classes...), extra.Classes...)
	truncated, wrong := 0, 0
	for _, c := range all {
		truncated += c.Outcomes["broken"]
		wrong += c.Outcomes["wrong"]
	}
	d.report.check(truncated == 0, "no response was truncated (%d)", truncated)
	d.report.check(wrong == 0, "every complete response belongs to its own request (%d wrong)", wrong)
	for _, c := range results.Classes {
		if c.Name == "booking" || c.Name == "lookup" {
			d.report.check(completeFraction(c) >= 0.99, "%s: %.1f%% complete, at least 99%%", c.Name, 100*completeFraction(c))
		}
	}
	browsing := results.Classes[0]
	seconds := recoverySeconds(browsing, surgeEnd)
	d.report.check(seconds >= 0 && seconds <= 5, "browsing recovered %d s after the surge, at most 5 s", seconds)
	return d.checkOrders(results.Classes[1])
}

// checkOrders compares the responses that callers received with what the targets have run.
func (d *demo) checkOrders(booking harness.ClassResult) error {
	runs := map[string]int{}
	for _, h := range d.cluster.Hosts {
		if h.Service != "orders" {
			continue
		}
		counted, err := d.cluster.RunCounts(h)
		if err != nil {
			return err
		}
		for key, count := range counted {
			runs[key] += count
		}
	}
	twice, missing, contradicted := 0, 0, 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	for _, key := range booking.CompleteKeys {
		if runs[key] == 0 {
			missing++
		}
	}
	for _, key := range booking.NotRunKeys {
		if runs[key] > 0 {
			contradicted++
		}
	}
	d.report.check(twice == 0, "no order ran twice (%d of %d keys)", twice, len(runs))
	d.report.check(missing == 0, "every order with a complete response ran (%d missing)", missing)
	d.report.check(contradicted == 0, "no order that was refused before execution has run (%d)", contradicted)
	return nil
}

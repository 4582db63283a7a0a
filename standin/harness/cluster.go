package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Host is a simulated host: a node beside a target, on a loopback address.
type Host struct {
	// Number is unique in the cluster; the host's addresses are 127.GROUP.NUMBER.1.
	Number int
	// Zone is the availability zone; Service is what the target runs.
	Zone, Service string
	// TargetArguments are added to the target's command line.
	TargetArguments []string
	// NodeArguments are added to the node's command line.
	NodeArguments []string
	Node, Target  *Process
	ip            string
}

// CallerAddress is the address for callers.
func (h *Host) CallerAddress() string { return h.ip + ":7000" }

// PeerAddress is the address for other nodes.
func (h *Host) PeerAddress() string { return h.ip + ":7002" }

// OperatorAddress is the address for operators.
func (h *Host) OperatorAddress() string { return h.ip + ":7003" }

// TargetAddress is the address that the target listens on.
func (h *Host) TargetAddress() string { return h.ip + ":7100" }

// targetFacingAddress is the node's address for the target.
func (h *Host) targetFacingAddress() string { return h.ip + ":7001" }

// Cluster is a platform with hosts in availability zones.
type Cluster struct {
	// Hosts are in the order of Add.
	Hosts    []*Host
	Platform *Process
	folder   string
	group    int
	client   *http.Client
}

// New returns a cluster whose programs are in the folder. The group is the second byte of all addresses; clusters of
// different groups can run at the same time.
func New(folder string, group int) *Cluster {
	return &Cluster{folder: folder, group: group, client: &http.Client{Timeout: 2 * time.Second}}
}

// PlatformAddress is the address of the platform.
func (c *Cluster) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:7070", c.group)
}

// StartPlatform starts the platform.
func (c *Cluster) StartPlatform() error {
	p, err := start(c.folder, "platform", "platform", "--listen", c.PlatformAddress(), "--latency", "2ms")
	c.Platform = p
	return err
}

// Add adds a host to the cluster and starts its node and its target.
func (c *Cluster) Add(h *Host) error {
	h.Number = len(c.Hosts) + 1
	h.ip = fmt.Sprintf("127.%d.%d.1", c.group, h.Number)
	c.Hosts = append(c.Hosts, h)
	if err := c.StartNode(h); err != nil {
		return err
	}
	return c.StartTarget(h)
}

// StartNode starts or restarts the node of a host.
func (c *Cluster) StartNode(h *Host) error {
	arguments := []string{
		"node", "--zone", h.Zone, "--callers-address", h.CallerAddress(), "--target-address", h.targetFacingAddress(),
		"--peers-address", h.PeerAddress(), "--operators-address", h.OperatorAddress(), "--platform", "http://" + c.PlatformAddress(),
		"--drain-grace", "500ms",
	}
	p, err := start(c.folder, "hemlockhollow", "node "+strconv.Itoa(h.Number), append(arguments, h.NodeArguments...)...)
	h.Node = p
	return err
}

// StartTarget starts or restarts the target of a host.
func (c *Cluster) StartTarget(h *Host) error {
	arguments := []string{"--listen", h.TargetAddress(), "--node", h.targetFacingAddress(), "--service", h.Service}
	p, err := start(c.folder, "target", "target "+strconv.Itoa(h.Number), append(arguments, h.TargetArguments...)...)
	h.Target = p
	return err
}

// Stop kills the platform and the processes of all hosts.
func (c *Cluster) Stop() {
	for _, p := range c.processes() {
		p.Kill()
	}
}

func (c *Cluster) processes() []*Process {
	var all []*Process
	if c.Platform != nil {
		all = append(all, c.Platform)
	}
	for _, h := range c.Hosts {
		for _, p := range []*Process{h.Node, h.Target} {
			if p != nil {
				all = append(all, p)
			}
		}
	}
	return all
}

// WriteOutput writes what the processes have printed, except those that a restart has replaced.
func (c *Cluster) WriteOutput(w io.Writer) {
	for _, p := range c.processes() {
		p.WriteOutput(w)
	}
}

// Publish runs the publish command with the files.
func (c *Cluster) Publish(files ...string) (string, error) {
	return c.Run("hemlockhollow", append([]string{"publish", "--platform", "http://" + c.PlatformAddress()}, files...)...)
}

// Run runs a program, waits at most 2 minutes until it ends, and returns its output. An exit code other than 0 is an
// error.
func (c *Cluster) Run(program string, arguments ...string) (string, error) {
	p, err := start(c.folder, program, program, arguments...)
	if err != nil {
		return "", err
	}
	code, err := p.Wait(2 * time.Minute)
	if err == nil && code != 0 {
		err = errors.Errorf("%s ended with code %d: %s", program, code, p.Output())
	}
	return p.Output(), err
}

// Load starts the load client; it sends its requests to the nodes of the given hosts.
func (c *Cluster) Load(entries []*Host, arguments ...string) (*Process, error) {
	addresses := make([]string, 0, len(entries))
	for _, h := range entries {
		addresses = append(addresses, h.CallerAddress())
	}
	return start(c.folder, "load", "load", append([]string{"--entries", strings.Join(addresses, ",")}, arguments...)...)
}

// SetPlatformFaults replaces the faults that the platform injects, given as JSON.
func (c *Cluster) SetPlatformFaults(faults string) error {
	return c.postToPlatform("faults", faults)
}

// CopyPlatform takes a copy of what the platform has stored.
func (c *Cluster) CopyPlatform() error {
	return c.postToPlatform("copy", "")
}

// ReturnPlatform makes the platform return from the last copy, without what was written since.
func (c *Cluster) ReturnPlatform() error {
	return c.postToPlatform("restore", "")
}

func (c *Cluster) postToPlatform(command, body string) error {
	response, err := c.client.Post("http://"+c.PlatformAddress()+"/admin/"+command, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s %s: status %d", command, body, response.StatusCode)
	}
	return nil
}

// Get decodes the JSON response of a GET request into a value.
func (c *Cluster) Get(url string, into any) error {
	response, err := c.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// Pause suspends the processes of a host until Resume.
func (h *Host) Pause() {
	h.Node.Signal(syscall.SIGSTOP)
	h.Target.Signal(syscall.SIGSTOP)
}

// Resume continues the processes of a paused host.
func (h *Host) Resume() {
	h.Node.Signal(syscall.SIGCONT)
	h.Target.Signal(syscall.SIGCONT)
}

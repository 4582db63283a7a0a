// Package harness starts nodes, targets, the platform and load clients as processes on loopback addresses, for the demo,
// tests and measurements.
package harness

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const killTimeout = 5 * time.Second

// Process is one started program.
type Process struct {
	// Name is the program, for a node or target with the number of its host; it is used in messages.
	Name    string
	command *exec.Cmd
	output  *lockedBuffer
	done    chan struct{}
	err     error
}

type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// start runs a program of the folder with the arguments.
func start(folder, program, name string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, output: &lockedBuffer{}, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(folder, program), arguments...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	p.command.Env = append(os.Environ(), "GOTRACEBACK=all")
	// The kernel kills the process when this one ends, even if this one is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal; a process that has ended is no error.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// Kill kills the process, even if it is paused, and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	select {
	case <-p.done:
	case <-time.After(killTimeout):
	}
}

// Wait waits until the process has ended, for at most the timeout, and returns its exit code.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return -1, errors.Errorf("%s did not end within %s", p.Name, timeout)
	}
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Output returns what the process has printed so far.
func (p *Process) Output() string {
	return p.output.String()
}

// WriteOutput writes what the process has printed, under a line with its name and, if it has ended, how.
func (p *Process) WriteOutput(w io.Writer) {
	_, _ = io.WriteString(w, "--- "+p.Name+" ("+p.state()+")\n"+p.Output())
}

// state describes whether and how the process has ended.
func (p *Process) state() string {
	select {
	case <-p.done:
		return "ended: " + p.command.ProcessState.String()
	default:
		return "running"
	}
}

// StartLoad starts the load client, a program in the folder, with the arguments.
func StartLoad(folder string, arguments ...string) (*Process, error) {
	return start(folder, "load", "load", arguments...)
}

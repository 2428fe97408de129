package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process runs one program, one process at a time, and restarts it on demand. It
// appends the output to a file and signals only processes that it started. Its
// methods are safe for concurrent use.
type Process struct {
	args   []string
	output string

	mu sync.Mutex
	// binary is the program that the next Start runs.
	binary string
	cmd    *exec.Cmd
	done   chan struct{}
	// stopRequested is set once SIGTERM or SIGKILL was sent to the process.
	stopRequested bool
	paused        bool
	// unexpected lists the exits for which stopRequested was not set.
	unexpected []string
}

// NewProcess returns a program that is not running yet. All its runs append to
// the file output.
func NewProcess(binary string, args []string, output string) *Process {
	return &Process{binary: binary, args: args, output: output}
}

// SetBinary replaces the program that the next Start runs.
func (p *Process) SetBinary(binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.binary = binary
}

// Start starts the program unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "output")
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "start"), out.Close())
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested, p.paused = cmd, done, false, false
	go func() {
		err := cmd.Wait()
		_ = out.Close() // the process has its own descriptor; nothing is buffered here
		p.mu.Lock()
		if !p.stopRequested {
			p.unexpected = append(p.unexpected, errors.Newf("process %d exited unexpectedly: %v", cmd.Process.Pid, err).Error())
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// running reports whether the process is running; the caller holds mu.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the running process, if there is one.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.stopRequested = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	_ = p.cmd.Process.Signal(s) // the process may have exited just now
}

// Stop sends SIGTERM, and SIGKILL once the grace period has passed. It reports
// whether the process exited within the grace period.
func (p *Process) Stop(grace time.Duration) bool {
	p.mu.Lock()
	done, paused := p.done, p.paused
	running := p.running()
	p.mu.Unlock()
	if !running {
		return true
	}
	if paused {
		p.Signal(syscall.SIGCONT)
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-done:
		return true
	case <-time.After(grace):
		p.Kill()
		return false
	}
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done, started := p.done, p.cmd != nil
	p.mu.Unlock()
	if started {
		<-done
	}
}

// UnexpectedExits describes each exit that neither Stop, Kill nor Signal requested.
func (p *Process) UnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unexpected...)
}

// PID returns the process ID, or 0 if the program is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

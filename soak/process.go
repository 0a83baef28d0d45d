package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/platform/fake"
)

// Process is one of the real programs, run as a separate process.
type Process struct {
	node fake.Node
	dir  string
	args []string

	restarting   sync.Mutex   // held while the process is stopped and started again
	reachability reachability // of the store, for this process

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // closed when cmd has exited
	starts          int
	stopping        bool // a signal to stop has been sent
	unexpectedExits int
	faultyUntil     time.Time // until when the process or its links may misbehave
}

// NewProcess returns a process without starting it. Its settings file and its output are
// written to dir.
func NewProcess(node fake.Node, dir string, args ...string) *Process {
	return &Process{node: node, dir: dir, args: args}
}

// Start starts the program with its current settings.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.FirstStart = p.node.FirstStart && p.starts == 0
	if err := p.writeSettings(); err != nil {
		return err
	}
	p.starts++
	p.stopping = false
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // a failure of the process shows in the attempts of its callers
		unexpected := p.recordExit()
		close(exited) // from here on those who wait for the exit may start the process again
		if unexpected {
			p.restartAfterExit()
		}
	}()
	return nil
}

// restartDelay is how long after its exit the platform restarts a process.
const restartDelay = 200 * time.Millisecond

// recordExit records that the process has exited and reports whether the exit was
// unexpected.
func (p *Process) recordExit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return false
	}
	p.unexpectedExits++
	return true
}

// restartAfterExit restarts a process that exited unexpectedly, as the platform does.
func (p *Process) restartAfterExit() {
	p.reachability.faultBegan()
	defer p.reachability.faultEnded()
	time.Sleep(restartDelay)
	if err := p.Start(); err != nil {
		return // awaitService then reports what is not served
	}
}

// UnexpectedExits returns how often the process exited without a signal to stop.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}

func (p *Process) logPath() string { return filepath.Join(p.dir, p.node.Name+".log") }

func (p *Process) settingsPath() string { return filepath.Join(p.dir, p.node.Name+".toml") }

func (p *Process) writeSettings() error {
	return os.WriteFile(p.settingsPath(), []byte(p.node.Settings()), 0o600)
}

// Signal sends a signal to the process, by its process ID.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = p.stopping || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // an error means that the process has exited already
}

// Reload rewrites the settings with the seeds rotated and sends SIGHUP to the process.
func (p *Process) Reload() error {
	p.mu.Lock()
	p.node.Seeds = append(p.node.Seeds[1:], p.node.Seeds[0])
	err := p.writeSettings()
	p.mu.Unlock()
	p.Signal(syscall.SIGHUP)
	return err
}

// Wait waits at most timeout for the process to exit and reports whether it has.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(time.Minute)
}

// Incarnation identifies the current start of the process.
func (p *Process) Incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s#%d", p.node.Name, p.starts)
}

// Stopping reports whether the process has been sent a signal to stop and has not been
// started again.
func (p *Process) Stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// MarkFaulty records that the process or its links may misbehave for d.
func (p *Process) MarkFaulty(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.faultyUntil) {
		p.faultyUntil = until
	}
}

// FaultySince reports whether the process was faulty at t or later.
func (p *Process) FaultySince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultyUntil.After(t)
}

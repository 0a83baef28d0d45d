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

// Process is one of the real programs as a process of its own.
type Process struct {
	node fake.Node
	dir  string
	args []string

	restarting sync.Mutex // held while it is ended and started again
	contact    contact    // with the store

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{} // closed when cmd has ended
	starts   int
	ending   bool // its end is wanted
	ownExits int
	troubled time.Time // until when the process, or its links, misbehave
}

// NewProcess returns a process that is not started. Its settings file and its
// output go to dir.
func NewProcess(node fake.Node, dir string, args ...string) *Process {
	return &Process{node: node, dir: dir, args: args}
}

// Start starts the program with the settings in force.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeSettings(); err != nil {
		return err
	}
	p.starts++
	p.ending = false
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
		_ = cmd.Wait() // how it ended is seen by its callers
		again := p.ended()
		close(exited) // who waits may start it again from here on
		if again {
			p.startAgain()
		}
	}()
	return nil
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 200 * time.Millisecond

// ended notes that the process has ended and reports whether it did by itself.
func (p *Process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		return false
	}
	p.ownExits++
	return true
}

// startAgain starts a process that ended by itself, as the platform does.
func (p *Process) startAgain() {
	p.contact.lose()
	defer p.contact.regain()
	time.Sleep(restartDelay)
	if err := p.Start(); err != nil {
		return // the fleet is seen not to serve
	}
}

// UnexpectedExits returns how often the process ended by itself.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownExits
}

func (p *Process) logPath() string { return filepath.Join(p.dir, p.node.Name+".log") }

func (p *Process) settingsPath() string { return filepath.Join(p.dir, p.node.Name+".toml") }

func (p *Process) writeSettings() error {
	return os.WriteFile(p.settingsPath(), []byte(p.node.Settings()), 0o600)
}

// Signal sends a signal to the process, by its id.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// Reload writes the settings again and tells the process.
func (p *Process) Reload() error {
	p.mu.Lock()
	p.node.Seeds = append(p.node.Seeds[1:], p.node.Seeds[0])
	err := p.writeSettings()
	p.mu.Unlock()
	p.Signal(syscall.SIGHUP)
	return err
}

// Wait waits until the process has ended, or a time. It reports whether it has.
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

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(time.Minute)
}

// Incarnation names the run of the process.
func (p *Process) Incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s#%d", p.node.Name, p.starts)
}

// MarkFaulty notes that the process or its links misbehave for a time.
func (p *Process) MarkFaulty(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.troubled) {
		p.troubled = until
	}
}

// FaultySince reports whether the process misbehaved at a time or later.
func (p *Process) FaultySince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.troubled.After(t)
}

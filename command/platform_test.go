package command

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/platform/fake"
	"github.com/springgate/springgate/telemetry"
	"github.com/zeromicro/go-zero/core/proc"
	"gotest.tools/v3/assert"
)

// startingProcess returns a process that has not come to wait for signals yet.
func startingProcess(t *testing.T) *platformProcess {
	file := filepath.Join(t.TempDir(), "boot.toml")
	node := fake.Node{Name: "entry", Domain: "a", Serves: []string{"front", "control"}, Callers: "127.0.0.1:1", Ready: "127.0.0.1:2", Peers: "127.0.0.1:3", Store: "127.0.0.1:4"}
	assert.NilError(t, os.WriteFile(file, []byte(node.Settings()), fileMode))
	t.Setenv(platform.SettingsVariable, file)
	p, err := newPlatformProcess(platformFlags{logLevel: "error"}, roleEntry)
	assert.NilError(t, err)
	return p
}

// Guards against processes that go on until they are killed because the signal to stop arrives while
// they start.
func TestSignalToStopDuringTheStartIsNotLost(t *testing.T) {
	p := startingProcess(t)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-proc.Done() // go-zero has a handler of its own, so that the signal does not end the process
	p.waitForSignal()
}

// Guards against processes that end because their settings change while they start.
func TestSignalToReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	p := startingProcess(t)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.Equal(t, <-p.signals, syscall.SIGHUP)
}

// startedProcess records whether it has been drained.
type startedProcess struct{ drained atomic.Bool }

// Run implements process.
func (p *startedProcess) Run(ctx context.Context) { <-ctx.Done() }

// Drain implements process.
func (p *startedProcess) Drain(context.Context) { p.drained.Store(true) }

// Guards against processes of one's own platform that lose the signal to stop while they start.
func TestSignalToStopDuringTheStartDrainsTheProcess(t *testing.T) {
	assert.NilError(t, telemetry.ConfigureGoZero(logrus.New()))
	p := &startedProcess{}
	err := runUntilSignal(t.Context(), func() (process, error) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-proc.Done()
		return p, nil
	})
	assert.NilError(t, err)
	assert.Assert(t, p.drained.Load())
}

package command

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
)

// Guards against processes that end because their settings change while they start.
func TestHangUpDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	node := fake.Node{Name: "front-1", Domain: "a", Serves: []string{"front", "control"}, Seeds: []string{"127.0.0.1:1"},
		Callers: "127.0.0.1:2", Ready: "127.0.0.1:3", Peers: "127.0.0.1:4", Store: "127.0.0.1:5", Grace: time.Second}
	path := filepath.Join(t.TempDir(), "boot.toml")
	assert.NilError(t, os.WriteFile(path, []byte(node.Settings()), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	p, err := newPlatformProcess(platformFlags{logLevel: "error"}, roleEntry)
	assert.NilError(t, err)
	defer signal.Stop(p.signals)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, syscall.Kill(os.Getpid(), sig))
	}
	p.waitForSignal()
}

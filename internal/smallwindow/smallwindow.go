// Package smallwindow provides listeners for tests of peers that read slowly.
package smallwindow

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// receiveBuffer is the requested size of the receive buffers in bytes; Linux doubles it.
const receiveBuffer = 8 << 10

// Listen listens on a free loopback port until the test ends. Its connections receive only some kilobytes before they are
// read.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

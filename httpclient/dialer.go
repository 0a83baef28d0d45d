package httpclient

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection into silence is given up. A cut link answers
// nothing, so without these a write or a wait would hang for minutes.
const (
	// unackedTimeout is how long sent bytes may stay unacknowledged. It
	// exceeds two retransmissions on a lossy link.
	unackedTimeout = 3 * time.Second
	probeIdle      = 2 * time.Second
	probeInterval  = time.Second
	probeCount     = 2
)

// Dialer returns a dialer that gives up after timeout and whose connections
// notice a silent peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
}

// ListenConfig returns a configuration whose accepted connections notice a
// silent peer.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
}

func limitSilence(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

package httpclient

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP timeouts after which a connection to an unresponsive peer is closed. If the link is
// down, no reset arrives, so without these timeouts a write or read would hang for minutes.
const (
	// DeliveryTimeout is how long sent data may remain unacknowledged (TCP_USER_TIMEOUT); it is
	// not delivered later. It is longer than two retransmissions take on a lossy link.
	DeliveryTimeout   = 3 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer with the given timeout whose connections detect an unresponsive
// peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
}

// ListenConfig returns a listener configuration whose accepted connections detect an
// unresponsive peer.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(DeliveryTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

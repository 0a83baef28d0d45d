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
	// not delivered later. It is longer than two retransmissions take on a lossy link. A Conn waits for longer
	// for a peer that acknowledges but reads nothing.
	DeliveryTimeout   = 3 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer with the given timeout whose connections detect an unresponsive
// peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: userTimeout(DeliveryTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
}

// ListenConfig returns a listener configuration whose accepted connections detect an
// unresponsive peer. A peer that reads nothing for delivery counts as one, even if it answers: TCP
// does not tell a receive window that stays closed from a lost peer.
func ListenConfig(delivery time.Duration) net.ListenConfig {
	return net.ListenConfig{Control: userTimeout(delivery),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
}

// userTimeout returns a control function that sets TCP_USER_TIMEOUT.
func userTimeout(d time.Duration) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, d) }
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

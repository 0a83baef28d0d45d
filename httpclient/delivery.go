package httpclient

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timing of the checks of written data that the peer has not acknowledged.
const (
	// firstDeliveryCheck is the time from a write to the first check: early enough to extend DeliveryTimeout in
	// time if the process runs late, and so late that most data is acknowledged by then.
	firstDeliveryCheck    = time.Second
	deliveryCheckInterval = 250 * time.Millisecond
	// probeTimeout bounds both the time between two probes of a closed receive window and the time that one may remain
	// unanswered. The kernel doubles the time between probes otherwise, so that it would find a peer that has vanished
	// ever later.
	probeTimeout = 2 * time.Second
)

// deliveryMonitor keeps a connection whose peer answers but reads nothing. TCP_USER_TIMEOUT, which ends connections
// to a peer that has vanished, does not tell the two apart: it also ends a connection whose receive window has been closed
// for that long. While the window is closed and the peer answers the probes, the monitor extends that timeout.
//
// The time of the package time is used, since the kernel's timers do not run during a suspension either.
type deliveryMonitor struct {
	conn syscall.RawConn

	mu         sync.Mutex
	timer      *time.Timer // nil before the first write
	active     bool        // a check is scheduled
	writing    bool
	stopped    bool
	window     windowState
	readQueue  func(fd uintptr) // sets queued and queueError; kept, so that a check does not allocate it
	queued     int              // bytes written and not acknowledged
	queueError error
}

func newDeliveryMonitor(nc *net.TCPConn) (*deliveryMonitor, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	m := &deliveryMonitor{conn: raw}
	m.readQueue = func(fd uintptr) { m.queued, m.queueError = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }
	return m, nil
}

// beginWrite must be called before each write, and endWrite after it.
func (m *deliveryMonitor) beginWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writing = true
	if m.active || m.stopped {
		return
	}
	m.active = true
	m.window = newWindowState(time.Now())
	if m.timer == nil {
		m.timer = time.AfterFunc(firstDeliveryCheck, m.check)
		return
	}
	m.timer.Reset(firstDeliveryCheck)
}

func (m *deliveryMonitor) endWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writing = false
}

// stop ends the checks.
func (m *deliveryMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.timer != nil {
		m.timer.Stop()
	}
}

// check adapts the timeout of the connection and schedules the next check, if data is not acknowledged. It ends the checks
// if the connection has failed, or if the system does not tell its state.
func (m *deliveryMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	before := m.window.timeout
	pending, err := m.pending()
	switch {
	case err != nil:
		m.stopped = true
		return
	case !pending && !m.writing:
		m.active, m.window.timeout = false, DeliveryTimeout
	default:
		d, err := readDelivery(m.conn)
		if err != nil {
			m.stopped = true
			return
		}
		m.window.observe(time.Now(), d)
		m.timer.Reset(deliveryCheckInterval)
	}
	if m.window.timeout != before {
		// The error is ignored: the connection has failed.
		_ = setUserTimeout(m.conn, m.window.timeout)
	}
}

// pending reports whether data is not acknowledged. The caller must hold m.mu.
func (m *deliveryMonitor) pending() (bool, error) {
	if err := m.conn.Control(m.readQueue); err != nil {
		return false, err
	}
	return m.queued > 0, m.queueError
}

// delivered implements Conn.Delivered.
func (m *deliveryMonitor) delivered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending, err := m.pending()
	return err != nil || !pending
}

// delivery is what the kernel knows of the data that was written to a connection.
type delivery struct {
	acked        uint64 // bytes acknowledged so far
	windowClosed bool   // the peer's receive window has no room for the next segment, and is probed
	answered     bool   // the peer has answered the last probe, if any
}

// readDelivery reads the state of a connection (tcp(7), TCP_INFO).
func readDelivery(c syscall.RawConn) (d delivery, err error) {
	var info *unix.TCPInfo
	controlErr := c.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlErr != nil {
		return delivery{}, controlErr
	}
	if err != nil {
		return delivery{}, err
	}
	return newDelivery(info), nil
}

func newDelivery(i *unix.TCPInfo) delivery {
	return delivery{acked: i.Bytes_acked, windowClosed: i.Unacked == 0 && i.Notsent_bytes > 0, answered: i.Probes == 0}
}

// windowState follows the receive window of a peer.
type windowState struct {
	openAt    time.Time // the window has not been closed since before this time
	checkedAt time.Time
	acked     uint64
	timeout   time.Duration // TCP_USER_TIMEOUT of the connection
}

func newWindowState(now time.Time) windowState {
	return windowState{openAt: now, checkedAt: now, timeout: DeliveryTimeout}
}

// observe determines the timeout from the state of the connection. The kernel counts it from when the window closed.
func (w *windowState) observe(now time.Time, d delivery) {
	switch {
	case !d.windowClosed:
		w.openAt, w.timeout = now, DeliveryTimeout
	case d.acked != w.acked: // the window was open since the last check
		w.openAt = w.checkedAt
	}
	if d.windowClosed && d.answered {
		w.timeout = max(DeliveryTimeout, now.Sub(w.openAt)+probeTimeout)
	}
	w.checkedAt, w.acked = now, d.acked
}

package gateway

import (
	"bytes"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// net/http answers bytes that it cannot read as a request by itself, before any handler: with 400,
// 431 or 501. Such answers are written at once and begin with serverErrorPrefix, a status, and
// serverErrorHeaders; those of handlers have other headers.
var (
	serverErrorPrefix  = []byte("HTTP/1.1 ")
	serverErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")
)

// rejectionLogInterval is the least time between two log records of answers by net/http; those between
// are counted.
const rejectionLogInterval = time.Second

// rejectionMonitor counts and logs the answers that net/http gives by itself.
type rejectionMonitor struct {
	registry metrics.Registry
	log      logrus.FieldLogger
	lastLog  atomic.Int64 // nanoseconds since start
	start    time.Time
	unlogged atomic.Int64
}

func newRejectionMonitor(r metrics.Registry, log logrus.FieldLogger) *rejectionMonitor {
	m := &rejectionMonitor{registry: r, log: log, start: clock.Now()}
	m.lastLog.Store(-int64(rejectionLogInterval))
	return m
}

// record counts an answer with the given status and logs it, unless one has just been logged.
func (m *rejectionMonitor) record(c net.Conn, status int, text string) {
	metrics.GetOrRegisterCounter("gateway.unreadable_requests."+strconv.Itoa(status), m.registry).Inc(1)
	now, last := int64(clock.Since(m.start)), m.lastLog.Load()
	if now-last < int64(rejectionLogInterval) || !m.lastLog.CompareAndSwap(last, now) {
		m.unlogged.Add(1)
		return
	}
	m.log.WithFields(logrus.Fields{"status": status, "error": text, "caller": c.RemoteAddr().String(), "unlogged": m.unlogged.Swap(0)}).
		Warn("Request is not readable.")
}

// rejectionListener observes the connections that it accepts for a rejectionMonitor.
type rejectionListener struct {
	net.Listener
	monitor *rejectionMonitor
}

// Accept implements net.Listener.
func (l rejectionListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &rejectionConn{c, l.monitor}, nil
}

type rejectionConn struct {
	net.Conn
	monitor *rejectionMonitor
}

// CloseWrite lets net/http end a connection so that the caller reads the last answer before a reset.
func (c *rejectionConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Write implements net.Conn.
func (c *rejectionConn) Write(b []byte) (int, error) {
	if status, text, ok := parseServerError(b); ok {
		c.monitor.record(c.Conn, status, text)
	}
	return c.Conn.Write(b)
}

// parseServerError returns the status and the text of an answer that net/http gives by itself.
func parseServerError(b []byte) (status int, text string, ok bool) {
	rest, ok := bytes.CutPrefix(b, serverErrorPrefix)
	if !ok {
		return 0, "", false
	}
	line, body, ok := bytes.Cut(rest, serverErrorHeaders)
	if !ok || bytes.ContainsRune(line, '\n') {
		return 0, "", false
	}
	code, _, _ := bytes.Cut(line, []byte(" "))
	status, err := strconv.Atoi(string(code))
	return status, string(body), err == nil
}

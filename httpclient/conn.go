package httpclient

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a TCP connection that a client reads responses from. It reports io.EOF only if the peer has closed its
// side in order. This matters for a response without a length, whose end is that of its connection.
//
// The kernel reports a failed connection once, to the read or write that comes first, and an ordinary end to later
// reads. A response is read while its request may still be written, so Conn looks at both.
type Conn struct {
	tcpConn
	delivery *deliveryMonitor
	writing  sync.Mutex
	writeErr error // first error of a write; guarded by writing
}

// tcpConn is a *net.TCPConn without ReadFrom and WriteTo, which would bypass Read and Write.
type tcpConn interface {
	net.Conn
	syscall.Conn
	SetLinger(sec int) error
}

// Dial connects to addr over TCP; see Dialer.
func Dial(ctx context.Context, addr string, timeout time.Duration) (*Conn, error) {
	nc, err := Dialer(timeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := nc.(*net.TCPConn)
	m, err := newDeliveryMonitor(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	return &Conn{tcpConn: c, delivery: m}, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.delivery.stop()
	return c.tcpConn.Close()
}

// Delivered reports whether the peer has acknowledged all that was written; true if that is not known.
func (c *Conn) Delivered() bool { return c.delivery.delivered() }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.delivery.beginWrite()
	defer c.delivery.endWrite()
	n, err := c.tcpConn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.tcpConn.Read(b)
	if err == io.EOF {
		err = c.endOfRead()
	}
	return n, err
}

// endOfRead returns io.EOF if the peer has closed its side in order, and the error of the connection if a write has
// received that. Nothing more is written: a response that has ended cannot depend on the rest of its request.
func (c *Conn) endOfRead() error {
	if !c.writing.TryLock() {
		// The error is ignored: the connection is closed already, which ends the write as well.
		_ = c.tcpConn.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE): // the peer reset a connection whose other side it had closed before
		return io.EOF
	}
	return errors.Wrap(c.writeErr, "httpclient: connection failed before its end")
}

// Package targetconn sends HTTP/1.1 requests to targets over pooled
// connections. Unlike the client of net/http it never retries a request by
// itself, reports for each failure whether the target may have executed the
// request, and matches responses to requests by ID, because a faulty target may
// send a duplicate response where the next response is expected.
package targetconn

import (
	"bufio"
	"cmp"
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/httpclient"
)

// Config holds the limits of a Pool.
type Config struct {
	// DialTimeout bounds a connection attempt. Connecting takes a round trip
	// of a few ms. A lost SYN is retransmitted only after 1 s; trying another
	// target is faster than that. Default 400 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the target does
	// not announce its own timeout. Default 20 s.
	IdleTimeout time.Duration
	// IdleMargin is how long before the idle timeout announced by the target
	// a connection is closed, so that no request is sent while the target
	// closes the connection. Default 500 ms.
	IdleMargin time.Duration
	// MaxIdle is the maximum number of idle connections per target. Default 16.
	MaxIdle int
}

func (c Config) applyDefaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, 400*time.Millisecond)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 20*time.Second)
	c.IdleMargin = cmp.Or(c.IdleMargin, 500*time.Millisecond)
	c.MaxIdle = cmp.Or(c.MaxIdle, 16)
	return c
}

// ErrDial is returned if no connection could be established. Nothing was sent.
var ErrDial = errors.New("targetconn: connection failed")

// readBufferSize in bytes is enough for a response header or a few events.
const readBufferSize = 4 << 10

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	nc      *httpclient.Conn
	br      *bufio.Reader
	head    *headLimiter // that br reads from
	addr    string
	idleAt  time.Time     // when the connection was returned to the pool
	idleFor time.Duration // how long after idleAt the connection may be reused
	reused  bool
}

// Pool keeps the idle connections to each address.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg.applyDefaults(), idle: map[string][]*Conn{}}
}

// get returns an idle connection that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if clock.Since(c.idleAt) < c.idleFor && c.usable() {
			c.reused = true
			return c, nil
		}
		c.nc.Close()
	}
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1] // the most recently used is the least likely to have been closed
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := httpclient.Dial(ctx, addr, p.cfg.DialTimeout)
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	head := &headLimiter{r: nc}
	return &Conn{nc: nc, br: bufio.NewReaderSize(head, readBufferSize), head: head, addr: addr}, nil
}

// abort resets the connection because the exchange is abandoned. After an ordinary close the
// kernel still delivers what was written, and a target cannot tell it from a caller that has only
// finished sending.
func (c *Conn) abort() {
	// The error is ignored: the connection is closed already.
	_ = c.nc.SetLinger(0)
	c.nc.Close()
}

// put returns a connection to the pool after a response was read completely.
// targetIdle is the idle timeout announced by the target, or zero.
func (p *Pool) put(c *Conn, targetIdle time.Duration) {
	c.idleAt, c.idleFor = clock.Now(), p.cfg.IdleTimeout
	if targetIdle > 0 {
		c.idleFor = targetIdle - min(p.cfg.IdleMargin, targetIdle/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.cfg.MaxIdle {
		c.nc.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Sweep closes idle connections that have expired and those to addresses for
// which keep returns false.
func (p *Pool) Sweep(keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		wanted := keep(addr)
		var kept []*Conn
		for _, c := range list {
			if wanted && clock.Since(c.idleAt) < c.idleFor {
				kept = append(kept, c)
			} else {
				c.nc.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// usable reports whether an idle connection is open and has no bytes to read.
// Bytes received while it was idle would not belong to the next response.
func (c *Conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), b[:])
		empty = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

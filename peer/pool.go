package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/httpclient"
)

// Class is the purpose of a connection. Each class has connections of its own, so that
// bulk data does not delay requests and heartbeats.
type Class uint8

// Connection classes.
const (
	Traffic Class = iota // requests and status
	Control              // heartbeats, fleet file parts, permits
	Bulk                 // weight chunks
)

// dialTimeout bounds one connection attempt.
const dialTimeout = 2 * time.Second

// ErrDial is the cause of every failed connection attempt: no request was sent.
var ErrDial = errors.New("peer: dial failed")

// errSlotRemoved means that the pool removed the slot while a caller waited for it.
var errSlotRemoved = errors.New("peer: connection slot removed from the pool")

type poolKey struct {
	addr  string
	class Class
}

// slot holds the connection for one address and class.
type slot struct {
	// removed is set when the pool removes the slot; no caller may dial on it afterwards.
	removed atomic.Bool

	lock chan struct{} // holds a value while conn is in use, also while it is dialled
	conn *Conn
}

func newSlot() *slot { return &slot{lock: make(chan struct{}, 1)} }

// acquire locks the slot unless ctx ends first: another caller may be dialling for longer than
// this one can wait.
func (s *slot) acquire(ctx context.Context) error {
	select {
	case s.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryAcquire locks the slot unless it is in use.
func (s *slot) tryAcquire() bool {
	select {
	case s.lock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *slot) release() { <-s.lock }

// DialFunc opens a connection to the peer listener of a process.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP dials with dialTimeout; keep-alive probes detect a peer that stops responding.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return httpclient.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

// Pool maintains one connection for each address and class.
type Pool struct {
	self     Hello
	handler  Handler
	meter    *Meter
	dialAddr DialFunc

	mu     sync.Mutex
	slots  map[poolKey]*slot
	closed bool
}

// NewPool returns a pool whose connections send self in the handshake, serve streams that
// peers open with h and are counted by meter.
func NewPool(self Hello, h Handler, meter *Meter) *Pool {
	return NewPoolWithDialer(dialTCP, self, h, meter)
}

// NewPoolWithDialer is like NewPool, but dials with d instead of TCP.
func NewPoolWithDialer(d DialFunc, self Hello, h Handler, meter *Meter) *Pool {
	return &Pool{self: self, handler: h, meter: meter, dialAddr: d, slots: map[poolKey]*slot{}}
}

// Meter returns the counters of the pool.
func (p *Pool) Meter() *Meter { return p.meter }

// Len returns the number of slots, each with at most one open connection.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots)
}

// Get returns an open connection, dialling if there is none. A failed dial and a call
// after Close return ErrDial.
func (p *Pool) Get(ctx context.Context, addr string, class Class) (*Conn, error) {
	for {
		s, err := p.slot(poolKey{addr, class})
		if err != nil {
			return nil, err
		}
		c, err := p.connect(ctx, s, addr, class)
		if !errors.Is(err, errSlotRemoved) {
			return c, err
		}
	}
}

// slot returns the slot of a key and creates it if there is none.
func (p *Pool) slot(k poolKey) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrDial, "pool closed")
	}
	s := p.slots[k]
	if s == nil {
		s = newSlot()
		p.slots[k] = s
	}
	return s, nil
}

// connect returns the open connection of a slot, dialling if there is none. It returns
// errSlotRemoved if the pool has removed the slot.
func (p *Pool) connect(ctx context.Context, s *slot, addr string, class Class) (*Conn, error) {
	if err := s.acquire(ctx); err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	defer s.release()
	if s.removed.Load() {
		return nil, errSlotRemoved
	}
	if s.conn != nil && s.conn.ctx.Err() == nil {
		return s.conn, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	c, err := p.dial(ctx, addr, class)
	if err != nil {
		return nil, err
	}
	s.conn = c
	return c, nil
}

func (p *Pool) dial(ctx context.Context, addr string, class Class) (*Conn, error) {
	ctx, cancel := clock.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dialAddr(ctx, addr)
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	self := p.self
	self.Class = class
	c, err := NewConn(nc, self, true, p.handler, p.meter)
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return c, nil
}

// Call sends one message and waits for one reply.
func (p *Pool) Call(ctx context.Context, addr string, class Class, m Message) (Message, error) {
	c, err := p.Get(ctx, addr, class)
	if err != nil {
		return nil, err
	}
	return c.Call(ctx, m)
}

// Keep closes the connections to all addresses for which keep returns false.
func (p *Pool) Keep(keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, s := range p.slots {
		if keep(k.addr) {
			continue
		}
		p.removeSlot(k, s)
		go s.close()
	}
}

// CloseIdle closes connections on which no stream is open and the last one was opened longer ago
// than limit, so that unused connections do not accumulate.
func (p *Pool) CloseIdle(now time.Time, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, s := range p.slots {
		if !s.tryAcquire() {
			continue // being dialled
		}
		if s.conn == nil || s.conn.ctx.Err() != nil || s.conn.idleFor(now) > limit {
			p.removeSlot(k, s)
			if s.conn != nil {
				s.conn.Close()
			}
		}
		s.release()
	}
}

// removeSlot removes a slot. The caller must hold p.mu and close the slot's connection.
func (p *Pool) removeSlot(k poolKey, s *slot) {
	delete(p.slots, k)
	s.removed.Store(true)
}

// Close closes all connections, including those that are being dialled, and makes Get
// fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Keep(func(string) bool { return false })
}

func (s *slot) close() {
	s.lock <- struct{}{}
	defer s.release()
	if s.conn != nil {
		s.conn.Close()
	}
}

// Server accepts connections and serves their streams.
type Server struct {
	ln      net.Listener
	self    Hello
	handler Handler
	meter   *Meter

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// Listen starts a server on addr. Its connections are counted by meter.
func Listen(addr string, self Hello, h Handler, meter *Meter) (*Server, error) {
	lc := httpclient.ListenConfig(httpclient.DeliveryTimeout)
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	s := &Server{ln: ln, self: self, handler: h, meter: meter, conns: map[*Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Addr returns the address the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	c, err := NewConn(nc, s.self, false, s.handler, s.meter)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		c.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	<-c.Done()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

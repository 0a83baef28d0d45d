package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
)

// Protocol is the version of the protocol spoken by this release.
const Protocol = 1

// Limits of a connection.
const (
	// window is how many frames of one stream may be sent and not yet read. It
	// bounds the receive buffer of a stream to window frames.
	window = 32
	// creditEvery is how many frames the receiver reads before it grants the sender credit
	// for as many further frames.
	creditEvery = window / 2
	// writeQueue is how many frames may wait to be written; those that send more wait.
	writeQueue = 64
	// readBuffer is the size of a connection's read buffer in bytes. Larger payloads are
	// read without it.
	readBuffer = 2 << 10
	// writeBuffer is how many bytes are written at once. A connection has a write buffer
	// only while it writes, because most are idle most of the time.
	writeBuffer      = 16 << 10
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 30 * time.Second
)

// Connection errors.
var (
	ErrConnLost    = errors.New("peer: connection lost")
	ErrReset       = errors.New("peer: stream reset by the other side")
	ErrProtocol    = errors.New("peer: protocol version not supported")
	ErrFlowControl = errors.New("peer: flow control violated")
)

// Handler serves a stream that the peer opened. ctx is cancelled when the stream ends; its cause
// is ErrReset if the peer closed the stream, and ErrConnLost if the connection broke. The stream
// is reset if the handler returns before it has sent its last message with Stream.SendLast.
type Handler func(ctx context.Context, s *Stream, first Message)

// Conn is one connection that multiplexes many streams.
type Conn struct {
	nc       net.Conn
	remote   Hello
	class    Class
	locality Locality
	meter    *Meter
	handler  Handler

	out    chan []byte
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu         sync.Mutex
	streams    map[uint64]*Stream
	nextID     uint64
	lastOpened time.Time // when this side last opened a stream
}

// NewConn performs the handshake on nc and starts the read and write loops.
// The dialling side opens streams with odd IDs, the accepting side with even IDs.
//
// meter counts the bytes of the connection.
func NewConn(nc net.Conn, self Hello, dialled bool, h Handler, meter *Meter) (*Conn, error) {
	self.Protocol = Protocol
	remote, err := handshake(nc, self)
	if err != nil {
		nc.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	class := remote.Class
	if dialled {
		class = self.Class
	}
	c := &Conn{nc: nc, remote: remote, class: min(class, Bulk), locality: localityOf(self, remote), meter: meter, handler: h, out: make(chan []byte, writeQueue),
		ctx: ctx, cancel: cancel, streams: map[uint64]*Stream{}, nextID: 2, lastOpened: clock.Now()}
	if dialled {
		c.nextID = 1
	}
	go c.writeLoop()
	go c.readLoop()
	return c, nil
}

func handshake(nc net.Conn, self Hello) (Hello, error) {
	if err := nc.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Hello{}, errors.Wrap(err, "peer: handshake")
	}
	b, err := encodeFrame(0, 0, &self)
	if err != nil {
		return Hello{}, err
	}
	sent := make(chan error, 1)
	go func() {
		_, err := nc.Write(b)
		sent <- err
	}()
	f, err := readFrameWithin(nc, maxHello)
	if err != nil {
		return Hello{}, errors.Wrap(err, "peer: handshake")
	}
	if err := <-sent; err != nil {
		return Hello{}, errors.Wrap(err, "peer: handshake")
	}
	m, err := f.decode()
	if err != nil {
		return Hello{}, err
	}
	h, ok := m.(*Hello)
	if !ok || h.Protocol != Protocol {
		return Hello{}, ErrProtocol
	}
	return *h, nc.SetDeadline(time.Time{})
}

// Remote returns the Hello message of the peer.
func (c *Conn) Remote() Hello { return c.remote }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// idleFor returns the time since this side last opened a stream, or zero if a stream is
// open.
func (c *Conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) > 0 {
		return 0
	}
	return now.Sub(c.lastOpened)
}

// Close ends the connection; all streams fail with ErrConnLost.
func (c *Conn) Close() {
	c.cancel(ErrConnLost)
	c.nc.Close()
}

// Open opens a stream and sends its first message.
func (c *Conn) Open(ctx context.Context, m Message) (*Stream, error) {
	c.mu.Lock()
	id := c.nextID
	c.nextID += 2
	s := newStream(c, id)
	c.streams[id] = s
	c.lastOpened = clock.Now()
	c.mu.Unlock()
	if err := s.send(ctx, flagOpen, m); err != nil {
		c.removeStream(id)
		return nil, err
	}
	return s, nil
}

// Call opens a stream, waits for one reply and closes the stream.
func (c *Conn) Call(ctx context.Context, m Message) (Message, error) {
	s, err := c.Open(ctx, m)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.Recv(ctx)
}

func (c *Conn) removeStream(id uint64) {
	c.mu.Lock()
	delete(c.streams, id)
	c.mu.Unlock()
}

func (c *Conn) lookup(id uint64) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *Conn) enqueue(ctx context.Context, b []byte) error {
	select {
	case c.out <- b:
		return nil
	case <-c.ctx.Done():
		return ErrConnLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Conn) writeLoop() {
	defer c.Close()
	for {
		select {
		case b := <-c.out:
			if !c.writeBatch(b) {
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// writers holds unused write buffers.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// writeBatch writes b and all frames queued behind it, then flushes. It reports whether
// that worked.
func (c *Conn) writeBatch(b []byte) bool {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.nc)
	defer func() {
		w.Reset(nil) // keeps no connection alive
		writers.Put(w)
	}()
	if c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	for {
		if _, err := w.Write(b); err != nil {
			return false
		}
		c.meter.sent(c.class, c.locality, b)
		select {
		case b = <-c.out:
		default:
			return w.Flush() == nil
		}
	}
}

func (c *Conn) readLoop() {
	defer c.Close()
	r := bufio.NewReaderSize(c.nc, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		c.meter.in[c.class].Add(int64(lengthSize + headSize + len(f.payload)))
		if c.deliver(f) != nil {
			return
		}
	}
}

func (c *Conn) deliver(f frame) error {
	s := c.lookup(f.stream)
	switch {
	case f.kind == kindCredit:
		if s != nil && len(f.payload) == 2 {
			s.grant(int(binary.BigEndian.Uint16(f.payload)))
		}
		return nil
	case f.kind == kindReset:
		if s != nil {
			s.fail(ErrReset)
		}
		return nil
	case s != nil:
		return s.push(f)
	case f.flags&flagOpen == 0:
		return nil // late frame of a stream that this side has closed
	}
	return c.accept(f)
}

func (c *Conn) accept(f frame) error {
	m, err := f.decode()
	if err != nil {
		return err
	}
	s := newStream(c, f.stream)
	s.unacked = 1
	if f.flags&flagFin != 0 {
		s.finish()
	}
	c.mu.Lock()
	c.streams[f.stream] = s
	c.mu.Unlock()
	go func() {
		defer s.Close()
		if c.handler != nil {
			c.handler(s.ctx, s, m)
		}
	}()
	return nil
}

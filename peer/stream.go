package peer

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
)

// Stream is one exchange on a connection.
type Stream struct {
	conn *Conn
	id   uint64
	in   chan frame

	failed context.Context // done when the stream has failed
	abort  context.CancelCauseFunc

	taken   int // frames read since the last credit; reader only
	credits chan struct{}

	mu      sync.Mutex
	eof     bool
	sentFin bool
	closed  bool
}

func newStream(c *Conn, id uint64) *Stream {
	s := &Stream{conn: c, id: id, in: make(chan frame, window+1), credits: make(chan struct{}, window)}
	s.failed, s.abort = context.WithCancelCause(c.ctx)
	s.grant(window)
	return s
}

// Conn returns the connection of the stream.
func (s *Stream) Conn() *Conn { return s.conn }

func (s *Stream) grant(n int) {
	for range n {
		select {
		case s.credits <- struct{}{}:
		default:
			return
		}
	}
}

func (s *Stream) fail(err error) { s.abort(err) }

func (s *Stream) push(f frame) error {
	select {
	case s.in <- f:
		return nil
	default:
		return ErrFlowControl
	}
}

func (s *Stream) finish() {
	s.mu.Lock()
	s.eof = true
	s.mu.Unlock()
}

// Send sends a message. It blocks while the receiver is behind.
func (s *Stream) Send(ctx context.Context, m Message) error { return s.send(ctx, 0, m) }

// SendLast sends the last message of this direction.
func (s *Stream) SendLast(ctx context.Context, m Message) error { return s.send(ctx, flagFin, m) }

func (s *Stream) send(ctx context.Context, fl flags, m Message) error {
	select {
	case <-s.credits:
	case <-s.failed.Done():
		return s.err()
	case <-ctx.Done():
		return ctx.Err()
	}
	b, err := encodeFrame(s.id, fl, m)
	if err != nil {
		return err
	}
	if fl&flagFin != 0 {
		s.mu.Lock()
		s.sentFin = true
		s.mu.Unlock()
	}
	return s.conn.enqueue(ctx, b)
}

// Recv returns the next message, or io.EOF after the last one. Frames that
// arrived before a failure are delivered first.
func (s *Stream) Recv(ctx context.Context) (Message, error) {
	select {
	case f := <-s.in:
		return s.take(f)
	default:
	}
	s.mu.Lock()
	eof := s.eof
	s.mu.Unlock()
	if eof {
		return nil, io.EOF
	}
	select {
	case f := <-s.in:
		return s.take(f)
	case <-s.failed.Done():
		return nil, s.err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *Stream) take(f frame) (Message, error) {
	if f.flags&flagFin != 0 {
		s.finish()
	}
	s.taken++
	if s.taken >= creditEvery {
		var n [2]byte
		binary.BigEndian.PutUint16(n[:], uint16(s.taken))
		s.taken = 0
		if b, err := rawFrame(s.id, 0, kindCredit, n[:]); err == nil {
			_ = s.conn.enqueue(s.failed, b)
		}
	}
	return f.decode()
}

func (s *Stream) err() error {
	if s.conn.ctx.Err() != nil {
		return ErrConnLost
	}
	return context.Cause(s.failed)
}

// Close releases the stream. If either direction is still open the other
// side is told with a reset.
func (s *Stream) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	whole := s.eof || s.sentFin
	s.mu.Unlock()
	if !whole {
		if b, err := rawFrame(s.id, 0, kindReset, nil); err == nil {
			_ = s.conn.enqueue(context.Background(), b)
		}
	}
	s.conn.drop(s.id)
	s.abort(ErrReset)
}

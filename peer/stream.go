package peer

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
)

// Stream is one bidirectional exchange of messages on a connection.
type Stream struct {
	conn *Conn
	id   uint64
	in   chan frame

	ctx   context.Context // cancelled when the stream fails or is closed
	abort context.CancelCauseFunc

	unacked int // frames read since the last credit was sent; used by the reader only
	credits chan struct{}

	mu      sync.Mutex
	eof     bool
	sentFin bool
	closed  bool
}

func newStream(c *Conn, id uint64) *Stream {
	s := &Stream{conn: c, id: id, in: make(chan frame, window+1), credits: make(chan struct{}, window)}
	s.ctx, s.abort = context.WithCancelCause(c.ctx)
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

// Send sends a message. It blocks while the stream has no flow-control credit.
func (s *Stream) Send(ctx context.Context, m Message) error { return s.send(ctx, 0, m) }

// SendLast sends the last message in this direction.
func (s *Stream) SendLast(ctx context.Context, m Message) error { return s.send(ctx, flagFin, m) }

func (s *Stream) send(ctx context.Context, fl flags, m Message) error {
	select {
	case <-s.credits:
	case <-s.ctx.Done():
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

// Recv returns the next message, or io.EOF after the last one. Frames received
// before a failure are returned before the error.
func (s *Stream) Recv(ctx context.Context) (Message, error) {
	select {
	case f := <-s.in:
		return s.receive(f)
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
		return s.receive(f)
	case <-s.ctx.Done():
		return nil, s.err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *Stream) receive(f frame) (Message, error) {
	if f.flags&flagFin != 0 {
		s.finish()
	}
	s.unacked++
	if s.unacked >= creditEvery {
		var n [2]byte
		binary.BigEndian.PutUint16(n[:], uint16(s.unacked))
		s.unacked = 0
		if b, err := rawFrame(s.id, 0, kindCredit, n[:]); err == nil {
			_ = s.conn.enqueue(s.ctx, b)
		}
	}
	return f.decode()
}

func (s *Stream) err() error {
	if s.conn.ctx.Err() != nil {
		return ErrConnLost
	}
	return context.Cause(s.ctx)
}

// Close releases the stream. It sends a reset to the peer unless this side has sent its
// last message or has received the peer's last message.
func (s *Stream) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	finished := s.eof || s.sentFin
	s.mu.Unlock()
	if !finished {
		if b, err := rawFrame(s.id, 0, kindReset, nil); err == nil {
			_ = s.conn.enqueue(context.Background(), b)
		}
	}
	s.conn.removeStream(s.id)
	s.abort(ErrReset)
}

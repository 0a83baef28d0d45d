package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/peer"
)

// link is the way to one entry.
type link struct {
	mesh *Mesh
	addr string

	mu   sync.Mutex
	last peer.Message
	out  chan peer.Message
}

// offer replaces the message that waits to be sent.
func (l *link) offer(msg peer.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = msg
	select {
	case <-l.out:
	default:
	}
	l.out <- msg
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.session(ctx)
		l.mesh.lost(l.addr)
		if !loop.Sleep(ctx, l.mesh.cfg.RetryAfter) {
			return
		}
	}
}

// session opens a stream and sends what is offered until it breaks.
func (l *link) session(ctx context.Context) {
	c, err := l.mesh.pool.Get(ctx, l.addr, peer.Control)
	if err != nil {
		return
	}
	l.mesh.mu.Lock()
	self := l.mesh.presence()
	l.mesh.mu.Unlock()
	s, err := c.Open(ctx, &self)
	if err != nil {
		return
	}
	defer s.Close()
	l.mu.Lock()
	last := l.last
	l.mu.Unlock()
	if last != nil && s.Send(ctx, last) != nil {
		return
	}
	ended := make(chan struct{})
	go l.receive(ctx, s, ended)
	for {
		select {
		case msg := <-l.out:
			if s.Send(ctx, msg) != nil {
				return
			}
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// receive takes the members that the entry knows. An agent, which hears no
// load messages, so also learns that the entry lives.
func (l *link) receive(ctx context.Context, s *peer.Stream, ended chan struct{}) {
	defer close(ended)
	for {
		msg, err := s.Recv(ctx)
		if err != nil {
			return
		}
		switch v := msg.(type) {
		case *peer.Presences:
			l.mesh.told(v.Entries)
			if l.mesh.listener == nil && len(v.Entries) > 0 {
				l.mesh.linked(v.Entries[0])
			}
		case *peer.Assignment:
			l.mesh.assigned(*v)
		}
	}
}

// linked notes that an agent's link to an entry is up; it counts as heard
// until the link breaks.
func (m *Mesh) linked(p peer.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Heard(time.Now().Add(linkedFor), p)
}

// linkedFor is longer than any link lasts.
const linkedFor = 24 * time.Hour

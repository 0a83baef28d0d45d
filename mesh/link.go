package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/peer"
)

// link is the way to one entry.
type link struct {
	mesh *Mesh
	addr string
	end  context.CancelFunc
	wake chan struct{} // something waits to be sent

	mu      sync.Mutex
	state   *peer.EngineState            // an agent's newest report
	told    bool                         // the entry was told of it
	resend  bool                         // all that is known of crashes is due
	account *peer.Loads                  // what an entry has not told yet
	states  map[string]peer.RelayedState // reports of agents that it has not passed on yet
}

// offer adds an account to what waits to be sent.
func (l *link) offer(msg *peer.Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account = merge(l.account, msg)
	l.signal()
}

// say replaces an agent's report.
func (l *link) say(s *peer.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state, l.told = s, false
	l.signal()
}

// relay adds an agent's report to what waits to be passed on.
func (l *link) relay(w peer.RelayedState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]peer.RelayedState{}
	}
	l.states[w.EngineAddr] = w
	l.signal()
}

// opened notes that a stream has begun, on which nothing was said yet.
func (l *link) opened(states map[string]peer.RelayedState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told, l.states, l.resend = false, states, true
	l.signal()
}

// tellAll makes the link tell all that is known of crashes.
func (l *link) tellAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resend = true
	l.signal()
}

// takeResend reports whether all that is known of crashes is due, and takes it for told.
func (l *link) takeResend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := l.resend
	l.resend = false
	return due
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns the messages that wait to be sent.
func (l *link) take() []peer.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []peer.Message
	if l.state != nil && !l.told {
		out = append(out, l.state)
		l.told = true
	}
	if len(l.states) > 0 {
		out = append(out, reportsMessage(l.states))
		l.states = nil
	}
	if l.account != nil {
		out = append(out, l.account)
		l.account = nil
	}
	return out
}

func (l *link) run(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		timeout, pause := l.mesh.cfg.attempt(tries)
		if l.session(ctx, timeout) {
			tries, pause = 0, l.mesh.cfg.RetryAfter
		}
		l.mesh.linkBroke(l)
		if !loop.Sleep(ctx, pause) {
			return
		}
	}
}

// session opens a stream and sends what is offered until it breaks. It reports
// whether the entry was reached.
func (l *link) session(ctx context.Context, dialTimeout time.Duration) bool {
	dialCtx, cancel := clock.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := l.mesh.pool.Get(dialCtx, l.addr, peer.Control)
	if err != nil {
		return false
	}
	l.mesh.mu.Lock()
	self := l.mesh.presence()
	l.mesh.mu.Unlock()
	s, err := c.Open(ctx, &self)
	if err != nil {
		return false
	}
	ended := make(chan struct{})
	defer func() {
		s.Close()
		<-ended // so that nothing is heard of the entry after it counts as lost
	}()
	l.mesh.mu.Lock()
	l.opened(l.mesh.allForwarded())
	l.mesh.mu.Unlock()
	go l.receive(ctx, s, ended)
	crashes := toldCrashes{table: l.mesh.crashes}
	for {
		news := crashes.news()
		if msg := l.dueCrashes(&crashes); msg != nil && s.Send(ctx, msg) != nil {
			return true
		}
		select {
		case <-news:
		case <-l.wake:
			for _, msg := range l.take() {
				if s.Send(ctx, l.mesh.stamped(msg)) != nil {
					return true
				}
			}
		case <-ended:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

// dueCrashes returns what the entry is to be told of crashes now, or nil. An agent sees
// none itself: it tells what it has kept when the link opens.
func (l *link) dueCrashes(told *toldCrashes) *peer.Crashes {
	switch {
	case told.table == nil:
		return nil
	case l.takeResend():
		return told.all()
	}
	return told.seen()
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
			l.mesh.told(v)
			if l.mesh.listener == nil && v.Sender.Addr != "" {
				l.mesh.linked(v.Sender)
			}
		case *peer.Assignment:
			l.mesh.assigned(*v)
		case *peer.Crashes:
			l.mesh.learnCrashes(v)
		}
	}
}

// linked notes that an agent's link to an entry is up; it counts as heard
// until the link breaks. The entry can be asked from now on: the assignment that comes
// next on the link is acted upon at once.
func (m *Mesh) linked(p peer.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	m.members.Heard(now.Add(linkedFor), p)
	m.setLive(m.members.Live(now))
}

// linkBroke notes that an entry cannot be reached, unless another link to it has
// replaced this one.
func (m *Mesh) linkBroke(l *link) {
	if m.noteBroken(l) && m.unassigned != nil {
		m.unassigned(l.addr)
	}
}

// noteBroken reports whether no other link to the entry has replaced this one.
func (m *Mesh) noteBroken(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.links[l.addr]; now != nil && now != l {
		return false
	}
	m.members.Lost(l.addr)
	return true
}

// linkedFor is longer than any link lasts.
const linkedFor = 24 * time.Hour

package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/peer"
)

// link maintains a stream to one entry and queues the messages for it.
type link struct {
	mesh   *Mesh
	addr   string
	class  peer.Class
	cancel context.CancelFunc
	wake   chan struct{} // signals that messages are pending

	// The fields of this group are guarded by the mutex of the Mesh.
	account       bool      // carries only load reports to the home of targets (see accounts.go)
	loadedAt      time.Time // of an account: when it last reported a load
	up            bool      // the stream is open
	unwantedSince time.Time // zero while the link is wanted

	mu         sync.Mutex
	report     *peer.EngineState            // latest report, at agents
	reportSent bool                         // report was sent to the entry
	crashesDue bool                         // all crash records must be sent
	loads      *peer.Loads                  // pending load report, at entries
	relayed    map[string]peer.RelayedState // pending reports of agents, by engine
	records    pendingRecords               // pending gossip
	digest     *peer.GossipDigest           // pending question for the records that the entry has
	notices    sentNotices                  // notices of targets last sent
	shortageAt time.Time                    // when shortages were last sent
}

// queueLoads merges a load report into the pending one.
func (l *link) queueLoads(msg *peer.Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads = mergeLoads(l.loads, msg)
	l.signal()
}

// setReport replaces the agent's report.
func (l *link) setReport(s *peer.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report, l.reportSent = s, false
	l.signal()
}

// queueRelayed adds an agent's report to those to be forwarded.
func (l *link) queueRelayed(r peer.RelayedState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.relayed == nil {
		l.relayed = map[string]peer.RelayedState{}
	}
	l.relayed[r.EngineAddr] = r
	l.signal()
}

// streamOpened resets the send state for a new stream, on which nothing was sent yet; states are
// the reports that this entry forwards.
func (l *link) streamOpened(states map[string]peer.RelayedState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportSent, l.relayed, l.crashesDue = false, states, true
	l.signal()
}

// requestCrashes makes the link send all crash records.
func (l *link) requestCrashes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashesDue = true
	l.signal()
}

// takeCrashesDue reports whether all crash records must be sent, and clears that flag.
func (l *link) takeCrashesDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := l.crashesDue
	l.crashesDue = false
	return due
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takePending returns the pending messages and marks them as sent.
func (l *link) takePending() []peer.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []peer.Message
	if l.report != nil && !l.reportSent {
		out = append(out, l.report)
		l.reportSent = true
	}
	if msg := l.records.take(); msg != nil {
		out = append(out, msg)
	}
	if len(l.relayed) > 0 {
		out = append(out, reportsMessage(l.relayed))
		l.relayed = nil
	}
	if l.digest != nil {
		out = append(out, l.digest)
		l.digest = nil
	}
	if l.loads != nil {
		out = append(out, l.loads)
		l.loads = nil
	}
	return out
}

// Numbers of dials of an entry of a large fleet that must fail in a row for it to count as
// unreachable. The first timeouts are short, and a busy process misses them: when a fleet starts,
// the suspicions of all of them would go to all entries.
const (
	dialsUntilLost         = 3
	dialsUntilLostWhenLate = 8 // if this process itself is late (see lateness)
)

// run keeps the link up until ctx ends.
func (l *link) run(ctx context.Context) {
	for attempts := 0; ctx.Err() == nil; attempts++ {
		timeout, pause := l.mesh.cfg.dialAttempt(attempts)
		reached := l.session(ctx, timeout)
		if reached {
			attempts, pause = 0, l.mesh.cfg.RetryAfter
		}
		l.mesh.linkLost(ctx, l, reached, attempts+1)
		if !loop.Sleep(ctx, pause) {
			return
		}
	}
}

// session opens a stream and sends queued messages until the stream breaks. It reports whether the
// entry was reached.
func (l *link) session(ctx context.Context, dialTimeout time.Duration) bool {
	dialCtx, cancel := clock.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := l.mesh.pool.Get(dialCtx, l.addr, l.class)
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
		<-ended // no message of the entry may be handled after the entry counts as lost
	}()
	crashes := l.mesh.linkOpened(l)
	go l.receive(ctx, s, ended)
	for {
		changed := crashes.changed()
		if msg := l.nextCrashes(&crashes); msg != nil && s.Send(ctx, msg) != nil {
			return true
		}
		select {
		case <-changed:
		case <-l.wake:
			for _, msg := range l.takePending() {
				if s.Send(ctx, l.trim(l.mesh.stamped(msg))) != nil {
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

// nextCrashes returns the crash records to send to the entry now, or nil. An agent observes
// no crashes itself: it only sends, when the link opens, the records that it keeps.
func (l *link) nextCrashes(cursor *crashCursor) *peer.Crashes {
	switch {
	case cursor.table == nil:
		return nil
	case l.takeCrashesDue():
		return cursor.snapshot()
	case l.mesh.isLarge():
		return cursor.all()
	}
	return cursor.observed()
}

// receive handles the messages of the entry: members, assignments and crash records. An
// agent receives no load reports; for it, a members message shows that the entry is live.
func (l *link) receive(ctx context.Context, s *peer.Stream, ended chan struct{}) {
	defer close(ended)
	for {
		msg, err := s.Recv(ctx)
		if err != nil {
			return
		}
		switch v := msg.(type) {
		case *peer.Presences:
			l.mesh.addMembers(v)
			if l.mesh.listener == nil && v.Sender.Addr != "" {
				l.mesh.entryLinked(v.Sender)
			}
		case *peer.Assignment:
			l.mesh.onAssignment(*v)
		case *peer.Crashes:
			l.mesh.mergeCrashes(v)
		case *peer.Gossip:
			l.mesh.mergeGossip(l.addr, v)
		}
	}
}

// entryLinked records that an agent's link to an entry is up; the entry counts as live until
// the link breaks. This must happen before the assignment that follows on the link is
// handled, because handling it sends requests to the entry at once.
func (m *Mesh) entryLinked(p peer.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	m.members.Observe(now.Add(linkValidity), p)
	m.setLive(m.members.Live(now))
	m.wakeIfMembersChanged()
}

// linkOpened prepares a link whose stream has just been opened. It returns the cursor of the crash
// records to send on it.
func (m *Mesh) linkOpened(l *link) crashCursor {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.up = true
	if l.account {
		l.streamOpened(nil)
		return crashCursor{}
	}
	if m.large() {
		l.streamOpened(nil)
		m.gossipLinkOpened(l)
	} else {
		l.streamOpened(m.allForwarded())
	}
	return crashCursor{table: m.crashes}
}

// linkLost records that a link is not up, unless another link to the entry has replaced l. reached
// is true if it was up; otherwise dials is how often dialling has failed in a row.
func (m *Mesh) linkLost(ctx context.Context, l *link, reached bool, dials int) {
	if m.markBroken(ctx, l, reached, dials) && m.onEntryLost != nil {
		m.onEntryLost(l.addr)
	}
}

// markBroken marks the entry of a link as unreachable; in a large fleet, where others tell of it as
// well, only after several failed dials and if the link is still wanted. It returns false if another
// link to the entry has replaced l.
func (m *Mesh) markBroken(ctx context.Context, l *link, reached bool, dials int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.up = false
	if current := m.links[l.addr]; current != nil && current != l {
		return false
	}
	if m.large() {
		if !reached && dials >= m.dialsUntilLost() && l.unwantedSince.IsZero() && ctx.Err() == nil {
			m.lostContact(l.addr)
		}
		return true
	}
	m.members.MarkUnreachable(l.addr)
	m.wakeIfMembersChanged()
	return true
}

func (m *Mesh) dialsUntilLost() int {
	if m.lateness.late(clock.Now()) {
		return dialsUntilLostWhenLate
	}
	return dialsUntilLost
}

// linkValidity exceeds the lifetime of any link.
const linkValidity = 24 * time.Hour

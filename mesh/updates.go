package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// memberUpdateInterval batches membership changes on a stream, which come in bursts when a
// fleet starts.
const memberUpdateInterval = 100 * time.Millisecond

// introducerCount is how many entries, besides the seeds, announce the other members to an
// entry. A few suffice: an entry that receives the members links to all of them, so that all
// discover it.
const introducerCount = 3

// memberUpdates tracks which members have been announced on a stream. Each is announced
// once: sending full lists at each change grows with the product of members and streams. It
// performs no I/O.
type memberUpdates struct {
	to          peer.Presence
	seed        bool            // this entry is a seed
	announced   map[string]bool // by address
	senderSent  bool
	leavingSent bool
}

func newMemberUpdates(to peer.Presence, seed bool) *memberUpdates {
	return &memberUpdates{to: to, seed: seed, announced: map[string]bool{}}
}

// next returns what has not been announced on the stream yet, or nil.
func (u *memberUpdates) next(self peer.Presence, live []peer.Presence) *peer.Presences {
	if u.to.EngineAddr == "" {
		return u.forEntry(self, live)
	}
	return u.forAgent(self, live)
}

// forEntry announces the addresses of all other entries if this entry is an introducer of
// the receiver.
func (u *memberUpdates) forEntry(self peer.Presence, live []peer.Presence) *peer.Presences {
	if !u.seed && !slices.Contains(membership.Rank(u.to.Addr, append(addrsOf(live), self.Addr), introducerCount), self.Addr) {
		return nil
	}
	msg := &peer.Presences{}
	for _, p := range live {
		if p.Addr != u.to.Addr && u.markAnnounced(p.Addr) {
			msg.EntryAddrs = append(msg.EntryAddrs, p.Addr)
		}
	}
	if len(msg.EntryAddrs) == 0 {
		return nil
	}
	return msg
}

// forAgent announces this entry and, of the live ones, those that the agent should link to.
func (u *memberUpdates) forAgent(self peer.Presence, live []peer.Presence) *peer.Presences {
	msg := &peer.Presences{}
	if !u.senderSent || self.Leaving != u.leavingSent {
		msg.Sender = self
	}
	chosen := chooseLinks(u.to, append(liveCandidates(live), candidate{&self, true}))
	for _, addr := range chosen {
		if addr != self.Addr && u.markAnnounced(addr) {
			msg.Entries = append(msg.Entries, live[slices.IndexFunc(live, func(p peer.Presence) bool { return p.Addr == addr })])
		}
	}
	if msg.Sender.Addr == "" && len(msg.Entries) == 0 {
		return nil
	}
	u.senderSent, u.leavingSent = true, self.Leaving
	return msg
}

// markAnnounced marks an address as announced and reports whether it was not before.
func (u *memberUpdates) markAnnounced(addr string) bool {
	known := u.announced[addr]
	u.announced[addr] = true
	return !known
}

// sendMembers sends the members and, on a stream of an agent, assignments and crash records.
// The agent must know this entry before its first assignment arrives, because the
// agent then requests pieces (parts of model weights) from the entry.
func (m *Mesh) sendMembers(ctx context.Context, s *peer.Stream, to peer.Presence) {
	if to.EngineAddr == "" && !m.isSeed && m.isLarge() {
		return // entries learn the members by gossip
	}
	u := newMemberUpdates(to, m.isSeed)
	changed, ok := m.sendUpdate(ctx, s, u)
	if !ok {
		return
	}
	if to.EngineAddr != "" {
		go m.sendAssignments(ctx, s, to)
		go m.sendCrashesToAgent(ctx, s)
	}
	m.sendUpdates(ctx, s, u, changed)
}

// sendUpdate sends what has not been announced on the stream. It returns a channel that is
// closed at the next change; ok is false if the stream has ended.
func (m *Mesh) sendUpdate(ctx context.Context, s *peer.Stream, u *memberUpdates) (changed <-chan struct{}, ok bool) {
	self, live, changed := m.knownEntries()
	msg := u.next(self, live)
	return changed, msg == nil || s.Send(ctx, msg) == nil
}

// sendUpdates announces members on a stream as they change.
func (m *Mesh) sendUpdates(ctx context.Context, s *peer.Stream, u *memberUpdates, changed <-chan struct{}) {
	for ok := true; ok; changed, ok = m.sendUpdate(ctx, s, u) {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !loop.Sleep(ctx, memberUpdateInterval) {
			return
		}
	}
}

// sendAssignments sends an agent the assignment of its engine whenever it changes.
func (m *Mesh) sendAssignments(ctx context.Context, s *peer.Stream, to peer.Presence) {
	for {
		assignment, changed := m.listener.Assignment(to)
		if assignment != nil && s.Send(ctx, assignment) != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

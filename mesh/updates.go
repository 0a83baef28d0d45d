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

// introducers is how many entries tell an entry of the others, beside the seeds: one that
// learns of them from few still links to all, and all so learn of it.
const introducers = 3

// memberUpdates tracks which members have been announced on a stream. Each is announced
// once: whole lists at each change grow with the product of members and streams. It is pure.
type memberUpdates struct {
	to          peer.Presence
	seed        bool            // this entry is one that others begin with
	told        map[string]bool // addresses
	begun       bool
	saidLeaving bool
}

func newMemberUpdates(to peer.Presence, seed bool) *memberUpdates {
	return &memberUpdates{to: to, seed: seed, told: map[string]bool{}}
}

// next returns what the other side has not been told yet, or nil.
func (n *memberUpdates) next(self peer.Presence, live []peer.Presence) *peer.Presences {
	if n.to.EngineAddr == "" {
		return n.forEntry(self, live)
	}
	return n.forAgent(self, live)
}

// forEntry tells the addresses of all others, if this entry is to tell them.
func (n *memberUpdates) forEntry(self peer.Presence, live []peer.Presence) *peer.Presences {
	if !n.seed && !slices.Contains(membership.Rank(n.to.Addr, append(addrsOf(live), self.Addr), introducers), self.Addr) {
		return nil
	}
	msg := &peer.Presences{}
	for _, p := range live {
		if p.Addr != n.to.Addr && n.isNew(p.Addr) {
			msg.EntryAddrs = append(msg.EntryAddrs, p.Addr)
		}
	}
	if len(msg.EntryAddrs) == 0 {
		return nil
	}
	return msg
}

// forAgent tells of this entry, and of those that the agent should link to as far as
// they are known here.
func (n *memberUpdates) forAgent(self peer.Presence, live []peer.Presence) *peer.Presences {
	msg := &peer.Presences{}
	if !n.begun || self.Leaving != n.saidLeaving {
		msg.Sender = self
	}
	known := []candidate{{self, true}}
	for _, p := range live {
		known = append(known, candidate{p, true})
	}
	chosen := chooseLinks(n.to, known)
	for _, p := range live {
		if slices.Contains(chosen, p.Addr) && n.isNew(p.Addr) {
			msg.Entries = append(msg.Entries, p)
		}
	}
	if msg.Sender.Addr == "" && len(msg.Entries) == 0 {
		return nil
	}
	n.begun, n.saidLeaving = true, self.Leaving
	return msg
}

// isNew takes an address for told and reports whether it was not.
func (n *memberUpdates) isNew(addr string) bool {
	was := n.told[addr]
	n.told[addr] = true
	return !was
}

// tell tells a stream of the members and, if it is an agent's, what its engine is to
// serve. An agent knows the entry before it hears that: it asks the entry for pieces.
func (m *Mesh) tell(ctx context.Context, s *peer.Stream, to peer.Presence) {
	n := newMemberUpdates(to, m.seed)
	changed, ok := m.sendUpdate(ctx, s, n)
	if !ok {
		return
	}
	if to.EngineAddr != "" {
		go m.tellAssignments(ctx, s, to)
		go m.tellCrashes(ctx, s)
	}
	m.sendUpdates(ctx, s, n, changed)
}

// sendUpdate sends what the stream has not been told. It returns a channel that is closed
// at the next change, and false if the stream has ended.
func (m *Mesh) sendUpdate(ctx context.Context, s *peer.Stream, n *memberUpdates) (changed <-chan struct{}, ok bool) {
	self, live, changed := m.known()
	msg := n.next(self, live)
	return changed, msg == nil || s.Send(ctx, msg) == nil
}

// sendUpdates tells a stream of the members as they change.
func (m *Mesh) sendUpdates(ctx context.Context, s *peer.Stream, n *memberUpdates, changed <-chan struct{}) {
	for ok := true; ok; changed, ok = m.sendUpdate(ctx, s, n) {
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

// tellAssignments tells an agent what its engine is to serve whenever that changes.
func (m *Mesh) tellAssignments(ctx context.Context, s *peer.Stream, to peer.Presence) {
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

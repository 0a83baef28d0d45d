package mesh

import (
	"context"
	"math"
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
	live        []peer.Presence // as of the last message to an agent
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
	if msg.Sender.Addr == "" && !u.mayChoose(live) {
		return nil
	}
	u.live = live
	known := []candidate{{self, true}}
	for _, p := range live {
		known = append(known, candidate{p, true})
	}
	chosen := chooseLinks(u.to, known)
	for _, p := range live {
		if slices.Contains(chosen, p.Addr) && u.markAnnounced(p.Addr) {
			msg.Entries = append(msg.Entries, p)
		}
	}
	if msg.Sender.Addr == "" && len(msg.Entries) == 0 {
		return nil
	}
	u.senderSent, u.leavingSent = true, self.Leaving
	return msg
}

// mayChoose reports whether the agent may have to link to an entry that was not announced to it,
// because one of its links is lost, or an entry was found that it may prefer to one of them. It
// costs little, as opposed to the choice itself: in a large fleet members change often, and an
// entry has many agents.
func (u *memberUpdates) mayChoose(live []peer.Presence) bool {
	lost, found := differingMembers(u.live, live)
	if len(lost)+len(found) == 0 {
		return false
	}
	for _, p := range lost {
		if u.announced[p.Addr] {
			return true
		}
	}
	return u.mayChooseAmong(true, nearLinks, lost, found, live) || u.mayChooseAmong(false, farLinks, lost, found, live)
}

// mayChooseAmong is mayChoose for the entries of the own failure domain, or for those of others,
// of which limit are linked to. lost are entries that were not announced.
func (u *memberUpdates) mayChooseAmong(near bool, limit int, lost, found, live []peer.Presence) bool {
	inGroup := func(p peer.Presence) bool { return (p.Domain == u.to.Domain) == near }
	announced, lowestScore := 0, uint64(math.MaxUint64)
	slowest, fastest := math.Inf(1), 0.0 // links of the announced entries, of all that are live
	for _, p := range live {
		if !inGroup(p) {
			continue
		}
		fastest = max(fastest, p.LinkMbps)
		if u.announced[p.Addr] {
			announced++
			lowestScore = min(lowestScore, membership.Score(u.to.Host, p.Addr))
			slowest = min(slowest, p.LinkMbps)
		}
	}
	// What counts as a fast link depends on the fastest one.
	if slices.ContainsFunc(lost, func(p peer.Presence) bool { return inGroup(p) && p.LinkMbps > fastest }) {
		return true
	}
	return slices.ContainsFunc(found, func(p peer.Presence) bool {
		return inGroup(p) && (announced < limit || p.LinkMbps > slowest || membership.Score(u.to.Host, p.Addr) > lowestScore)
	})
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

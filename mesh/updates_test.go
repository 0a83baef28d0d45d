package mesh

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func presencesOf(n int) []peer.Presence {
	var out []peer.Presence
	for i := range n {
		out = append(out, peer.Presence{Host: fmt.Sprint("h-", i), Domain: fmt.Sprint("d-", i%5), Addr: fmt.Sprint("e-", i), Incarnation: 1, LinkMbps: 200})
	}
	return out
}

// Each member is announced once on a stream, however often members change.
func TestEachEntryIsAnnouncedOnce(t *testing.T) {
	self, all := peer.Presence{Addr: "self", Domain: "d-0"}, presencesOf(35)
	n := newMemberUpdates(peer.Presence{Addr: "e-3"}, true)
	announced := map[string]int{}
	for k := range all {
		if msg := n.next(self, all[:k+1]); msg != nil {
			for _, addr := range msg.EntryAddrs {
				announced[addr]++
			}
		}
	}
	assert.Equal(t, len(announced), len(all)-1, "all entries but the receiver")
	for addr, times := range announced {
		assert.Equal(t, times, 1, addr)
	}
	assert.Assert(t, n.next(self, all) == nil)
}

// Members are announced to an entry only by the seeds and three more entries, so that the number of
// announcements does not grow with the cube of the fleet.
func TestFewEntriesAnnounceMembersToAnEntry(t *testing.T) {
	all := presencesOf(35)
	announcing := 0
	for i, self := range all {
		others := append(append([]peer.Presence(nil), all[:i]...), all[i+1:]...)
		if newMemberUpdates(peer.Presence{Addr: "new"}, false).next(self, others) != nil {
			announcing++
		}
	}
	assert.Equal(t, announcing, introducerCount)
}

// Only the entries that an agent should link to are announced to it, with the data that it
// needs to choose among them.
func TestAgentLearnsTheEntriesToLinkTo(t *testing.T) {
	all := presencesOf(35)
	n := newMemberUpdates(peer.Presence{Host: "agent", Domain: "d-1", EngineAddr: "engine"}, false)
	self := peer.Presence{Addr: "self", Domain: "d-0"}
	msg := n.next(self, all)
	assert.Equal(t, msg.Sender.Addr, "self")
	near := 0
	for _, p := range msg.Entries {
		assert.Assert(t, p.Domain != "" && p.LinkMbps > 0)
		if p.Domain == "d-1" {
			near++
		}
	}
	assert.Equal(t, near, 7)
	assert.Assert(t, len(msg.Entries) <= near+farLinks)
	assert.Assert(t, n.next(self, all) == nil)
	self.Leaving = true
	msg = n.next(self, all)
	assert.Assert(t, msg.Sender.Leaving && len(msg.Entries) == 0)
}

// An agent is told of each entry that it should link to, whichever members come and go, as if the
// choice were made anew with each change.
func TestAgentIsToldOfAllEntriesToLinkTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		to, self := peer.Presence{Host: "agent", Domain: "d-1", EngineAddr: "engine"}, peer.Presence{Addr: "self", Domain: "d-0", LinkMbps: 200}
		all := presencesOf(rapid.IntRange(5, 60).Draw(t, "entries"))
		for i := range all {
			all[i].LinkMbps = rapid.SampledFrom([]float64{40, 200}).Draw(t, "link")
		}
		slices.SortFunc(all, func(a, b peer.Presence) int { return cmp.Compare(a.Addr, b.Addr) })
		u, told := newMemberUpdates(to, false), map[string]bool{"self": true}
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			var live []peer.Presence
			known := []candidate{{&self, true}}
			for _, p := range all {
				if rapid.IntRange(0, 4).Draw(t, "up") > 0 {
					live, known = append(live, p), append(known, candidate{&p, true})
				}
			}
			if msg := u.next(self, live); msg != nil {
				for _, p := range msg.Entries {
					told[p.Addr] = true
				}
			}
			for _, addr := range chooseLinks(to, known) {
				if !told[addr] {
					t.Fatalf("%s was not announced", addr)
				}
			}
		}
	})
}

// BenchmarkMemberOfAnotherDomainLost is the cost of a change for one agent's stream.
func BenchmarkMemberOfAnotherDomainLost(b *testing.B) {
	all := presencesOf(303)
	slices.SortFunc(all, func(a, b peer.Presence) int { return cmp.Compare(a.Addr, b.Addr) })
	u, self := newMemberUpdates(peer.Presence{Host: "agent", Domain: "d-1", EngineAddr: "engine"}, false), peer.Presence{Addr: "self", Domain: "d-0", LinkMbps: 200}
	u.next(self, all)
	for i := 0; b.Loop(); i++ {
		u.next(self, all[i%2:])
	}
}

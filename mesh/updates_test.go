package mesh

import (
	"fmt"
	"testing"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func fleetOf(n int) []peer.Presence {
	var out []peer.Presence
	for i := range n {
		out = append(out, peer.Presence{Host: fmt.Sprint("h-", i), Domain: fmt.Sprint("d-", i%5), Addr: fmt.Sprint("e-", i), Incarnation: 1, LinkMbps: 200})
	}
	return out
}

// Each member is told of once on a stream, however often members change.
func TestEachEntryIsToldOfOnce(t *testing.T) {
	self, all := peer.Presence{Addr: "self", Domain: "d-0"}, fleetOf(35)
	n := newMemberUpdates(peer.Presence{Addr: "e-3"}, true)
	told := map[string]int{}
	for k := range all {
		if msg := n.next(self, all[:k+1]); msg != nil {
			for _, addr := range msg.EntryAddrs {
				told[addr]++
			}
		}
	}
	assert.Equal(t, len(told), len(all)-1, "all but the receiver")
	for addr, times := range told {
		assert.Equal(t, times, 1, addr)
	}
	assert.Assert(t, n.next(self, all) == nil)
}

// An entry is told by the seeds and three more, so that what is told does not grow with
// the cube of the fleet.
func TestFewEntriesTellOne(t *testing.T) {
	all := fleetOf(35)
	telling := 0
	for i, self := range all {
		others := append(append([]peer.Presence(nil), all[:i]...), all[i+1:]...)
		if newMemberUpdates(peer.Presence{Addr: "new"}, false).next(self, others) != nil {
			telling++
		}
	}
	assert.Equal(t, telling, introducers)
}

// An agent is told of the entries that it links to, and enough of each to choose.
func TestAgentIsToldOfTheEntriesNearby(t *testing.T) {
	all := fleetOf(35)
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

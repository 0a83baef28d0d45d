package mesh

import (
	"fmt"
	"testing"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func entryCandidate(addr, domain string, mbps float64, live bool) candidate {
	return candidate{&peer.Presence{Addr: addr, Domain: domain, LinkMbps: mbps}, live}
}

// An agent links to entries of its own failure domain, fast ones first, and to a few others.
// Seeds of which only the address is known are linked while no entry of the domain is live.
func TestAgentLinksToFewEntries(t *testing.T) {
	self := peer.Presence{Host: "h", Domain: "a", EngineAddr: "e"}
	var known []candidate
	for i := range 20 {
		known = append(known, entryCandidate(fmt.Sprint("near-", i), "a", float64(40+160*(i%2)), true),
			entryCandidate(fmt.Sprint("far-", i), "b", 40, true))
	}
	known = append(known, entryCandidate("seed", "", 0, false))
	got := chooseLinks(self, known)
	assert.Equal(t, len(got), nearLinks+farLinks)
	byAddr := map[string]candidate{}
	for _, c := range known {
		byAddr[c.Addr] = c
	}
	for i, addr := range got {
		assert.Equal(t, byAddr[addr].Domain == "a", i < nearLinks, addr)
		assert.Assert(t, i >= nearLinks || byAddr[addr].LinkMbps == 200, "a slow link takes precedence over a fast one")
	}
	for i := range known {
		known[i].live = known[i].Domain == "b"
	}
	assert.Equal(t, chooseLinks(self, known)[nearLinks+farLinks], "seed", "no entry of the domain is live")
	assert.DeepEqual(t, chooseLinks(self, known[len(known)-1:]), []string{"seed"})
}

// Working links are kept when members join.
func TestWorkingLinksAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := peer.Presence{Host: "h", Domain: "a", EngineAddr: "e"}
		var known []candidate
		for i := range rapid.IntRange(1, 40).Draw(t, "entries") {
			known = append(known, entryCandidate(fmt.Sprint("e-", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), 100, false))
		}
		linked := map[string]bool{}
		for _, addr := range chooseLinks(self, known) {
			linked[addr] = true
		}
		for i := range known {
			known[i].live = linked[known[i].Addr]
		}
		joined := append(known, entryCandidate("new-a", "a", 100, false), entryCandidate("new-b", "b", 100, false))
		next := map[string]bool{}
		for _, addr := range chooseLinks(self, joined) {
			next[addr] = true
		}
		for addr := range linked {
			if !next[addr] {
				t.Fatalf("the link to %s is dropped because others joined", addr)
			}
		}
	})
}

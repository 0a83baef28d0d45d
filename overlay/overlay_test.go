package overlay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// entries returns n entries in several failure domains, a quarter of them with fast links.
func entries(n, domains int) []peer.Presence {
	var out []peer.Presence
	for i := range n {
		p := peer.Presence{Addr: fmt.Sprint("e-", i), Domain: fmt.Sprint("d-", i%domains), LinkMbps: 40}
		if i/domains%4 == 0 {
			p.LinkMbps = 1000
		}
		out = append(out, p)
	}
	return out
}

// mostLinks returns the largest number of links of one entry.
func mostLinks(o *Overlay, list []peer.Presence) int {
	most := 0
	for _, p := range list {
		most = max(most, len(o.Neighbours(p.Addr, p.Domain)))
	}
	return most
}

// reached returns how many entries a message of the first one reaches, and over how many links
// at most.
func reached(o *Overlay, list []peer.Presence) (count, hops int) {
	domain := map[string]string{}
	for _, p := range list {
		domain[p.Addr] = p.Domain
	}
	seen, next := map[string]bool{list[0].Addr: true}, []string{list[0].Addr}
	for ; len(next) > 0; hops++ {
		var after []string
		for _, a := range next {
			for _, b := range o.Neighbours(a, domain[a]) {
				if !seen[b] {
					seen[b] = true
					after = append(after, b)
				}
			}
		}
		next = after
	}
	return len(seen), hops - 1
}

func TestAllEntriesOfASmallFleetAreLinked(t *testing.T) {
	list := entries(CompleteUpTo, 5)
	o := New(list, true)
	for _, p := range list {
		assert.Equal(t, len(o.Neighbours(p.Addr, p.Domain)), CompleteUpTo-1)
	}
	assert.Equal(t, len(o.Relays("d-0")), CompleteUpTo/5)
}

// Links are mutual and connect all entries, whichever entries there are.
func TestLinksAreMutualAndConnectAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(1, 300).Draw(t, "entries"), rapid.IntRange(1, 7).Draw(t, "domains"))
		list = slices.DeleteFunc(list, func(peer.Presence) bool { return len(list) > 1 && rapid.IntRange(0, 9).Draw(t, "gone") == 0 })
		if len(list) == 0 {
			return
		}
		o := New(list, rapid.Bool().Draw(t, "complete"))
		of := map[string][]string{}
		for _, p := range list {
			of[p.Addr] = o.Neighbours(p.Addr, p.Domain)
		}
		for a, neighbours := range of {
			for _, b := range neighbours {
				if !slices.Contains(of[b], a) || a == b {
					t.Fatalf("%s links to %s, which links to %v", a, b, of[b])
				}
			}
		}
		if n, hops := reached(o, list); n != len(list) || hops > 5 {
			t.Fatalf("%d of %d entries reached over %d links", n, len(list), hops)
		}
	})
}

// The links of the busiest entry grow more slowly than the fleet, and relays have fast links.
func TestLinksHardlyGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{75, 150, 303, 606} {
		list := entries(n, 5)
		o := New(list, false)
		most := mostLinks(o, list)
		t.Logf("%d entries: at most %d links, %d relays of a failure domain", n, most, len(o.Relays("d-0")))
		assert.Assert(t, most <= 40, "%d links", most)
		for _, p := range list {
			assert.Assert(t, p.LinkMbps == 1000 || !slices.Contains(o.Relays(p.Domain), p.Addr), p.Addr)
		}
	}
}

// The loss of an entry moves few links.
func TestALostEntryMovesFewLinks(t *testing.T) {
	list := entries(303, 5)
	before := New(list, false)
	for _, lost := range []int{0, 17, 160, 302} {
		rest := slices.Delete(slices.Clone(list), lost, lost+1)
		after := New(rest, false)
		moved := 0
		for _, p := range rest {
			old := before.Neighbours(p.Addr, p.Domain)
			for _, b := range after.Neighbours(p.Addr, p.Domain) {
				if !slices.Contains(old, b) {
					moved++
				}
			}
		}
		assert.Assert(t, moved <= 100, "%d ends of links moved for entry %d", moved, lost)
	}
}

// The overlay is computed anew whenever members change.
func BenchmarkNew(b *testing.B) {
	var entries []peer.Presence
	for i := range 303 {
		p := peer.Presence{Addr: fmt.Sprintf("10.%d.0.%d:8225", i%5, i), Host: fmt.Sprint("front-", i), Domain: fmt.Sprint("d-", i%5), LinkMbps: 40}
		if i < 15 {
			p.LinkMbps = 200
		}
		entries = append(entries, p)
	}
	b.ReportAllocs()
	for b.Loop() {
		New(entries, false)
	}
}

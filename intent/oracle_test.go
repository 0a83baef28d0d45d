package intent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// published is a published head, its parts, and whether the oracle, the simple
// model that the trackers are compared with, expects the head to be accepted.
type published struct {
	head  Head
	parts [][]byte
	valid bool
}

// trackerNode is one process. It receives heads and parts in any order, from the
// platform or from a peer.
type trackerNode struct {
	tracker *Tracker
	highest Ref // oracle: highest valid revision that was complete here
	offered map[Ref]bool
	seen    map[string]bool // digests of parts offered after their head
}

// readComplete delivers a head and all its parts to a process.
func readComplete(n *trackerNode, now time.Time, p published) {
	_, _ = n.tracker.OfferHead(now, p.head)
	for _, b := range p.parts {
		n.tracker.OfferPart(now, b)
	}
	if p.valid && n.highest.Less(p.head.Ref()) {
		n.highest = p.head.Ref()
	}
}

// TestOracleTracker compares several trackers with an oracle: an invalid revision
// is never accepted, no tracker reverts to a lower revision, and processes that
// have received the same heads and parts agree on the highest valid revision.
func TestOracleTracker(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var pubs []published
		nodes := make([]*trackerNode, 3)
		for i := range nodes {
			nodes[i] = &trackerNode{tracker: NewTracker(time.Minute), offered: map[Ref]bool{}, seen: map[string]bool{}}
		}
		// The platform may be down for, or return an older head to, some of the
		// nodes, and a partition may separate node 0 from the others.
		down, stale, partitioned := make([]bool, len(nodes)), make([]bool, len(nodes)), false
		side := func(i int) bool { return i == 0 }
		pick := func(t *rapid.T) (*trackerNode, published) {
			if len(pubs) == 0 {
				t.Skip("nothing published")
			}
			return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")], pubs[rapid.IntRange(0, len(pubs)-1).Draw(t, "head")]
		}
		publish := func(t *rapid.T, revision uint64) {
			n := rapid.IntRange(1, 400).Draw(t, "hosts")
			file := string(largeFile(n)) + fmt.Sprintf("# %d\n", len(pubs))
			valid := rapid.IntRange(0, 3).Draw(t, "valid") > 0
			if !valid {
				file = strings.Replace(file, "kind: engine", "kind: motor", 1)
			}
			h, parts := Pack(revision, []byte(file))
			if rapid.IntRange(0, 9).Draw(t, "digest") == 0 {
				h.Digest[0] ^= 1
				valid = false
			}
			pubs = append(pubs, published{h, parts, valid})
		}
		revision := uint64(0)
		actions := map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { revision++; publish(t, revision) },
			"publish the same number": func(t *rapid.T) {
				if revision == 0 {
					t.Skip("none")
				}
				publish(t, revision)
			},
			"head": func(t *rapid.T) {
				n, p := pick(t)
				_, _ = n.tracker.OfferHead(now, p.head)
			},
			"part": func(t *rapid.T) {
				n, p := pick(t)
				n.tracker.OfferPart(now, p.parts[rapid.IntRange(0, len(p.parts)-1).Draw(t, "part")])
			},
			"corrupt part": func(t *rapid.T) {
				n, p := pick(t)
				b := append([]byte(nil), p.parts[0]...)
				b[0] ^= 1
				if n.tracker.OfferPart(now, b) {
					t.Fatal("a corrupt part was accepted")
				}
			},
			"whole": func(t *rapid.T) {
				n, p := pick(t)
				readComplete(n, now, p)
			},
			"from peer": func(t *rapid.T) {
				i, j := rapid.IntRange(0, len(nodes)-1).Draw(t, "node"), rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")
				if partitioned && side(i) != side(j) {
					t.Skip("cut off")
				}
				n, o := nodes[i], nodes[j]
				a := o.tracker.Accepted()
				if a == nil {
					t.Skip("peer has none")
				}
				_, _ = n.tracker.OfferHead(now, a.Head)
				for _, p := range a.Head.Parts {
					if b := o.tracker.Part(p.Digest); b != nil {
						n.tracker.OfferPart(now, b)
					} else {
						t.Fatal("a part of the accepted revision is missing")
					}
				}
				if n.highest.Less(a.Head.Ref()) {
					n.highest = a.Head.Ref()
				}
			},
			"restart": func(t *rapid.T) {
				n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
				*n = trackerNode{tracker: NewTracker(time.Minute), offered: map[Ref]bool{}, seen: map[string]bool{}}
			},
			"time": func(*rapid.T) { now = now.Add(20 * time.Second) },
			"cut":  func(*rapid.T) { partitioned = !partitioned },
			"platform": func(t *rapid.T) {
				i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				down[i], stale[i] = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "stale")
			},
			"read newest": func(t *rapid.T) {
				i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				at := len(pubs) - 1
				if stale[i] {
					at--
				}
				if down[i] || at < 0 {
					t.Skip("nothing to read")
				}
				readComplete(nodes[i], now, pubs[at])
			},
		}
		before := make([]Ref, len(nodes))
		check := func(t *rapid.T) {
			for i, n := range nodes {
				ref := n.tracker.Ref()
				if ref.Less(before[i]) && n.highest != (Ref{}) {
					t.Fatalf("node %d reverted from revision %d to %d", i, before[i].Revision, ref.Revision)
				}
				if ref.Less(n.highest) {
					t.Fatalf("node %d is at revision %d, want at least %d, which is complete and valid there", i, ref.Revision, n.highest.Revision)
				}
				before[i] = ref
				a := n.tracker.Accepted()
				if a == nil {
					continue
				}
				ok := false
				for _, p := range pubs {
					ok = ok || p.valid && p.head.Ref() == ref && p.head.Digest == a.Head.Digest
				}
				if !ok {
					t.Fatalf("node %d accepted revision %d, which is not valid", i, ref.Revision)
				}
			}
		}
		for name, f := range actions {
			actions[name] = func(t *rapid.T) { steps++; f(t) }
		}
		actions[""] = check
		t.Repeat(actions)
		// After all failures have ended, every process reads all published heads
		// and parts, and all agree.
		var highestValid Ref
		for _, p := range pubs {
			if p.valid && highestValid.Less(p.head.Ref()) {
				highestValid = p.head.Ref()
			}
			for _, n := range nodes {
				readComplete(n, now, p)
			}
		}
		for i, n := range nodes {
			if n.tracker.Ref() != highestValid {
				t.Fatalf("node %d ends at revision %d, want %d", i, n.tracker.Ref().Revision, highestValid.Revision)
			}
		}
	})
	t.Logf("%d steps", steps)
}

func TestTrackerBoundsItsState(t *testing.T) {
	tr := NewTracker(time.Minute)
	now := time.Unix(0, 0)
	for i := range 40 {
		file := append(largeFile(500), fmt.Sprintf("# %d\n", i)...)
		h, parts := Pack(uint64(i+1), file)
		_, _ = tr.OfferHead(now, h)
		tr.OfferPart(now, parts[0]) // never complete
	}
	if len(tr.candidates) > maxCandidates {
		t.Fatalf("%d candidates", len(tr.candidates))
	}
	if len(tr.parts) > maxCandidates {
		t.Fatalf("%d parts", len(tr.parts))
	}
}

// Heads that never become complete must not block a valid lower one.
func TestTrackerAcceptsValidBelowIncompleteHeads(t *testing.T) {
	tr := NewTracker(time.Minute)
	now := time.Unix(0, 0)
	for i := range 2 * maxCandidates {
		h, _ := Pack(uint64(100+i), fmt.Appendf(largeFile(10), "# %d\n", i))
		_, _ = tr.OfferHead(now, h)
	}
	h, parts := Pack(7, largeFile(10))
	_, _ = tr.OfferHead(now, h)
	for _, p := range parts {
		tr.OfferPart(now, p)
	}
	if tr.Ref() != h.Ref() {
		t.Fatalf("revision in force: %d", tr.Ref().Revision)
	}
}

package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/intent"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func nodes(n, domains int) []Node {
	out := make([]Node, n)
	for i := range out {
		out[i] = Node{fmt.Sprintf("h%03d", i), fmt.Sprintf("d%d", i%domains)}
	}
	return out
}

func planner(cfg Config, self int, all []Node, chunks int, store bool) *Planner {
	return NewPlanner(cfg, all[self], Assign("v", chunks, all), store, rand.New(rand.NewPCG(1, uint64(self))))
}

// startAll starts all fetches that the planner returns now.
func startAll(p *Planner, now time.Time) []Fetch {
	var out []Fetch
	for {
		f, ok := p.Next(now)
		if !ok {
			return out
		}
		out = append(out, f)
	}
}

func TestEveryChunkHasOneFirstReader(t *testing.T) {
	all := nodes(20, 4)
	r := Assign("v", 100, all)
	for c := range 100 {
		chain := r.sourceChain(c)
		first := all[chain[0]]
		assert.Equal(t, r.importChain(c, first.Domain)[0], chain[0], "the first reader of a chunk must also import it into its domain")
		seen := map[uint16]bool{}
		for _, i := range chain {
			assert.Assert(t, !seen[i])
			seen[i] = true
		}
	}
}

// A host waits for a reader that does not have the chunk yet, and replaces an unreachable one.
func TestReplacesOnlyUnavailableReaders(t *testing.T) {
	all := nodes(3, 1)
	p := planner(Config{Goal: intent.SpreadOriginBytes, PerSource: 100}, 0, all, 30, false)
	fromOrigin := 0
	var requested []Fetch
	for _, f := range startAll(p, start) {
		if f.Kind == FromOrigin {
			fromOrigin++
			p.Done(start, f)
		} else {
			requested = append(requested, f)
		}
	}
	assert.Assert(t, fromOrigin > 3 && fromOrigin < 20, "%d chunks read from the origin", fromOrigin)
	for _, f := range requested {
		p.Failed(start, f, FaultPending, 0)
	}
	now := start.Add(2 * time.Second)
	for _, f := range startAll(p, now) {
		assert.Equal(t, f.Kind, FromPeer, "a reader with the chunk pending was replaced")
		p.Failed(now, f, FaultUnreachable, 0)
	}
	now = now.Add(time.Second)
	replacements := 0
	for range 20 {
		for _, f := range startAll(p, now) {
			if f.Kind == FromOrigin {
				replacements++
			}
		}
		now = now.Add(300 * time.Millisecond)
	}
	assert.Assert(t, replacements > 0, "an unreachable reader was not replaced")
}

func TestStoreIsPreferredAndRateLimitsAreObeyed(t *testing.T) {
	p := planner(Config{}, 0, nodes(1, 1), 10, true)
	f := startAll(p, start)[0]
	assert.Equal(t, f.Kind, FromStore)
	p.Failed(start, f, FaultRateLimited, 5*time.Second)
	for _, f := range startAll(p, start.Add(time.Second)) {
		assert.Equal(t, f.Kind, FromStore, "fetches in flight before the rate limit")
		p.Failed(start, f, FaultRateLimited, 5*time.Second)
	}
	assert.Equal(t, len(startAll(p, start.Add(4*time.Second))), 0, "fetch started during the rate limit")
	f = startAll(p, start.Add(11*time.Second))[0]
	assert.Equal(t, f.Kind, FromStore)
	p.Failed(start, f, FaultMissing, 0)
	got := startAll(p, start.Add(12*time.Second))
	assert.Equal(t, got[len(got)-1].Kind, FromOrigin, "the store lacks the version, so the origin is used")
}

func TestSourceFailuresBackOff(t *testing.T) {
	p := planner(Config{Goal: intent.SpreadOriginBytes}, 0, nodes(1, 1), 10, false)
	now, tries := start, 0
	for now.Before(start.Add(time.Minute)) {
		for _, f := range startAll(p, now) {
			tries++
			p.Failed(now, f, FaultUnreachable, 0)
		}
		now = now.Add(50 * time.Millisecond)
	}
	assert.Assert(t, tries >= 4 && tries < 20, "%d fetches in a minute", tries)
}

func TestPeersWithCorruptOrMissingChunksAreBanned(t *testing.T) {
	all := nodes(2, 1)
	cfg := Config{Goal: intent.SpreadOriginBytes, MaxLongPolls: 1}
	p := planner(cfg, 0, all, 64, false)
	p.PeerHolds("h001", []uint64{^uint64(0)})
	fromPeer := func(now time.Time) (out []Fetch) {
		for _, f := range startAll(p, now) {
			if f.Kind == FromPeer && !f.ToReader {
				out = append(out, f)
			}
		}
		return out
	}
	got := fromPeer(start)
	assert.Assert(t, len(got) > 0)
	p.Failed(start, got[0], FaultCorrupt, 0)
	assert.Equal(t, len(fromPeer(start)), 0)
	for _, f := range got[1:] {
		p.Failed(start, f, FaultMissing, 0)
	}
	assert.Equal(t, len(fromPeer(start.Add(time.Second))), 0)
	assert.Assert(t, len(fromPeer(start.Add(5*time.Minute))) > 0, "no fetch from the peer after its ban")
}

// A neighbour that reported a chunk but answers that it is still pending counts as failed,
// so that requests to it are bounded.
func TestNeighbourWithPendingChunksIsBanned(t *testing.T) {
	p := planner(Config{Goal: intent.SpreadOriginBytes, MaxLongPolls: 1}, 0, nodes(2, 1), 64, false)
	p.PeerHolds("h001", []uint64{^uint64(0)})
	requests := 0
	for range 50 {
		for _, f := range startAll(p, start) {
			if f.Kind == FromPeer && !f.ToReader {
				requests++
				p.Failed(start, f, FaultPending, 0)
			}
		}
	}
	assert.Assert(t, requests <= 2*failuresBeforeBan, "%d requests to the neighbour", requests)
}

func TestHeldChunksAreNotFetched(t *testing.T) {
	p := planner(Config{}, 0, nodes(1, 1), 4, false)
	for _, c := range []int{0, 2, 3} {
		p.MarkHeld(c)
	}
	got := startAll(p, start)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Chunk, 1)
	p.Done(start, got[0])
	assert.Assert(t, p.Complete())
}

func TestManifest(t *testing.T) {
	m, raw, err := NewManifest("v", 4, []byte("0123456789"))
	assert.NilError(t, err)
	got, err := ParseManifest(raw, digest.Of(raw))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
	assert.Equal(t, got.ChunkLen(2), 2)
	_, err = ParseManifest(raw, digest.Of([]byte("other version, same name")))
	assert.ErrorIs(t, err, ErrManifest)
	for _, bad := range []string{"", "{}", `{"name":"v","size":10,"chunk_size":4,"chunks":[]}`,
		`{"name":"v","size":-1,"chunk_size":4,"chunks":[]}`, `{"name":"v","size":1,"chunk_size":99999999,"chunks":[]}`} {
		_, err = ParseManifest([]byte(bad), digest.Of([]byte(bad)))
		assert.ErrorIs(t, err, ErrManifest, bad)
	}
}

// TestOraclePlanner drives one planner with arbitrary results of fetches, unreachable peers
// and host lists, and checks the invariants of any plan: no two concurrent fetches of a
// chunk, no fetch of a held chunk, a bounded number in flight, and completion once all
// fetches succeed.
func TestOraclePlanner(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 24
		all := nodes(rapid.IntRange(1, 7).Draw(t, "hosts"), rapid.IntRange(1, 3).Draw(t, "domains"))
		cfg := Config{Goal: rapid.SampledFrom([]intent.Spread{intent.SpreadTime, intent.SpreadOriginBytes}).Draw(t, "goal"), Pipeline: 6}
		p := planner(cfg, 0, all, chunks, rapid.Bool().Draw(t, "store"))
		now := start
		held := map[int]bool{}
		var open []Fetch
		next := func(t *rapid.T) {
			f, ok := p.Next(now)
			if !ok {
				return
			}
			if held[f.Chunk] {
				t.Fatalf("fetch of chunk %d, which is held", f.Chunk)
			}
			if slices.ContainsFunc(open, func(o Fetch) bool { return o.Chunk == f.Chunk }) {
				t.Fatalf("concurrent fetches of chunk %d", f.Chunk)
			}
			if f.Kind == FromPeer && f.Peer == all[0].Host {
				t.Fatal("fetch from the host itself")
			}
			open = append(open, f)
		}
		takeOpen := func(t *rapid.T) Fetch {
			if len(open) == 0 {
				t.Skip("no fetch in flight")
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "fetch")
			f := open[i]
			open = append(open[:i:i], open[i+1:]...)
			return f
		}
		actions := map[string]func(*rapid.T){
			"next":  next,
			"next2": next,
			"done": func(t *rapid.T) {
				f := takeOpen(t)
				held[f.Chunk] = true
				p.Done(now, f)
			},
			"failed": func(t *rapid.T) {
				f := takeOpen(t)
				fault := Fault(rapid.IntRange(1, 5).Draw(t, "fault"))
				if f.Kind == FromPeer && fault == FaultRateLimited || f.Kind != FromPeer && fault == FaultPending {
					fault = FaultUnreachable
				}
				p.Failed(now, f, fault, time.Second)
			},
			"twice": func(t *rapid.T) { // a late report of a fetch that has ended
				f := takeOpen(t)
				p.Failed(now, f, FaultUnreachable, 0)
				p.Done(now, f)
			},
			"gained": func(t *rapid.T) {
				p.PeerGained(all[rapid.IntRange(0, len(all)-1).Draw(t, "peer")].Host,
					[]uint32{rapid.Uint32Range(0, chunks+5).Draw(t, "chunk")})
			},
			"holds": func(t *rapid.T) {
				p.PeerHolds(all[rapid.IntRange(0, len(all)-1).Draw(t, "peer")].Host, []uint64{rapid.Uint64().Draw(t, "bits")})
			},
			"gone": func(t *rapid.T) { p.PeerGone(all[rapid.IntRange(0, len(all)-1).Draw(t, "peer")].Host) },
			"list": func(t *rapid.T) {
				n := rapid.IntRange(1, len(all)).Draw(t, "hosts")
				p.SetReaders(Assign("v", chunks, all[:n]))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
				for _, f := range p.Expired(now) {
					i := slices.Index(open, f)
					open = append(open[:i:i], open[i+1:]...)
					p.Failed(now, f, FaultUnreachable, 0)
				}
			},
			"": func(t *rapid.T) {
				if p.Inflight() != len(open) || p.Held() != len(held) {
					t.Fatalf("in flight %d, want %d; held %d, want %d", p.Inflight(), len(open), p.Held(), len(held))
				}
				if n := p.Inflight() - p.longPolls; n > cfg.Pipeline+4 {
					t.Fatalf("%d fetches in flight", n)
				}
			},
		}
		for name, f := range actions {
			actions[name] = func(t *rapid.T) { steps++; f(t) }
		}
		t.Repeat(actions)
		// From here on all fetches succeed.
		for i := 0; i < 10000 && !p.Complete(); i++ {
			for _, f := range open {
				p.Done(now, f)
			}
			open = open[:0]
			next(t)
			now = now.Add(100 * time.Millisecond)
		}
		if !p.Complete() {
			t.Fatalf("transfer incomplete: %d of %d chunks held", p.Held(), chunks)
		}
	})
	t.Logf("%d steps", steps)
}

// TestSpreadOverLinks runs a small swarm over simulated links, with and without faults.
func TestSpreadOverLinks(t *testing.T) {
	for _, faults := range []bool{false, true} {
		l := newLinks(20, 4, 128, intent.SpreadOriginBytes, 1)
		if faults {
			l.corruptEvery = 100
			for _, i := range []int{3, 11} {
				l.after(time.Duration(i)*5*time.Second, func() { l.kill(l.hosts[i]) })
			}
		}
		took, ok := l.run(time.Hour)
		assert.Assert(t, ok)
		ratio := took.Seconds() / l.lowerBound(20, 128).Seconds()
		copies := float64(l.originChunks) / 128
		if faults {
			assert.Assert(t, ratio < 1.6 && copies < 1.3, "%.2f times the lower bound, %.2f copies read from the origin", ratio, copies)
		} else {
			assert.Assert(t, ratio < 1.25 && copies < 1.1, "%.2f times the lower bound, %.2f copies read from the origin", ratio, copies)
		}
	}
}

package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/springgate/springgate/intent"
)

// Planner plans the transfer of one version to one host. It is owned by one
// goroutine.
type Planner struct {
	cfg     Config
	self    Node
	key     string
	count   int
	started time.Time
	rng     *rand.Rand

	have     *bitset.BitSet
	busy     *bitset.BitSet // in flight
	inflight []Fetch
	copies   []uint16 // neighbours that hold each chunk
	readers  readers
	peers    map[string]*peer
	order    []*peer // neighbours, for random draws
	sources  [FromOrigin + 1]source
}

// NewPlanner plans the version named key with count chunks. nodes are the
// hosts that want the version and are thought to be live, this one included.
// hasStore says whether a store is to be asked before the origin.
func NewPlanner(cfg Config, now time.Time, self Node, key string, count int, nodes []Node, hasStore bool, rng *rand.Rand) *Planner {
	p := &Planner{cfg: cfg.applyDefaults(), self: self, key: key, count: count, started: now, rng: rng,
		have: bitset.New(uint(count)), busy: bitset.New(uint(count)),
		copies: make([]uint16, count), peers: map[string]*peer{}}
	p.sources[FromOrigin].known = true
	p.sources[FromStore].known = hasStore
	p.SetNodes(nodes)
	return p
}

// SetNodes tells which hosts take part now.
func (p *Planner) SetNodes(nodes []Node) {
	p.readers = assign(p.key, p.self, p.count, nodes)
	p.chooseNeighbours(nodes)
}

// Hold marks a chunk that the host already has.
func (p *Planner) Hold(chunk int) { p.have.Set(uint(chunk)) }

// Complete reports whether all chunks are held.
func (p *Planner) Complete() bool { return int(p.have.Count()) == p.count }

// Held returns how many chunks are held.
func (p *Planner) Held() int { return int(p.have.Count()) }

// Has reports whether a chunk is held.
func (p *Planner) Has(chunk int) bool { return p.have.Test(uint(chunk)) }

// Bits returns the chunks held as a bitmap in words of 64 bits.
func (p *Planner) Bits() []uint64 { return slices.Clone(p.have.Words()) }

// Inflight returns how many fetches are under way.
func (p *Planner) Inflight() int { return len(p.inflight) }

// Next returns the next fetch to start, if any.
func (p *Planner) Next(now time.Time) (Fetch, bool) {
	if len(p.inflight) >= p.cfg.Pipeline || p.Complete() {
		return Fetch{}, false
	}
	for _, choose := range []func(time.Time) (Fetch, bool){p.fromSourceAsReader, p.fromPeer, p.fromSourceInstead} {
		if f, ok := choose(now); ok {
			return p.begin(now, f), true
		}
	}
	return Fetch{}, false
}

func (p *Planner) begin(now time.Time, f Fetch) Fetch {
	f.Started = now
	f.Deadline = now.Add(p.cfg.FetchTimeout)
	p.busy.Set(uint(f.Chunk))
	p.inflight = append(p.inflight, f)
	if f.Kind == FromPeer {
		p.peers[f.Peer].inflight++
	} else {
		p.sources[f.Kind].inflight++
	}
	return f
}

// Done reports that a fetch delivered its chunk and the digest matched.
func (p *Planner) Done(now time.Time, f Fetch) {
	if !p.finish(f) {
		return
	}
	p.have.Set(uint(f.Chunk))
	if f.Kind == FromPeer {
		p.peerWorked(f.Peer)
		return
	}
	p.sources[f.Kind].worked()
}

// Failed reports that a fetch failed. wait is the time a limiting source asks
// to wait.
func (p *Planner) Failed(now time.Time, f Fetch, fault Fault, wait time.Duration) {
	if !p.finish(f) {
		return
	}
	if f.Kind == FromPeer {
		p.peerFailed(now, f, fault)
		return
	}
	p.sourceFailed(now, f.Kind, fault, wait)
}

// Expired returns the fetches whose time is up. The caller cancels them and
// reports them as failed.
func (p *Planner) Expired(now time.Time) []Fetch {
	var out []Fetch
	for _, f := range p.inflight {
		if !now.Before(f.Deadline) {
			out = append(out, f)
		}
	}
	return out
}

// finish removes a fetch; it reports false for one that is not under way.
func (p *Planner) finish(f Fetch) bool {
	i := slices.Index(p.inflight, f)
	if i < 0 {
		return false
	}
	p.inflight = slices.Delete(p.inflight, i, i+1)
	p.busy.Clear(uint(f.Chunk))
	if f.Kind != FromPeer {
		p.sources[f.Kind].inflight--
		return true
	}
	if q := p.peers[f.Peer]; q != nil {
		q.inflight--
	}
	return true
}

func (p *Planner) wanted(chunk int) bool {
	return !p.have.Test(uint(chunk)) && !p.busy.Test(uint(chunk))
}

// fromSourceAsReader reads a chunk that this host is the first to read, or
// for which the readers before it have had their time.
func (p *Planner) fromSourceAsReader(now time.Time) (Fetch, bool) {
	kind, ok := p.openSource(now)
	if !ok {
		return Fetch{}, false
	}
	waited := now.Sub(p.started)
	for _, d := range p.readers.mine {
		if waited < time.Duration(d.rank)*p.cfg.StepIn {
			break // duties are in order of rank
		}
		if p.wanted(d.chunk) && (d.rank == 0 || p.copies[d.chunk] == 0) {
			return Fetch{Chunk: d.chunk, Kind: kind}, true
		}
	}
	return Fetch{}, false
}

// fromSourceInstead reads from a source what no neighbour offers, if time
// weighs more than the bytes of the origin.
func (p *Planner) fromSourceInstead(now time.Time) (Fetch, bool) {
	if p.cfg.Goal != intent.SpreadTime || p.busyEnough() {
		return Fetch{}, false
	}
	kind, ok := p.openSource(now)
	if !ok {
		return Fetch{}, false
	}
	start := p.rng.IntN(p.count)
	best := -1
	for i, seen := 0, 0; i < p.count && seen < rareSample; i++ {
		c := (start + i) % p.count
		if !p.wanted(c) {
			continue
		}
		seen++
		if best < 0 || p.copies[c] < p.copies[best] {
			best = c
		}
	}
	if best < 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: best, Kind: kind}, true
}

// busyEnough reports whether the pipeline is full enough that the link is
// not idle.
func (p *Planner) busyEnough() bool { return len(p.inflight) >= p.cfg.Pipeline/4 }

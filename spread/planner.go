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
	cfg   Config
	self  selfNode
	count int
	rng   *rand.Rand

	have     *bitset.BitSet
	busy     *bitset.BitSet // in flight
	inflight []Fetch
	holds    int // of them, questions that the peer may hold
	patience [FromOrigin + 1]patience
	gainedAt time.Time // of the last chunk
	copies   []uint16  // neighbours that hold each chunk
	peers    map[string]*peer
	order    []*peer // neighbours, for random draws
	sources  [FromOrigin + 1]source

	readers  *Readers
	duties   []int                // chunks that this host brings into its domain
	unable   map[string]time.Time // readers that are passed over until then
	askAgain []time.Time          // per chunk: no question before
	nextAsk  time.Time            // no question about any chunk before
}

// selfNode is this host and its index among the readers' nodes.
type selfNode struct {
	Node
	index uint16
}

// NewPlanner plans a version for the host self. readers come from the hosts
// that want the version and are thought to be live, self included. hasStore
// says whether a store is to be asked before the origin.
func NewPlanner(cfg Config, self Node, readers *Readers, hasStore bool, rng *rand.Rand) *Planner {
	n := readers.count
	p := &Planner{cfg: cfg.applyDefaults(), self: selfNode{Node: self}, count: n, rng: rng,
		have: bitset.New(uint(n)), busy: bitset.New(uint(n)),
		copies: make([]uint16, n), peers: map[string]*peer{},
		unable: map[string]time.Time{}, askAgain: make([]time.Time, n)}
	for k := range p.patience {
		p.patience[k] = newPatience(SourceKind(k), p.cfg.FetchTimeout)
	}
	p.sources[FromOrigin].known = true
	p.sources[FromStore].known = hasStore
	p.SetReaders(readers)
	return p
}

// MarkHeld marks a chunk that the host already has.
func (p *Planner) MarkHeld(chunk int) { p.have.Set(uint(chunk)) }

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
	if p.gainedAt.IsZero() {
		p.gainedAt = now
	}
	if p.Complete() {
		return Fetch{}, false
	}
	if f, ok := p.fromDuty(now); ok {
		return p.begin(now, f), true
	}
	if len(p.inflight)-p.holds >= p.cfg.Pipeline {
		return Fetch{}, false
	}
	for _, choose := range []func(time.Time) (Fetch, bool){p.fromPeer, p.fromReader, p.fromSourceInstead} {
		if f, ok := choose(now); ok {
			return p.begin(now, f), true
		}
	}
	return Fetch{}, false
}

func (p *Planner) begin(now time.Time, f Fetch) Fetch {
	f.Started = now
	f.Deadline = now.Add(p.patience[f.Kind].allowed)
	if f.LongPollTimeout > 0 {
		p.holds++
		f.Deadline = f.Deadline.Add(f.LongPollTimeout)
	}
	p.busy.Set(uint(f.Chunk))
	p.inflight = append(p.inflight, f)
	switch {
	case f.Kind != FromPeer:
		p.sources[f.Kind].inflight++
	case !f.ToReader && p.peers[f.Peer] != nil:
		p.peers[f.Peer].inflight++
	}
	return f
}

// Done reports that a fetch delivered its chunk and the digest matched.
func (p *Planner) Done(now time.Time, f Fetch) {
	if !p.finish(f) {
		return
	}
	p.have.Set(uint(f.Chunk))
	p.patience[f.Kind].learn(now.Sub(f.Started))
	p.gainedAt = now
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
		if f.ToReader {
			p.askFailed(now, f, fault)
		}
		if !f.ToReader || fault != FaultPending {
			p.peerFailed(now, f, fault)
		}
		return
	}
	p.sourceFailed(now, f.Kind, fault, wait)
}

// Expired returns the fetches whose time is up. The caller cancels them and
// reports them as failed.
func (p *Planner) Expired(now time.Time) []Fetch {
	var out []Fetch
	late := [FromOrigin + 1]bool{}
	for _, f := range p.inflight {
		if !now.Before(f.Deadline) {
			out = append(out, f)
			late[f.Kind] = true
		}
	}
	for k, is := range late {
		if is {
			p.patience[k].exhausted()
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
	if f.LongPollTimeout > 0 {
		p.holds--
	}
	if f.Kind != FromPeer {
		p.sources[f.Kind].inflight--
		return true
	}
	if q := p.peers[f.Peer]; q != nil && !f.ToReader {
		q.inflight--
	}
	return true
}

func (p *Planner) wanted(chunk int) bool {
	return !p.have.Test(uint(chunk)) && !p.busy.Test(uint(chunk))
}

// perSource is how many chunks may be asked of a source at once.
func (p *Planner) perSource() int {
	if p.cfg.Goal == intent.SpreadTime {
		return timeFactor * p.cfg.PerSource
	}
	return p.cfg.PerSource
}

// idleTime is how long a host gains nothing before it reads from a source what
// others are to bring.
const idleTime = 2 * time.Second

// timeFactor is how many times more is asked of a source if time weighs more.
const timeFactor = 2

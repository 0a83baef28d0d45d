package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/springgate/springgate/intent"
)

// Planner plans the transfer of one version to one host. It must be used by one goroutine
// only.
type Planner struct {
	cfg   Config
	self  selfNode
	count int
	rng   *rand.Rand

	have        *bitset.BitSet
	busy        *bitset.BitSet // chunks with a fetch in flight
	inflight    []Fetch
	longPolls   int // number of fetches in flight that are long polls
	timeouts    [FromOrigin + 1]adaptiveTimeout
	lastChunkAt time.Time // when the last chunk was fetched
	copies      []uint16  // number of neighbours that hold each chunk
	peers       map[string]*peer
	neighbours  []*peer // the peers in a stable order, for random selection
	sources     [FromOrigin + 1]source

	readers           *Readers
	assigned          []int                // chunks that this host is assigned to import
	unavailableUntil  map[string]time.Time // readers that are skipped until then
	retryAt           []time.Time          // by chunk: no request to a reader before this time
	nextReaderRequest time.Time            // no request by fromReader before this time
}

// selfNode is this host and its index among the readers' nodes.
type selfNode struct {
	Node
	index uint16
}

// NewPlanner returns a planner for the host self. readers must be computed from all hosts,
// including self, that want the version and are assumed to be live. hasStore says whether a
// store is used before the origin.
func NewPlanner(cfg Config, self Node, readers *Readers, hasStore bool, rng *rand.Rand) *Planner {
	n := readers.count
	p := &Planner{cfg: cfg.applyDefaults(), self: selfNode{Node: self}, count: n, rng: rng,
		have: bitset.New(uint(n)), busy: bitset.New(uint(n)),
		copies: make([]uint16, n), peers: map[string]*peer{},
		unavailableUntil: map[string]time.Time{}, retryAt: make([]time.Time, n)}
	for k := range p.timeouts {
		p.timeouts[k] = newAdaptiveTimeout(SourceKind(k), p.cfg.FetchTimeout)
	}
	p.sources[FromOrigin].hasVersion = true
	p.sources[FromStore].hasVersion = hasStore
	p.SetReaders(readers)
	return p
}

// MarkHeld marks a chunk that the host already has.
func (p *Planner) MarkHeld(chunk int) { p.have.Set(uint(chunk)) }

// Complete reports whether all chunks are held.
func (p *Planner) Complete() bool { return int(p.have.Count()) == p.count }

// Held returns the number of chunks that are held.
func (p *Planner) Held() int { return int(p.have.Count()) }

// Has reports whether a chunk is held.
func (p *Planner) Has(chunk int) bool { return p.have.Test(uint(chunk)) }

// Bits returns the held chunks as a bitmap in words of 64 bits.
func (p *Planner) Bits() []uint64 { return slices.Clone(p.have.Words()) }

// Inflight returns the number of fetches in flight.
func (p *Planner) Inflight() int { return len(p.inflight) }

// Next returns the next fetch to start, if any.
func (p *Planner) Next(now time.Time) (Fetch, bool) {
	if p.lastChunkAt.IsZero() {
		p.lastChunkAt = now
	}
	if p.Complete() {
		return Fetch{}, false
	}
	if f, ok := p.fromAssigned(now); ok {
		return p.begin(now, f), true
	}
	if len(p.inflight)-p.longPolls >= p.cfg.Pipeline {
		return Fetch{}, false
	}
	for _, choose := range []func(time.Time) (Fetch, bool){p.fromPeer, p.fromReader, p.fromSourceWhenIdle} {
		if f, ok := choose(now); ok {
			return p.begin(now, f), true
		}
	}
	return Fetch{}, false
}

func (p *Planner) begin(now time.Time, f Fetch) Fetch {
	f.Started = now
	f.Deadline = now.Add(p.timeouts[f.Kind].current)
	if f.LongPollTimeout > 0 {
		p.longPolls++
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
	p.timeouts[f.Kind].observe(now.Sub(f.Started))
	p.lastChunkAt = now
	if f.Kind == FromPeer {
		p.peerSucceeded(f.Peer)
		return
	}
	p.sources[f.Kind].succeeded()
}

// Failed reports that a fetch failed. wait is used only with FaultRateLimited: it is how long the
// source asked to wait.
func (p *Planner) Failed(now time.Time, f Fetch, fault Fault, wait time.Duration) {
	if !p.finish(f) {
		return
	}
	if f.Kind == FromPeer {
		if f.ToReader {
			p.readerFailed(now, f, fault)
		}
		if !f.ToReader || fault != FaultPending {
			p.peerFailed(now, f, fault)
		}
		return
	}
	p.sourceFailed(now, f.Kind, fault, wait)
}

// Expired returns the fetches that have timed out. The caller cancels them and reports
// them as failed.
func (p *Planner) Expired(now time.Time) []Fetch {
	var out []Fetch
	timedOut := [FromOrigin + 1]bool{}
	for _, f := range p.inflight {
		if !now.Before(f.Deadline) {
			out = append(out, f)
			timedOut[f.Kind] = true
		}
	}
	for k, expired := range timedOut {
		if expired {
			p.timeouts[k].increase()
		}
	}
	return out
}

// finish removes a fetch and reports whether it was in flight.
func (p *Planner) finish(f Fetch) bool {
	i := slices.Index(p.inflight, f)
	if i < 0 {
		return false
	}
	p.inflight = slices.Delete(p.inflight, i, i+1)
	p.busy.Clear(uint(f.Chunk))
	if f.LongPollTimeout > 0 {
		p.longPolls--
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

// perSource returns the maximum number of fetches in flight from one source.
func (p *Planner) perSource() int {
	if p.cfg.Goal == intent.SpreadTime {
		return timeGoalFactor * p.cfg.PerSource
	}
	return p.cfg.PerSource
}

// idleTime is the time without a new chunk after which a host reads chunks from a source
// although they are assigned to other hosts.
const idleTime = 2 * time.Second

// timeGoalFactor multiplies Config.PerSource if the goal is transfer time.
const timeGoalFactor = 2

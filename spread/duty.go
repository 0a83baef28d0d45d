package spread

import (
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/intent"
)

// SetReaders tells which hosts take part now.
func (p *Planner) SetReaders(r *Readers) {
	if p.readers == r {
		return
	}
	p.readers = r
	p.self.index = none
	if i, ok := r.index[p.self.Host]; ok {
		p.self.index = uint16(i)
	}
	p.duties = p.duties[:0]
	for c := range p.count {
		if chain := r.importChain(c, p.self.Domain); len(chain) > 0 && chain[0] == p.self.index {
			p.duties = append(p.duties, c)
		}
	}
	// All hosts that read at the same time should read different parts of the
	// version, each in an order of its own.
	rand.New(rand.NewPCG(uint64(p.self.index), uint64(p.count))).Shuffle(len(p.duties), func(i, j int) {
		p.duties[i], p.duties[j] = p.duties[j], p.duties[i]
	})
	p.chooseNeighbours(r.nodes)
}

// up returns the first host of a chain that is not known to be unable, or
// none if there is no other host to wait for.
func (p *Planner) up(now time.Time, chain []uint16) uint16 {
	for _, i := range chain {
		if i == none {
			break
		}
		if i == p.self.index || !now.Before(p.unable[p.readers.nodes[i].Host]) {
			return i
		}
	}
	return none
}

// step is what this host has to do for a chunk that no neighbour offers.
type step struct {
	source bool   // read it from a source
	ask    uint16 // ask this host
	far    bool   // which is in another failure domain
}

// stepFor follows the chains: the first able host of the domain's chain
// brings the chunk in from the first able host of the source chain, which
// reads it from a source. A host that finds itself first in a chain, or finds
// nobody, takes the part itself.
func (p *Planner) stepFor(now time.Time, chunk int) step {
	if i := p.up(now, p.readers.importChain(chunk, p.self.Domain)); i != none && i != p.self.index {
		return step{ask: i}
	}
	i := p.up(now, p.readers.sourceChain(chunk))
	if i == none || i == p.self.index {
		return step{source: true}
	}
	return step{ask: i, far: p.readers.nodes[i].Domain != p.self.Domain}
}

// Pending reports whether a chunk that this host lacks is on its way here, so
// that a host that asks for it should wait and not step in.
func (p *Planner) Pending(now time.Time, chunk int) bool {
	if p.busy.Test(uint(chunk)) {
		return true
	}
	s := p.stepFor(now, chunk)
	return !s.source || p.sourceWorks(now)
}

// fromDuty carries out what this host has to do for others: it reads chunks
// from a source, or brings them into its failure domain. A reader that is
// asked may hold the question until it has the chunk; such questions do not
// count against the pipeline.
func (p *Planner) fromDuty(now time.Time) (Fetch, bool) {
	kept := p.duties[:0]
	var found Fetch
	ok := false
	for _, c := range p.duties {
		if p.have.Test(uint(c)) {
			continue
		}
		kept = append(kept, c)
		if !ok && p.wanted(c) {
			found, ok = p.tryStep(now, c, p.cfg.LongPollTimeout)
		}
	}
	p.duties = kept
	return found, ok
}

// fromReader asks the reader of a chunk directly when neighbours do not keep
// the pipeline busy. Such questions are spaced out.
func (p *Planner) fromReader(now time.Time) (Fetch, bool) {
	if now.Before(p.nextAsk) || len(p.inflight) >= p.cfg.Pipeline/2 {
		return Fetch{}, false
	}
	start := p.rng.IntN(p.count)
	for i, seen := 0, 0; i < p.count && seen < askSample; i++ {
		c := (start + i) % p.count
		if !p.wanted(c) {
			continue
		}
		seen++
		if f, ok := p.tryStep(now, c, 0); ok {
			p.nextAsk = now.Add(p.cfg.ReaderInterval)
			return f, true
		}
	}
	return Fetch{}, false
}

// askSample is how many wanted chunks are looked at for a question.
const askSample = 16

// tryStep turns the step for a chunk into a fetch, if it can start now. hold is
// how long a reader may hold the question.
func (p *Planner) tryStep(now time.Time, chunk int, hold time.Duration) (Fetch, bool) {
	s := p.stepFor(now, chunk)
	if s.source {
		kind, ok := p.openSource(now)
		return Fetch{Chunk: chunk, Kind: kind}, ok
	}
	if now.Before(p.askAgain[chunk]) || hold > 0 && p.holds >= p.cfg.MaxLongPolls {
		return Fetch{}, false
	}
	return Fetch{Chunk: chunk, Kind: FromPeer, Peer: p.readers.nodes[s.ask].Host, CrossDomain: s.far, ToReader: true, LongPollTimeout: hold}, true
}

// askFailed notes the answer of a reader that was asked. One that is still
// waiting for the chunk is asked again; one that cannot help is passed over
// for a time.
func (p *Planner) askFailed(now time.Time, f Fetch, fault Fault) {
	jitter := time.Duration(p.rng.Int64N(int64(p.cfg.PendingRetry)))
	p.askAgain[f.Chunk] = now.Add(p.cfg.PendingRetry/2 + jitter)
	if fault != FaultPending {
		p.unable[f.Peer] = now.Add(p.cfg.UnavailableFor)
	}
}

// fromSourceInstead reads from a source what no neighbour offers, if time
// weighs more than the bytes of the origin and this host has gained nothing
// for a while.
func (p *Planner) fromSourceInstead(now time.Time) (Fetch, bool) {
	if p.cfg.Goal != intent.SpreadTime || len(p.inflight) >= p.cfg.Pipeline/4 ||
		now.Sub(p.gainedAt) < idleTime {
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
	return Fetch{Chunk: best, Kind: kind}, best >= 0
}

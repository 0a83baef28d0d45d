package spread

import (
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/intent"
)

// SetReaders sets the readers computed from the current list of participating hosts.
func (p *Planner) SetReaders(r *Readers) {
	if p.readers == r {
		return
	}
	p.readers = r
	p.self.index = none
	if i, ok := r.hostIndex[p.self.Host]; ok {
		p.self.index = uint16(i)
	}
	p.assigned = p.assigned[:0]
	for c := range p.count {
		if chain := r.importChain(c, p.self.Domain); len(chain) > 0 && chain[0] == p.self.index {
			p.assigned = append(p.assigned, c)
		}
	}
	// Shuffle with a seed for each host, so that hosts that import at the same time
	// read different parts of the version.
	rand.New(rand.NewPCG(uint64(p.self.index), uint64(p.count))).Shuffle(len(p.assigned), func(i, j int) {
		p.assigned[i], p.assigned[j] = p.assigned[j], p.assigned[i]
	})
	p.chooseNeighbours(r.nodes)
}

// firstAvailable returns the first host of a chain that is this host or not known to be
// unavailable, or none if there is no such host.
func (p *Planner) firstAvailable(now time.Time, chain []uint16) uint16 {
	for _, i := range chain {
		if i == none {
			break
		}
		if i == p.self.index || !now.Before(p.unavailableUntil[p.readers.nodes[i].Host]) {
			return i
		}
	}
	return none
}

// route is how this host obtains a chunk that no neighbour offers.
type route struct {
	fromSource  bool   // read it from a source
	reader      uint16 // otherwise, request it from this host
	crossDomain bool   // the reader is in another failure domain
}

// routeFor follows the chains: the first available host of the domain's import chain
// requests the chunk from the first available host of the source chain, which reads it
// from a source. This host takes either role itself if it is the first available host of that
// chain, or if no host of the chain is available.
func (p *Planner) routeFor(now time.Time, chunk int) route {
	if i := p.firstAvailable(now, p.readers.importChain(chunk, p.self.Domain)); i != none && i != p.self.index {
		return route{reader: i}
	}
	i := p.firstAvailable(now, p.readers.sourceChain(chunk))
	if i == none || i == p.self.index {
		return route{fromSource: true}
	}
	return route{reader: i, crossDomain: p.readers.nodes[i].Domain != p.self.Domain}
}

// Pending reports whether this host will receive a chunk that it lacks, so that another host
// that requests the chunk here should wait for it instead of obtaining it elsewhere.
func (p *Planner) Pending(now time.Time, chunk int) bool {
	if p.busy.Test(uint(chunk)) {
		return true
	}
	r := p.routeFor(now, chunk)
	return !r.fromSource || p.hasWorkingSource(now)
}

// fromAssigned fetches a chunk that this host is assigned to import into its failure
// domain, from a source or from the chunk's reader. The reader may delay its reply until
// it has the chunk; such long polls do not count against the pipeline.
func (p *Planner) fromAssigned(now time.Time) (Fetch, bool) {
	remaining := p.assigned[:0]
	var found Fetch
	ok := false
	for _, c := range p.assigned {
		if p.have.Test(uint(c)) {
			continue
		}
		remaining = append(remaining, c)
		if !ok && p.wanted(c) {
			found, ok = p.tryRoute(now, c, p.cfg.LongPollTimeout)
		}
	}
	p.assigned = remaining
	return found, ok
}

// fromReader requests a chunk directly from its reader when fewer fetches than half of
// Config.Pipeline are in flight. Such requests are at least Config.ReaderInterval apart.
func (p *Planner) fromReader(now time.Time) (Fetch, bool) {
	if now.Before(p.nextReaderRequest) || len(p.inflight) >= p.cfg.Pipeline/2 {
		return Fetch{}, false
	}
	start := p.rng.IntN(p.count)
	for i, sampled := 0, 0; i < p.count && sampled < readerSample; i++ {
		c := (start + i) % p.count
		if !p.wanted(c) {
			continue
		}
		sampled++
		if f, ok := p.tryRoute(now, c, 0); ok {
			p.nextReaderRequest = now.Add(p.cfg.ReaderInterval)
			return f, true
		}
	}
	return Fetch{}, false
}

// readerSample is the maximum number of wanted chunks that are tried for a request to a reader.
const readerSample = 16

// tryRoute returns the fetch for the route of a chunk, if it can start now. longPoll is how
// long a reader may delay its reply.
func (p *Planner) tryRoute(now time.Time, chunk int, longPoll time.Duration) (Fetch, bool) {
	r := p.routeFor(now, chunk)
	if r.fromSource {
		kind, ok := p.availableSource(now)
		return Fetch{Chunk: chunk, Kind: kind}, ok
	}
	if now.Before(p.retryAt[chunk]) || longPoll > 0 && p.longPolls >= p.cfg.MaxLongPolls {
		return Fetch{}, false
	}
	return Fetch{Chunk: chunk, Kind: FromPeer, Peer: p.readers.nodes[r.reader].Host, CrossDomain: r.crossDomain, ToReader: true, LongPollTimeout: longPoll}, true
}

// readerFailed records a failed request to a reader. The chunk is requested again after a
// delay. Unless the reader is only waiting for the chunk, it is skipped for
// Config.UnavailableFor.
func (p *Planner) readerFailed(now time.Time, f Fetch, fault Fault) {
	jitter := time.Duration(p.rng.Int64N(int64(p.cfg.PendingRetry)))
	p.retryAt[f.Chunk] = now.Add(p.cfg.PendingRetry/2 + jitter)
	if fault != FaultPending {
		p.unavailableUntil[f.Peer] = now.Add(p.cfg.UnavailableFor)
	}
}

// fromSourceWhenIdle reads a rare chunk from a source, without regard to the chunk's
// readers, if the goal is transfer time and no chunk has arrived for idleTime.
func (p *Planner) fromSourceWhenIdle(now time.Time) (Fetch, bool) {
	if p.cfg.Goal != intent.SpreadTime || len(p.inflight) >= p.cfg.Pipeline/4 ||
		now.Sub(p.lastChunkAt) < idleTime {
		return Fetch{}, false
	}
	kind, ok := p.availableSource(now)
	if !ok {
		return Fetch{}, false
	}
	start := p.rng.IntN(p.count)
	best := -1
	for i, sampled := 0, 0; i < p.count && sampled < rareSample; i++ {
		c := (start + i) % p.count
		if !p.wanted(c) {
			continue
		}
		sampled++
		if best < 0 || p.copies[c] < p.copies[best] {
			best = c
		}
	}
	return Fetch{Chunk: best, Kind: kind}, best >= 0
}

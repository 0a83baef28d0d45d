package spread

import (
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/springgate/springgate/membership"
)

// rareSample is how many wanted chunks are compared to find a rare one.
const rareSample = 48

// Limits of the trust in a peer.
const (
	maxStrikes  = 3 // failures in a row before a ban
	maxBanShift = 5
)

type peer struct {
	Node
	far      bool
	bits     *bitset.BitSet
	inflight int
	strikes  int
	bans     int
	banned   time.Time
}

// Neighbours returns the hosts whose holdings this host wants to hear.
func (p *Planner) Neighbours() []string {
	out := make([]string, len(p.order))
	for i, q := range p.order {
		out[i] = q.Host
	}
	return out
}

// chooseNeighbours picks neighbours by rendezvous, so that the choice of a
// host changes little when hosts come and go.
func (p *Planner) chooseNeighbours(nodes []Node) {
	domain := map[string]string{}
	var near, far []string
	for _, n := range nodes {
		domain[n.Host] = n.Domain
		switch {
		case n.Host == p.self.Host:
		case n.Domain == p.self.Domain:
			near = append(near, n.Host)
		default:
			far = append(far, n.Host)
		}
	}
	key := "neighbour/" + p.readers.key + "/" + p.self.Host
	chosen := map[string]bool{}
	for _, h := range membership.Rank(key, near, p.cfg.LocalNeighbours) {
		chosen[h] = true
	}
	for _, h := range membership.Rank(key, far, p.cfg.RemoteNeighbours) {
		chosen[h] = true
	}
	for h, q := range p.peers {
		if !chosen[h] {
			p.forget(q)
		}
	}
	for h := range chosen {
		p.addPeer(Node{h, domain[h]})
	}
	p.reorder()
}

func (p *Planner) addPeer(n Node) *peer {
	if q := p.peers[n.Host]; q != nil {
		return q
	}
	q := &peer{Node: n, far: n.Domain != p.self.Domain, bits: bitset.New(uint(p.count))}
	p.peers[n.Host] = q
	return q
}

func (p *Planner) reorder() {
	hosts := make([]string, 0, len(p.peers))
	for h := range p.peers {
		hosts = append(hosts, h)
	}
	p.order = p.order[:0]
	for _, h := range membership.Rank("order", hosts, len(hosts)) {
		p.order = append(p.order, p.peers[h])
	}
}

func (p *Planner) forget(q *peer) {
	for i, ok := q.bits.NextSet(0); ok; i, ok = q.bits.NextSet(i + 1) {
		p.copies[i]--
	}
	delete(p.peers, q.Host)
}

// PeerGone forgets what a peer holds, for one that cannot be reached.
func (p *Planner) PeerGone(host string) {
	if q := p.peers[host]; q != nil {
		p.forget(q)
		p.addPeer(q.Node)
		p.peers[host].inflight = q.inflight
		p.reorder()
	}
}

// PeerHolds sets the whole bitmap of a neighbour. Words beyond the chunk
// count are ignored.
func (p *Planner) PeerHolds(host string, words []uint64) {
	q := p.peers[host]
	if q == nil {
		return
	}
	for i := range p.count {
		if w := i / 64; w < len(words) && words[w]>>(i%64)&1 == 1 {
			p.gained(q, i)
		} else {
			p.lostChunk(q, i)
		}
	}
}

// PeerGained adds chunks to what a neighbour holds.
func (p *Planner) PeerGained(host string, chunks []uint32) {
	q := p.peers[host]
	if q == nil {
		return
	}
	for _, c := range chunks {
		if int(c) < p.count {
			p.gained(q, int(c))
		}
	}
}

func (p *Planner) gained(q *peer, chunk int) {
	if !q.bits.Test(uint(chunk)) {
		q.bits.Set(uint(chunk))
		p.copies[chunk]++
	}
}

func (p *Planner) lostChunk(q *peer, chunk int) {
	if q.bits.Test(uint(chunk)) {
		q.bits.Clear(uint(chunk))
		p.copies[chunk]--
	}
}

func (p *Planner) peerWorked(host string) {
	if q := p.peers[host]; q != nil {
		q.strikes, q.bans = 0, 0
	}
}

func (p *Planner) peerFailed(now time.Time, f Fetch, fault Fault) {
	q := p.peers[f.Peer]
	if q == nil {
		return
	}
	p.lostChunk(q, f.Chunk)
	q.strikes++
	if fault == FaultCorrupt || q.strikes >= maxStrikes {
		q.banned = now.Add(p.cfg.BanDuration << min(q.bans, maxBanShift))
		q.bans++
		q.strikes = 0
	}
}

// fromPeer asks a neighbour for a rare chunk. Neighbours of this failure
// domain come first; another domain is asked only for chunks that this host
// has to bring in.
func (p *Planner) fromPeer(now time.Time) (Fetch, bool) {
	if len(p.order) == 0 {
		return Fetch{}, false
	}
	start := p.rng.IntN(len(p.order))
	for _, far := range []bool{false, true} {
		if f, ok := p.fromPeers(now, start, far); ok {
			return f, true
		}
	}
	return Fetch{}, false
}

func (p *Planner) fromPeers(now time.Time, start int, far bool) (Fetch, bool) {
	for load := range p.cfg.PerPeer {
		for i := range p.order {
			q := p.order[(start+i)%len(p.order)]
			if q.far != far || q.inflight != load || now.Before(q.banned) {
				continue
			}
			if c := p.rarest(now, q); c >= 0 {
				return Fetch{Chunk: c, Kind: FromPeer, Peer: q.Host, CrossDomain: far}, true
			}
		}
	}
	return Fetch{}, false
}

// rarest returns a wanted chunk of q with few copies among the neighbours, or
// -1. It looks at a random sample.
func (p *Planner) rarest(now time.Time, q *peer) int {
	best := -1
	seen := 0
	look := func(from, to uint) {
		for i, ok := q.bits.NextSet(from); ok && i < to && seen < rareSample; i, ok = q.bits.NextSet(i + 1) {
			c := int(i)
			if !p.wanted(c) || q.far && !p.mayImport(now, c) {
				continue
			}
			seen++
			if best < 0 || p.copies[c] < p.copies[best] {
				best = c
			}
		}
	}
	start := uint(p.rng.IntN(p.count))
	look(start, uint(p.count))
	look(0, start)
	return best
}

// mayImport reports whether this host may fetch a chunk across failure
// domains: no other host of its domain is to bring it in.
func (p *Planner) mayImport(now time.Time, chunk int) bool {
	i := p.up(now, p.readers.importChain(chunk, p.self.Domain))
	return i == none || i == p.self.index
}

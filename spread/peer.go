package spread

import (
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/springgate/springgate/membership"
)

// rareSample is the maximum number of wanted chunks (not held and not being fetched) that are
// compared to find a rare one, that is, one that few neighbours hold.
const rareSample = 48

// Constants of bans of peers.
const (
	failuresBeforeBan = 3 // consecutive failures
	maxBanShift       = 5 // maximum number of times that the duration of a ban is doubled
)

type peer struct {
	Node
	crossDomain bool           // in another failure domain
	held        *bitset.BitSet // chunks that the peer reported to hold
	inflight    int
	failures    int // consecutive
	bans        int // since the last success
	bannedUntil time.Time
}

// Neighbours returns the hosts whose held chunks should be reported to this host.
func (p *Planner) Neighbours() []string {
	out := make([]string, len(p.neighbours))
	for i, q := range p.neighbours {
		out[i] = q.Host
	}
	return out
}

// chooseNeighbours selects neighbours by rendezvous hashing, so that the selection changes
// little when hosts join or leave.
func (p *Planner) chooseNeighbours(nodes []Node) {
	domain := map[string]string{}
	var local, remote []string
	for _, n := range nodes {
		domain[n.Host] = n.Domain
		switch {
		case n.Host == p.self.Host:
		case n.Domain == p.self.Domain:
			local = append(local, n.Host)
		default:
			remote = append(remote, n.Host)
		}
	}
	key := "neighbour/" + p.readers.key + "/" + p.self.Host
	chosen := map[string]bool{}
	for _, h := range membership.Rank(key, local, p.cfg.LocalNeighbours) {
		chosen[h] = true
	}
	for _, h := range membership.Rank(key, remote, p.cfg.RemoteNeighbours) {
		chosen[h] = true
	}
	for h, q := range p.peers {
		if !chosen[h] {
			p.removePeer(q)
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
	q := &peer{Node: n, crossDomain: n.Domain != p.self.Domain, held: bitset.New(uint(p.count))}
	p.peers[n.Host] = q
	return q
}

func (p *Planner) reorder() {
	hosts := make([]string, 0, len(p.peers))
	for h := range p.peers {
		hosts = append(hosts, h)
	}
	p.neighbours = p.neighbours[:0]
	for _, h := range membership.Rank("order", hosts, len(hosts)) {
		p.neighbours = append(p.neighbours, p.peers[h])
	}
}

func (p *Planner) removePeer(q *peer) {
	for i, ok := q.held.NextSet(0); ok; i, ok = q.held.NextSet(i + 1) {
		p.copies[i]--
	}
	delete(p.peers, q.Host)
}

// PeerGone clears the chunks that an unreachable peer has reported.
func (p *Planner) PeerGone(host string) {
	if q := p.peers[host]; q != nil {
		p.removePeer(q)
		p.addPeer(q.Node)
		p.peers[host].inflight = q.inflight
		p.reorder()
	}
}

// PeerHolds sets the bitmap of the chunks that a neighbour holds. Bits beyond the chunk
// count are ignored.
func (p *Planner) PeerHolds(host string, words []uint64) {
	q := p.peers[host]
	if q == nil {
		return
	}
	for i := range p.count {
		if w := i / 64; w < len(words) && words[w]>>(i%64)&1 == 1 {
			p.setHeld(q, i)
		} else {
			p.clearHeld(q, i)
		}
	}
}

// PeerGained adds chunks to those that a neighbour holds.
func (p *Planner) PeerGained(host string, chunks []uint32) {
	q := p.peers[host]
	if q == nil {
		return
	}
	for _, c := range chunks {
		if int(c) < p.count {
			p.setHeld(q, int(c))
		}
	}
}

func (p *Planner) setHeld(q *peer, chunk int) {
	if !q.held.Test(uint(chunk)) {
		q.held.Set(uint(chunk))
		p.copies[chunk]++
	}
}

func (p *Planner) clearHeld(q *peer, chunk int) {
	if q.held.Test(uint(chunk)) {
		q.held.Clear(uint(chunk))
		p.copies[chunk]--
	}
}

func (p *Planner) peerSucceeded(host string) {
	if q := p.peers[host]; q != nil {
		q.failures, q.bans = 0, 0
	}
}

func (p *Planner) peerFailed(now time.Time, f Fetch, fault Fault) {
	q := p.peers[f.Peer]
	if q == nil {
		return
	}
	p.clearHeld(q, f.Chunk)
	q.failures++
	if fault == FaultCorrupt || q.failures >= failuresBeforeBan {
		q.bannedUntil = now.Add(p.cfg.BanDuration << min(q.bans, maxBanShift))
		q.bans++
		q.failures = 0
	}
}

// fromPeer requests a rare chunk from a neighbour. Neighbours in this host's failure domain are
// preferred; those in another domain are used only for chunks that this host has to import.
func (p *Planner) fromPeer(now time.Time) (Fetch, bool) {
	if len(p.neighbours) == 0 {
		return Fetch{}, false
	}
	start := p.rng.IntN(len(p.neighbours))
	for _, crossDomain := range []bool{false, true} {
		if f, ok := p.fromPeers(now, start, crossDomain); ok {
			return f, true
		}
	}
	return Fetch{}, false
}

func (p *Planner) fromPeers(now time.Time, start int, crossDomain bool) (Fetch, bool) {
	for load := range p.cfg.PerPeer {
		for i := range p.neighbours {
			q := p.neighbours[(start+i)%len(p.neighbours)]
			if q.crossDomain != crossDomain || q.inflight != load || now.Before(q.bannedUntil) {
				continue
			}
			if c := p.rarest(now, q); c >= 0 {
				return Fetch{Chunk: c, Kind: FromPeer, Peer: q.Host, CrossDomain: crossDomain}, true
			}
		}
	}
	return Fetch{}, false
}

// rarest returns, of a random sample of the wanted chunks that q holds, the one that the fewest
// neighbours hold, or -1 if there is none.
func (p *Planner) rarest(now time.Time, q *peer) int {
	best := -1
	sampled := 0
	sample := func(from, to uint) {
		for i, ok := q.held.NextSet(from); ok && i < to && sampled < rareSample; i, ok = q.held.NextSet(i + 1) {
			c := int(i)
			if !p.wanted(c) || q.crossDomain && !p.mayImport(now, c) {
				continue
			}
			sampled++
			if best < 0 || p.copies[c] < p.copies[best] {
				best = c
			}
		}
	}
	start := uint(p.rng.IntN(p.count))
	sample(start, uint(p.count))
	sample(0, start)
	return best
}

// mayImport reports whether this host may fetch a chunk across failure domains: no other
// available host of its domain is assigned to import it.
func (p *Planner) mayImport(now time.Time, chunk int) bool {
	i := p.firstAvailable(now, p.readers.importChain(chunk, p.self.Domain))
	return i == none || i == p.self.index
}

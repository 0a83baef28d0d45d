package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/membership"
)

// Lengths of the chains of readers.
const (
	globalRanks = 4
	domainRanks = 3
)

// none is an empty place in a chain.
const none = ^uint16(0)

// Readers says for each chunk which hosts are to read it from a source, and
// which are to bring it into each failure domain, in order. It follows from
// rendezvous hashing over the hosts that take part, so no host needs to be
// told, and two hosts with the same list agree. It is immutable.
type Readers struct {
	key     string
	count   int
	nodes   []Node
	index   map[string]int
	domains map[string]int
	global  []uint16 // count * globalRanks
	local   []uint16 // count * len(domains) * domainRanks
}

// Assign computes the readers of a version named key with count chunks. Its
// cost is that of one hash for each pair of a node and a chunk.
func Assign(key string, count int, nodes []Node) *Readers {
	r := &Readers{key: key, count: count, nodes: slices.Clone(nodes),
		index: make(map[string]int, len(nodes)), domains: map[string]int{}}
	scores := make([]uint64, len(nodes))
	domainOf := make([]int, len(nodes))
	for i, n := range nodes {
		r.index[n.Host] = i
		scores[i] = membership.Score(key, n.Host)
		d, ok := r.domains[n.Domain]
		if !ok {
			d = len(r.domains)
			r.domains[n.Domain] = d
		}
		domainOf[i] = d
	}
	r.global = filled(count * globalRanks)
	r.local = filled(count * len(r.domains) * domainRanks)
	weights := make([]uint64, len(nodes))
	for c := range count {
		for i, s := range scores {
			weights[i] = combine(s, uint64(c))
			place(r.global[c*globalRanks:(c+1)*globalRanks], weights, uint16(i))
			at := (c*len(r.domains) + domainOf[i]) * domainRanks
			place(r.local[at:at+domainRanks], weights, uint16(i))
		}
	}
	return r
}

func filled(n int) []uint16 {
	s := make([]uint16, n)
	for i := range s {
		s[i] = none
	}
	return s
}

// place puts node i into a chain that is ordered by weight.
func place(chain []uint16, weights []uint64, i uint16) {
	for k, x := range chain {
		if x == none || weights[i] > weights[x] {
			copy(chain[k+1:], chain[k:])
			chain[k] = i
			return
		}
	}
}

// sourceChain returns the hosts that are to read a chunk from a source.
func (r *Readers) sourceChain(chunk int) []uint16 {
	return r.global[chunk*globalRanks : (chunk+1)*globalRanks]
}

// importChain returns the hosts that are to bring a chunk into a domain.
func (r *Readers) importChain(chunk int, domain string) []uint16 {
	d, ok := r.domains[domain]
	if !ok {
		return nil
	}
	at := (chunk*len(r.domains) + d) * domainRanks
	return r.local[at : at+domainRanks]
}

// combine mixes a host's score with a chunk's number, so that each chunk
// ranks the hosts in an order of its own.
func combine(host, chunk uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], host)
	binary.LittleEndian.PutUint64(b[8:], chunk)
	return xxhash.Sum64(b[:])
}

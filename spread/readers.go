package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/membership"
)

// Lengths of the chains of each chunk. A chain is a list of hosts by rank; the first available
// one does the work. The source chain lists the chunk's readers, and the import chain of each
// failure domain the hosts that import the chunk into it.
const (
	sourceChainLength = 4
	importChainLength = 3
)

// none marks an unused position in a chain.
const none = ^uint16(0)

// Readers holds for each chunk the ranked hosts that read it from a source, and those that
// import it into each failure domain. The ranking is computed by rendezvous hashing over
// the participating hosts, so two hosts with the same list agree without communication.
// It is immutable.
type Readers struct {
	key          string
	count        int
	nodes        []Node
	hostIndex    map[string]int
	domainIndex  map[string]int
	sourceChains []uint16 // count * sourceChainLength
	importChains []uint16 // count * len(domainIndex) * importChainLength
}

// Assign computes which hosts read each chunk of a version: key identifies the version, and
// count is the number of its chunks. It computes one hash for each pair of a node and a chunk.
func Assign(key string, count int, nodes []Node) *Readers {
	r := &Readers{key: key, count: count, nodes: slices.Clone(nodes),
		hostIndex: make(map[string]int, len(nodes)), domainIndex: map[string]int{}}
	scores := make([]uint64, len(nodes))
	domainOf := make([]int, len(nodes))
	for i, n := range nodes {
		r.hostIndex[n.Host] = i
		scores[i] = membership.Score(key, n.Host)
		d, ok := r.domainIndex[n.Domain]
		if !ok {
			d = len(r.domainIndex)
			r.domainIndex[n.Domain] = d
		}
		domainOf[i] = d
	}
	r.sourceChains = filled(count * sourceChainLength)
	r.importChains = filled(count * len(r.domainIndex) * importChainLength)
	weights := make([]uint64, len(nodes))
	for c := range count {
		for i, s := range scores {
			weights[i] = combine(s, uint64(c))
			insertByWeight(r.sourceChains[c*sourceChainLength:(c+1)*sourceChainLength], weights, uint16(i))
			at := (c*len(r.domainIndex) + domainOf[i]) * importChainLength
			insertByWeight(r.importChains[at:at+importChainLength], weights, uint16(i))
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

// insertByWeight inserts node i into a chain that is ordered by descending weight.
func insertByWeight(chain []uint16, weights []uint64, i uint16) {
	for k, x := range chain {
		if x == none || weights[i] > weights[x] {
			copy(chain[k+1:], chain[k:])
			chain[k] = i
			return
		}
	}
}

// sourceChain returns the ranked hosts that read a chunk from a source.
func (r *Readers) sourceChain(chunk int) []uint16 {
	return r.sourceChains[chunk*sourceChainLength : (chunk+1)*sourceChainLength]
}

// importChain returns the ranked hosts that import a chunk into a domain.
func (r *Readers) importChain(chunk int, domain string) []uint16 {
	d, ok := r.domainIndex[domain]
	if !ok {
		return nil
	}
	at := (chunk*len(r.domainIndex) + d) * importChainLength
	return r.importChains[at : at+importChainLength]
}

// combine hashes a host's score (its hash with the version's key) with a chunk's number, so that
// each chunk ranks the hosts in a different order.
func combine(host, chunk uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], host)
	binary.LittleEndian.PutUint64(b[8:], chunk)
	return xxhash.Sum64(b[:])
}

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a node for a key in rendezvous hashing. All
// processes compute the same value.
func Score(key, node string) uint64 {
	var buf [128]byte // on the stack, for keys and nodes of usual length
	b := append(append(buf[:0], key...), 0)
	return mix(xxhash.Sum64(append(b, node...)))
}

// mix hashes a hash again, so that related keys rank the nodes in different
// orders.
func mix(x uint64) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// First returns the node with the highest rendezvous weight for key, or "".
func First(key string, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		if s := Score(key, n); best == "" || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}

// Rank returns the n nodes of highest rendezvous weight for key, in order.
func Rank(key string, nodes []string, n int) []string {
	type scored struct {
		node  string
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, x := range nodes {
		all[i] = scored{x, Score(key, x)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	out := make([]string, 0, min(n, len(all)))
	for _, x := range all[:min(n, len(all))] {
		out = append(out, x.node)
	}
	return out
}

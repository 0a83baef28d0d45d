package routing

import (
	"cmp"
	"slices"

	"github.com/springgate/springgate/membership"
)

// Node is a process with its failure domain.
type Node struct {
	Host   string
	Domain string
}

// nearShare is the part of a subset that is taken from the entry's own
// failure domain, in quarters.
const nearShare = 3

// Subset returns the targets that an entry keeps connections to: at most
// size, three quarters from its own failure domain if it has as many. Targets
// lie on a ring in an order that all entries share, and each entry takes the
// stretch that starts at its own place among the entries; so every target is
// in as many subsets as any other, give or take one.
func Subset(self Node, entries, targets []Node, key string, size int) []Node {
	if len(targets) <= size {
		return targets
	}
	inDomain := func(n Node) bool { return n.Domain == self.Domain }
	all := func(Node) bool { return true }
	outside := func(n Node) bool { return !inDomain(n) }
	near := stretch(self, filter(entries, inDomain), filter(targets, inDomain), key, size*nearShare/4, all)
	return append(near, stretch(self, entries, targets, key, size-len(near), outside)...)
}

// stretch returns the first size targets that match, from the entry's own
// place on the ring of targets.
func stretch(self Node, entries, targets []Node, key string, size int, match func(Node) bool) []Node {
	targets, entries = slices.Clone(targets), slices.Clone(entries)
	ring(targets, key)
	ring(entries, key)
	at := max(0, slices.Index(entries, self))
	start := at * len(targets) / max(1, len(entries))
	out := make([]Node, 0, size)
	for i := 0; i < len(targets) && len(out) < size; i++ {
		if n := targets[(start+i)%len(targets)]; match(n) {
			out = append(out, n)
		}
	}
	return out
}

// ring sorts nodes into the shared order for key.
func ring(nodes []Node, key string) {
	scores := make(map[Node]uint64, len(nodes))
	for _, n := range nodes {
		scores[n] = membership.Score(key, n.Host)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a.Host, b.Host))
	})
}

// filter returns a new slice, so that the caller's order is left alone.
func filter(nodes []Node, keep func(Node) bool) []Node {
	var out []Node
	for _, n := range nodes {
		if keep(n) {
			out = append(out, n)
		}
	}
	return out
}

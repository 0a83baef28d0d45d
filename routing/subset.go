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

// localQuarters is how many quarters of a subset are taken from the entry's own
// failure domain.
const localQuarters = 3

// Subset returns the targets that an entry keeps connections to: at most
// size, three quarters of them from the entry's own failure domain if that
// domain has as many. Targets form a ring in an order that all entries share,
// and each entry takes consecutive targets from the position on the ring that
// corresponds to the entry's own position among the entries, so that targets
// are spread evenly over the subsets.
func Subset(self Node, entries, targets []Node, key string, size int) []Node {
	if len(targets) <= size {
		return targets
	}
	inDomain := func(n Node) bool { return n.Domain == self.Domain }
	all := func(Node) bool { return true }
	outside := func(n Node) bool { return !inDomain(n) }
	local := ringSegment(self, filter(entries, inDomain), filter(targets, inDomain), key, size*localQuarters/4, all)
	return append(local, ringSegment(self, entries, targets, key, size-len(local), outside)...)
}

// ringSegment returns the first size targets that match, starting at the
// entry's own position on the ring of targets.
func ringSegment(self Node, entries, targets []Node, key string, size int, match func(Node) bool) []Node {
	targets, entries = slices.Clone(targets), slices.Clone(entries)
	sortRing(targets, key)
	sortRing(entries, key)
	position := max(0, slices.Index(entries, self))
	start := position * len(targets) / max(1, len(entries))
	out := make([]Node, 0, size)
	for i := 0; i < len(targets) && len(out) < size; i++ {
		if n := targets[(start+i)%len(targets)]; match(n) {
			out = append(out, n)
		}
	}
	return out
}

// sortRing sorts nodes into the shared order for key.
func sortRing(nodes []Node, key string) {
	scores := make(map[Node]uint64, len(nodes))
	for _, n := range nodes {
		scores[n] = membership.Score(key, n.Host)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a.Host, b.Host))
	})
}

// filter returns a new slice, so that the caller's slice is not modified.
func filter(nodes []Node, keep func(Node) bool) []Node {
	var out []Node
	for _, n := range nodes {
		if keep(n) {
			out = append(out, n)
		}
	}
	return out
}

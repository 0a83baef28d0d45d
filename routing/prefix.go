package routing

import (
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/membership"
)

// PickPrefix returns the host for a request whose prompt begins with the text
// that prefix identifies. Requests with the same prefix go to the same host, so
// that its prompt cache is reused, unless the load of that host is above
// PrefixMaxLoad; then Pick selects the host. The host of a prefix is determined
// by rendezvous hashing: entries that know the same hosts agree without shared
// state. That the prompts of a conversation share a prefix, and that routing by
// the prefix pays off, is from Nawinder Pawar, "How Endpoint Picker Routes";
// docs/design/requests.md compares this with the index described there.
func (t *Table) PickPrefix(now time.Time, rng *rand.Rand, prefix string, exclude []string) *Candidate {
	if c := t.prefixHost(prefix); c != nil && t.usable(c, now, exclude) && t.load(c, now) <= t.cfg.PrefixMaxLoad {
		return c
	}
	return t.Pick(now, rng, exclude)
}

// prefixHost returns the first host by rendezvous hashing among all candidates.
func (t *Table) prefixHost(prefix string) *Candidate {
	var best *Candidate
	var bestScore uint64
	for _, cands := range [...][]Candidate{t.local, t.remote} {
		for i := range cands {
			if s := membership.Score(prefix, cands[i].Endpoint.Host); best == nil || s > bestScore {
				best, bestScore = &cands[i], s
			}
		}
	}
	return best
}

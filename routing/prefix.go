package routing

import (
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/membership"
)

// PickPrefix returns the host for a request whose prompt begins with what
// prefix stands for. Requests with one prefix go to one host, so that its
// prompt cache is used again, unless that host is above PreferUpTo; then the
// choice is that of Pick. The host follows from rendezvous hashing: entries
// that know the same hosts agree without state. That prompts of a conversation
// share a prefix, and that it pays to follow it, is from Nawinder Pawar, "How
// Endpoint Picker Routes"; docs/design/requests.md compares this with the index
// described there.
func (t *Table) PickPrefix(now time.Time, rng *rand.Rand, prefix string, exclude []string) *Candidate {
	if c := t.home(prefix); c != nil && t.usable(c, now, exclude) && t.load(c, now) <= t.cfg.PrefixMaxLoad {
		return c
	}
	return t.Pick(now, rng, exclude)
}

// home is the first host by rendezvous hashing among all candidates.
func (t *Table) home(prefix string) *Candidate {
	var best *Candidate
	var top uint64
	for _, cands := range [...][]Candidate{t.near, t.far} {
		for i := range cands {
			if s := membership.Score(prefix, cands[i].Endpoint.Host); best == nil || s > top {
				best, top = &cands[i], s
			}
		}
	}
	return best
}

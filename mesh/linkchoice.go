package mesh

import (
	"math"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// Limits on the links of one agent. If agents linked to all entries, the number of links would
// grow with the product of agents and entries, and all would be opened in the second in which a
// fleet starts.
const (
	// nearLinks is how many entries of its own failure domain an agent links to. They serve
	// pieces (parts of model weights), each entry those that it fetches on behalf of the
	// domain.
	nearLinks = 8
	// farLinks is how many entries of other failure domains an agent links to, as a
	// fallback for those of its own domain. One of these entries may be lost in the same
	// incident as the agent's own domain, and another may be restarting.
	farLinks = 3
)

// candidate is an entry that an agent may link to.
type candidate struct {
	*peer.Presence // only the address is set for a seed that never answered
	live           bool
}

// liveCandidates returns the candidates for live entries. They refer to the list.
func liveCandidates(live []peer.Presence) []candidate {
	out := make([]candidate, 0, len(live)+1)
	for i := range live {
		out = append(out, candidate{&live[i], true})
	}
	return out
}

// chooseLinks returns the addresses of the entries that an agent should link to, the
// preferred one first: some of its own failure domain, some of others and, while no entry of
// its own domain is live, the seeds of which only the address is known. Working links are
// kept, so that members joining and leaving move few links. It performs no I/O. An entry of a
// large fleet chooses for each of its agents whenever members change.
func chooseLinks(self peer.Presence, known []candidate) []string {
	near, far, unknown := linkRanking{limit: nearLinks}, linkRanking{limit: farLinks}, linkRanking{limit: len(known)}
	groupOf := func(c candidate) *linkRanking {
		switch c.Domain {
		case "":
			return &unknown
		case self.Domain:
			return &near
		}
		return &far
	}
	for _, c := range known {
		groupOf(c).observeRate(c)
	}
	for _, c := range known {
		groupOf(c).add(self.Host, c)
	}
	out := append(near.addrs(), far.addrs()...)
	if !near.anyLive() {
		out = append(out, unknown.addrs()...)
	}
	return out
}

// linkRanking holds the preferred ones of some candidates: live entries before others, fast links
// before slow ones, then by rendezvous hashing.
type linkRanking struct {
	limit   int
	fastest float64 // link rate in Mbit/s
	best    []rankedLink
}

type rankedLink struct {
	addr       string
	live, fast bool
	score      uint64
}

func (a rankedLink) before(b rankedLink) bool {
	switch {
	case a.live != b.live:
		return a.live
	case a.fast != b.fast:
		return a.fast
	case a.score != b.score:
		return a.score > b.score
	}
	return a.addr < b.addr
}

// observeRate must be called for all candidates before add is for the first of them.
func (r *linkRanking) observeRate(c candidate) { r.fastest = max(r.fastest, c.LinkMbps) }

// add adds a candidate if it is among the limit preferred ones. It moves few of them, as limit is
// small.
func (r *linkRanking) add(host string, c candidate) {
	x := rankedLink{addr: c.Addr, live: c.live, fast: c.LinkMbps >= peer.FastLinkRatio*r.fastest, score: math.MaxUint64}
	if r.excludes(x) { // whatever its score
		return
	}
	if x.score = membership.Score(host, c.Addr); r.excludes(x) {
		return
	}
	i := len(r.best)
	if i < r.limit {
		r.best = append(r.best, x)
	} else {
		i--
	}
	for ; i > 0 && x.before(r.best[i-1]); i-- {
		r.best[i] = r.best[i-1]
	}
	r.best[i] = x
}

// excludes reports whether a link is not among the limit preferred ones.
func (r *linkRanking) excludes(x rankedLink) bool {
	return len(r.best) == r.limit && !x.before(r.best[r.limit-1])
}

func (r *linkRanking) addrs() []string {
	out := make([]string, 0, len(r.best))
	for _, x := range r.best {
		out = append(out, x.addr)
	}
	return out
}

func (r *linkRanking) anyLive() bool { return len(r.best) > 0 && r.best[0].live }

package mesh

import (
	"slices"
	"time"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// Several entries of a small fleet that start together share the links to the store: seven copies of
// 400 kB take 0.8 s on a link of 29 Mbit/s. So one entry of each failure domain reads the store at
// once, and the others get the copy of whichever entry has it first.
const (
	// storeTurn is the time that an entry leaves to each entry of its failure domain that is to
	// read the store before it: one copy over a link between regions, and a slow answer.
	storeTurn = 250 * time.Millisecond
	// maxStoreTurns bounds how many entries go first, so that the last one reads the store before
	// its copy counts as stale.
	maxStoreTurns = 3
	// holderPatience is how long an answer of an entry that has a copy may take before another one
	// is asked as well: several round trips between regions, and a packed copy on a busy link.
	holderPatience = 100 * time.Millisecond
	// maxHoldersAsked is the number of unanswered questions to entries at a time.
	maxHoldersAsked = 2
	// holderRetry is how soon an entry that failed to send its copy is asked again.
	holderRetry = 200 * time.Millisecond
)

// firstCopyCalls is the state of the calls for a first copy.
type firstCopyCalls struct {
	storeCalled bool
	lastHolder  time.Time            // when the latest entry was asked; zero for none
	pending     map[string]bool      // entries whose answers are outstanding
	failed      map[string]time.Time // entries that did not send a copy, and when they failed
}

// nextHolder returns the entry to ask for its copy now, or "". holders are the entries that
// have a copy, in the order in which they are asked.
func (c *firstCopyCalls) nextHolder(now time.Time, holders []string) string {
	patient := len(c.pending) > 0 && now.Sub(c.lastHolder) < holderPatience
	if patient || len(c.pending) >= maxHoldersAsked {
		return ""
	}
	i := slices.IndexFunc(holders, func(addr string) bool {
		at, failed := c.failed[addr]
		return !c.pending[addr] && (!failed || now.Sub(at) >= holderRetry)
	})
	if i < 0 {
		return ""
	}
	return holders[i]
}

// storeDue reports whether to read the store. waited is the time since the start hold ended, and
// turn the number of entries of the own failure domain that go first. While an entry that has a copy
// is asked, the store is read only if its answer takes as long as a turn.
func (c *firstCopyCalls) storeDue(now time.Time, waited time.Duration, turn int) bool {
	if c.storeCalled {
		return false
	}
	if len(c.pending) > 0 && now.Sub(c.lastHolder) < storeTurn {
		return false
	}
	return waited >= time.Duration(min(turn, maxStoreTurns))*storeTurn
}

// copyHolders returns the entries that have a copy of the store in the order in which self asks
// them: those of its failure domain, then those with fast links. Entries that start together ask
// different ones.
func copyHolders(self peer.Presence, live []peer.Presence) []string {
	var near, fast, slow []string
	fastLinks := addrsOf(peer.FastLinks(live))
	for _, p := range live {
		switch {
		case p.Revision == 0:
		case p.Domain == self.Domain:
			near = append(near, p.Addr)
		case slices.Contains(fastLinks, p.Addr):
			fast = append(fast, p.Addr)
		default:
			slow = append(slow, p.Addr)
		}
	}
	out := membership.Rank(self.Host, near, len(near))
	out = append(out, membership.Rank(self.Host, fast, len(fast))...)
	return append(out, membership.Rank(self.Host, slow, len(slow))...)
}

// storeTurnOf returns how many entries of the failure domain of self read the store before it: those
// with fast links come first. Entries whose calls to the store fail do not count.
func storeTurnOf(self peer.Presence, live []peer.Presence) int {
	domain := []peer.Presence{self}
	for _, p := range live {
		if p.Domain == self.Domain && !p.Store.Failing {
			domain = append(domain, p)
		}
	}
	ranked := membership.Rank(domainRelayKey, addrsOf(peer.FastLinks(domain)), len(domain))
	if turn := slices.Index(ranked, self.Addr); turn >= 0 {
		return turn
	}
	return len(ranked)
}

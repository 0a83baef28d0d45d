// Package overlay decides which entries of a fleet keep links to each other. In a small fleet all
// of them do. In a large one each failure domain has relays: the other entries of the domain link
// to two of these, the relays of a domain link to each other, and some of them to those of other
// domains. So the number of an entry's links hardly grows with the fleet, and what one entry
// tells reaches all others over a few links. Entries that know the same members come to the same
// decision. The package performs no I/O.
package overlay

import (
	"math"
	"slices"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

const (
	// CompleteUpTo is the largest number of entries of a fleet in which all entries link to
	// each other.
	CompleteUpTo = 40
	// uplinks is how many relays of its failure domain an entry links to that is no relay
	// itself, so that it stays connected if one of them is lost.
	uplinks = 2
	// crossings is how many links there are between two failure domains. What all entries
	// must know crosses each of them once.
	crossings = 3
)

// relayKey is the rendezvous hashing key for choosing the relays of a failure domain.
const relayKey = "relays"

// Overlay holds the links of a fleet. It is immutable.
type Overlay struct {
	complete bool
	all      []string            // addresses, in order
	byDomain map[string][]string // addresses by failure domain
	relays   map[string][]string // relays by failure domain, in order of rank
}

// New returns the overlay of the given entries. If complete is true, all are linked to each
// other.
func New(entries []peer.Presence, complete bool) *Overlay {
	o := &Overlay{complete: complete, byDomain: map[string][]string{}, relays: map[string][]string{}}
	o.all = make([]string, 0, len(entries))
	domains := map[string][]*peer.Presence{}
	for i := range entries {
		e := &entries[i]
		o.all = append(o.all, e.Addr)
		o.byDomain[e.Domain] = append(o.byDomain[e.Domain], e.Addr)
		domains[e.Domain] = append(domains[e.Domain], e)
	}
	slices.Sort(o.all)
	if complete {
		return o
	}
	for d, list := range domains {
		o.relays[d] = chooseRelays(list)
	}
	return o
}

// chooseRelays returns the relays of a failure domain, the square root of its entries in number:
// then the links of a relay to the other relays and to the entries that it serves grow alike.
// Entries with fast links come first.
func chooseRelays(list []*peer.Presence) []string {
	n := int(math.Ceil(math.Sqrt(float64(len(list)))))
	fastest := 0.0 // Mbit/s
	for _, p := range list {
		fastest = max(fastest, p.LinkMbps)
	}
	var fast, slow []string
	for _, p := range list {
		if p.LinkMbps >= peer.FastLinkRatio*fastest {
			fast = append(fast, p.Addr)
		} else {
			slow = append(slow, p.Addr)
		}
	}
	out := membership.Rank(relayKey, fast, n)
	return append(out, membership.Rank(relayKey, slow, n-len(out))...)
}

// Complete reports whether all entries are linked to each other.
func (o *Overlay) Complete() bool { return o.complete }

// All returns the addresses of all entries, in order.
func (o *Overlay) All() []string { return o.all }

// Relays returns the relays of a failure domain in order of rank: all its entries if the overlay
// is complete.
func (o *Overlay) Relays(domain string) []string {
	if o.complete {
		return o.byDomain[domain]
	}
	return o.relays[domain]
}

// Neighbours returns the addresses of the entries to which the entry at addr in domain keeps
// links. If one entry is a neighbour of another, the other is one of it.
func (o *Overlay) Neighbours(addr, domain string) []string {
	if o.complete {
		return without(o.all, addr)
	}
	relays := o.relays[domain]
	rank := slices.Index(relays, addr)
	if rank < 0 {
		return o.uplinksOf(addr, relays)
	}
	out := without(relays, addr)
	for _, other := range o.byDomain[domain] {
		if !slices.Contains(relays, other) && slices.Contains(o.uplinksOf(other, relays), addr) {
			out = append(out, other)
		}
	}
	return append(out, o.crossingsOf(addr, domain)...)
}

func (o *Overlay) uplinksOf(addr string, relays []string) []string {
	return membership.Rank(addr, relays, uplinks)
}

// crossingsOf returns the relays of other failure domains to which a relay links: those of the
// same rank.
func (o *Overlay) crossingsOf(addr, domain string) []string {
	own := o.relays[domain]
	linked := map[string]bool{}
	for other, relays := range o.relays {
		for k := range crossings {
			if other != domain && own[k%len(own)] == addr {
				linked[relays[k%len(relays)]] = true
			}
		}
	}
	out := make([]string, 0, len(linked))
	for a := range linked {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func without(list []string, addr string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a == addr })
}

package weights

import (
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// maxHops limits how often a request is forwarded between entries: once to the reader of
// the requester's failure domain, and from there once to the reader of the origin's domain.
const maxHops = 2

// maxOtherSources limits how many entries other than the readers are asked for data that
// they have in memory, after the readers and the origin have failed.
const maxOtherSources = 4

// originConnShare is the share of the connections accepted by the origin that all entries
// together use. The rest is reserved for stale connections of hosts that lost power, which the
// origin keeps until its own idle timeout.
const originConnShare = 0.4

// source is a server of manifests or pieces: an entry, an agent, or the origin if addr is
// empty.
type source struct {
	addr      string
	localOnly bool // the entry must answer only from its memory
	beside    bool // asked only while an earlier source does not answer
}

func (s source) isOrigin() bool { return s.addr == "" }

// String returns the address, or "origin".
func (s source) String() string {
	if s.isOrigin() {
		return "origin"
	}
	return s.addr
}

// tries returns the number of passes over the sources.
func (r *Relay) tries(hops int) int {
	if hops > 0 {
		return min(r.cfg.Tries, 2)
	}
	return r.cfg.Tries
}

// reader returns the entry of a failure domain that is the reader for key, or "" if the domain
// has none. It may be this entry. Entries with slow links are not selected.
func (r *Relay) reader(key, domain string) string {
	var list []peer.Presence
	if r.self.Domain == domain {
		list = append(list, r.self)
	}
	for _, e := range r.entries() {
		if e.Domain == domain {
			list = append(list, e)
		}
	}
	var addrs []string
	for _, e := range peer.FastLinks(list) {
		addrs = append(addrs, e.Addr)
	}
	return membership.First(key, addrs)
}

// pieceSources returns the sources of a piece in the order in which they are tried. An
// agent of the same failure domain that has the version staged comes first, since a read
// from the agent uses neither the origin's link nor one between failure domains.
func (r *Relay) pieceSources(key string, q *peer.GetPiece, try int) []source {
	out := r.sources(key, q.Hops, try)
	agent := membership.First(key, r.holders(r.self.Domain, q.Model, q.Version))
	if agent == "" || q.Hops > maxHops || r.cfg.Off.Has(mechanism.NearRelay) {
		return out
	}
	return append([]source{{addr: agent}}, out...)
}

// sources returns the sources for key in the order in which they are tried: the reader of
// this entry's failure domain, the reader of the origin's domain, and the origin. From the
// second pass on, other entries that may have the data in memory come before the origin.
func (r *Relay) sources(key string, hops, try int) []source {
	var out []source
	o := r.origin()
	if hops < maxHops && o != nil {
		out = r.readers(key, o)
	}
	if try > 0 {
		out = append(out, r.others(key, out)...)
	}
	return append(out, source{})
}

func (r *Relay) readers(key string, o *fleet.Origin) []source {
	var out []source
	if own := r.reader(key, r.self.Domain); own != r.self.Addr {
		out = append(out, source{addr: own})
	}
	if r.self.Domain != o.Domain {
		if remote := r.reader(key, o.Domain); remote != "" {
			out = append(out, source{addr: remote})
		}
	}
	return out
}

// others returns entries that are not in asked, selected by rendezvous hashing.
func (r *Relay) others(key string, asked []source) []source {
	skip := map[string]bool{}
	for _, s := range asked {
		skip[s.addr] = true
	}
	var addrs []string
	for _, e := range r.entries() {
		if !skip[e.Addr] {
			addrs = append(addrs, e.Addr)
		}
	}
	var out []source
	for _, addr := range membership.Rank(key, addrs, maxOtherSources) {
		out = append(out, source{addr: addr, localOnly: true})
	}
	return out
}

// originConns returns the number of reads that this entry may run concurrently at the origin.
func (r *Relay) originConns(o *fleet.Origin) int {
	if o.MaxConns <= 0 {
		return r.cfg.OriginConns
	}
	share := int(originConnShare * float64(o.MaxConns) / float64(len(r.entries())+1))
	return min(max(share, 1), r.cfg.OriginConns)
}

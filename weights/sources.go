package weights

import (
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// maxHops bounds how often a request is passed on: to the reader of the own
// failure domain, and from there to the one of the origin's domain.
const maxHops = 2

// otherSources is how many entries beside the readers are asked for what they
// hold, once the readers and the origin have failed.
const otherSources = 4

// originConnShare is the part of the connections that the origin accepts which
// all entries use together. The rest is for connections of hosts that lost
// power: the origin keeps them until its own idle timeout.
const originConnShare = 0.4

// source is where a manifest or a piece may be had: an entry or an agent, or
// the origin if addr is empty.
type source struct {
	addr     string
	heldOnly bool // the entry is asked only for what it holds itself
}

func (s source) isOrigin() bool { return s.addr == "" }

// String returns the address, or "origin".
func (s source) String() string {
	if s.isOrigin() {
		return "origin"
	}
	return s.addr
}

// tries returns how often the sources are gone through.
func (r *Relay) tries(hops int) int {
	if hops > 0 {
		return min(r.cfg.Tries, 2)
	}
	return r.cfg.Tries
}

// reader returns the entry of a failure domain that reads key, this one
// included, or "" if the domain has none. Entries with slow links read nothing.
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
	for _, e := range peer.Fast(list) {
		addrs = append(addrs, e.Addr)
	}
	return membership.First(key, addrs)
}

// pieceSources returns whom to ask for a piece: an agent nearby that has it
// staged goes first, since it costs neither the origin nor a link between
// regions.
func (r *Relay) pieceSources(key string, q *peer.GetPiece, try int) []source {
	out := r.sources(key, q.Hops, try)
	near := membership.First(key, r.holders(r.self.Domain, q.Model, q.Version))
	if near == "" || q.Hops > maxHops || r.cfg.Off.Has(mechanism.NearRelay) {
		return out
	}
	return append([]source{{addr: near}}, out...)
}

// sources returns whom to ask for key, in order: the reader of the own failure
// domain, the one of the origin's, the origin. When these have failed once,
// other entries may still hold it, and go before the origin.
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
	if near := r.reader(key, r.self.Domain); near != r.self.Addr {
		out = append(out, source{addr: near})
	}
	if r.self.Domain != o.Domain {
		if far := r.reader(key, o.Domain); far != "" {
			out = append(out, source{addr: far})
		}
	}
	return out
}

// others returns entries that are not among asked, by rendezvous hashing.
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
	for _, addr := range membership.Rank(key, addrs, otherSources) {
		out = append(out, source{addr: addr, heldOnly: true})
	}
	return out
}

// originConns returns how many reads this entry may run at the origin at once.
func (r *Relay) originConns(o *fleet.Origin) int {
	if o.MaxConns <= 0 {
		return r.cfg.OriginConns
	}
	share := int(originConnShare * float64(o.MaxConns) / float64(len(r.entries())+1))
	return min(max(share, 1), r.cfg.OriginConns)
}

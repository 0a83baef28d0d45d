package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/peer"
)

// Changes are the records that have changed since they were last passed on.
type Changes struct {
	members []change[peer.MemberRecord]
	engines []change[peer.EngineRecord]
}

// change is a changed record and the neighbour that told of it, empty for none.
type change[R any] struct {
	record R
	from   string
}

// Empty reports whether there are no changes.
func (c Changes) Empty() bool { return len(c.members)+len(c.engines) == 0 }

// For returns the changes to pass on to a neighbour: those that it did not tell itself.
func (c Changes) For(neighbour string) *peer.Gossip {
	return &peer.Gossip{Members: toldByOthers(c.members, neighbour), Engines: toldByOthers(c.engines, neighbour)}
}

func toldByOthers[R any](list []change[R], neighbour string) []R {
	var out []R
	for _, c := range list {
		if c.from != neighbour {
			out = append(out, c.record)
		}
	}
	return out
}

// TakeChanges returns the records that have changed since the last call.
func (t *Table) TakeChanges() Changes {
	var c Changes
	for addr, from := range t.changedMembers {
		if r, ok := t.current(addr); ok {
			c.members = append(c.members, change[peer.MemberRecord]{r, from})
		}
	}
	for k, from := range t.changedEngines {
		if e := t.engines[k]; e != nil {
			c.engines = append(c.engines, change[peer.EngineRecord]{e.record, from})
		}
	}
	clear(t.changedMembers)
	clear(t.changedEngines)
	return c
}

// current returns the record of an entry, or the own one, as it is passed on.
func (t *Table) current(addr string) (peer.MemberRecord, bool) {
	if addr == t.self.Addr {
		return t.self, true
	}
	m := t.members[addr]
	if m == nil {
		return peer.MemberRecord{}, false
	}
	r := m.record
	r.Lost = m.lost
	return r, true
}

// each calls the functions for all records, the own one included.
func (t *Table) each(onMember func(r peer.MemberRecord, changedAt time.Time), onEngine func(e *engine)) {
	onMember(t.self, t.selfAt)
	for addr, m := range t.members {
		r, _ := t.current(addr)
		onMember(r, m.changedAt)
	}
	for _, e := range t.engines {
		onEngine(e)
	}
}

// Since returns the records that have changed since a time, for a neighbour to which a link
// opens: others may have told it of them before or not.
func (t *Table) Since(at time.Time) *peer.Gossip {
	out := &peer.Gossip{}
	t.each(func(r peer.MemberRecord, changedAt time.Time) {
		if !changedAt.Before(at) {
			out.Members = append(out.Members, r)
		}
	}, func(e *engine) {
		if !e.changedAt.Before(at) {
			out.Engines = append(out.Engines, e.record)
		}
	})
	return out
}

// Numbers of the parts into which records are divided for their digests. A difference makes the
// records of its part be sent, about 20 of 300 entries and 10 reports of 700 engines.
const (
	memberParts = 16
	engineParts = 64
)

// Digest returns the digests of all records, those of engines only if wanted.
func (t *Table) Digest(engines bool) *peer.GossipDigest {
	d := &peer.GossipDigest{Members: make([]uint64, memberParts)}
	if engines {
		d.Engines = make([]uint64, engineParts)
	}
	t.each(func(r peer.MemberRecord, _ time.Time) {
		d.Members[memberPart(r.Addr)] ^= memberHash(r)
	}, func(e *engine) {
		if engines {
			d.Engines[enginePart(keyOf(e.record))] ^= reportHash(e.record)
		}
	})
	return d
}

// Answer returns the records of all parts whose digests differ from those of another entry.
func (t *Table) Answer(theirs *peer.GossipDigest) *peer.Gossip {
	own, out := t.Digest(len(theirs.Engines) > 0), &peer.Gossip{}
	t.each(func(r peer.MemberRecord, _ time.Time) {
		if differs(own.Members, theirs.Members, memberPart(r.Addr)) {
			out.Members = append(out.Members, r)
		}
	}, func(e *engine) {
		if differs(own.Engines, theirs.Engines, enginePart(keyOf(e.record))) {
			out.Engines = append(out.Engines, e.record)
		}
	})
	return out
}

func differs(own, theirs []uint64, part int) bool {
	return part < len(own) && part < len(theirs) && own[part] != theirs[part]
}

func memberPart(addr string) int { return int(xxhash.Sum64String(addr) % memberParts) }

func enginePart(k engineKey) int {
	return int((xxhash.Sum64String(k.engine) ^ xxhash.Sum64String(k.forwarder)) % engineParts)
}

// hashFactor spreads the numbers of records over all bits.
const hashFactor = 0x9e3779b97f4a7c15

func memberHash(r peer.MemberRecord) uint64 {
	h := xxhash.Sum64String(r.Addr) ^ r.Generation*hashFactor
	if r.Suspected {
		h = ^h
	}
	return h * hashFactor
}

func reportHash(r peer.EngineRecord) uint64 {
	k := keyOf(r)
	return (xxhash.Sum64String(k.engine) ^ xxhash.Sum64String(k.forwarder)*hashFactor ^ (r.ForwarderIncarnation+r.Seq)*hashFactor) * hashFactor
}

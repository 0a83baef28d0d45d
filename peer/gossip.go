package peer

// The messages in this file are exchanged by the entries of large fleets only, in which entries
// keep links to few others (see package overlay).

// Gossip carries records that an entry passes on to its neighbours.
type Gossip struct {
	Members []MemberRecord
	Engines []EngineRecord
}

// Kind implements Message.
func (*Gossip) Kind() Kind { return kindGossip }

// MemberRecord is the state of an entry. All but Suspected and Lost is what the entry reports
// about itself.
type MemberRecord struct {
	Addr, Host, Domain string
	Incarnation        uint64
	LinkMbps           float64
	StoreFailing       bool // its calls to the store fail
	Leaving            bool
	// Generation is raised by the entry itself with each change of its record. Of two records
	// the one with the higher generation is newer.
	Generation uint64
	// Suspected is true if another entry has lost contact with the entry since it issued this
	// generation. The entry refutes it with the next generation.
	Suspected bool
	Lost      bool // the sender counts the entry as lost because a suspicion was not refuted
}

// Presence returns what a record tells about an entry.
func (r MemberRecord) Presence() Presence {
	return Presence{Host: r.Host, Domain: r.Domain, Addr: r.Addr, Incarnation: r.Incarnation, Leaving: r.Leaving,
		LinkMbps: r.LinkMbps, Store: StoreStatus{Failing: r.StoreFailing}}
}

// EngineRecord is an agent's report, issued by the entry that the agent named as its forwarder.
type EngineRecord struct {
	Forwarder            string // address of that entry
	ForwarderIncarnation uint64
	Seq                  uint64 // number of the forwarder's record; the highest of an incarnation is in effect
	Report               RelayedState
}

// GossipDigest asks for the records that the receiver has and the sender does not. It holds
// digests of the sender's records, each of a part of them (see package gossip). Records of engines
// are not asked for if Engines is empty. The answer is a Gossip on the same stream.
type GossipDigest struct{ Members, Engines []uint64 }

// Kind implements Message.
func (*GossipDigest) Kind() Kind { return kindGossipDigest }

// Place is a Reserve of an entry that does not receive the loads of all other entries.
type Place struct {
	Reserve Reserve
	// Requests and Prefill are the requester's own load at the target without this request.
	Requests, Prefill int
	// LastResort is true if the requester knows no target that it expects to answer.
	LastResort bool
}

// Kind implements Message.
func (*Place) Kind() Kind { return kindPlace }

// PlaceReply answers a Place.
type PlaceReply struct {
	Reply     ReserveReply
	Requests  int  // at the target, of all entries but the requester
	Prefill   int  // prompt tokens of those that wait for their first event
	Suspected bool // entries found the target silent
}

// Kind implements Message.
func (*PlaceReply) Kind() Kind { return kindPlaceReply }

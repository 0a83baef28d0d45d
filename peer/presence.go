package peer

// Presence is what a process says about itself when it opens a link, and at
// intervals.
type Presence struct {
	Host        string
	Role        string
	Domain      string
	Addr        string // of its peer listener; empty if it has none
	Service     string // of the engine beside an agent
	EngineAddr      string // address of the engine beside an agent
	PiecesAddr      string // address where an agent hands out staged pieces
	Incarnation uint64
	Revision    int64 // how far its copy of the store reaches
	Leaving     bool
	// LinkMbps is the rate of the host's link; 0 if not known.
	LinkMbps float64
	Store    StoreStatus
}

// StoreStatus is what an entry says of its own calls to the store.
type StoreStatus struct {
	// Known is true if one has worked. AgeMs is then how long before ClockMs the
	// store was seen, at most; it had nothing beyond the Revision that the entry
	// tells with this.
	Known   bool
	AgeMs   int64
	Failing bool // the newest call failed or is overdue
	// UptimeMs is the entry's monotonic clock when it wrote this, from its start.
	UptimeMs int64
}

// Kind implements Message.
func (*Presence) Kind() Kind { return kindPresence }

// FastLinkRatio is the part of the fastest link's rate from which on a host carries
// bulk traffic.
const FastLinkRatio = 0.5

// FastLinks returns the hosts that should carry bulk traffic: those whose links are
// not much slower than the fastest. The others need theirs for live requests.
func FastLinks(list []Presence) []Presence {
	most := 0.0
	for _, p := range list {
		most = max(most, p.LinkMbps)
	}
	var out []Presence
	for _, p := range list {
		if p.LinkMbps >= FastLinkRatio*most {
			out = append(out, p)
		}
	}
	return out
}

// Presences answers a Presence with what the peer knows of the entries, and what it
// learns later, each entry once.
type Presences struct {
	Sender Presence   // to agents: set in the first one, and again when it begins to leave
	Others []Presence // to agents: those that they may link to
	Addrs  []string   // to entries
}

// Kind implements Message.
func (*Presences) Kind() Kind { return kindPresences }

// Loads tells what an entry has in flight at targets, on the stream that it
// opened with its Presence.
type Loads struct {
	Full     bool  // all targets; otherwise those that changed
	Leaving  bool  // the entry is leaving
	Revision int64 // how far its copy of the store reaches
	Store    StoreStatus
	Digest   uint64 // of its copy at Revision; 0 if not told
	Targets  []TargetLoad
	// CrashDigest is of what the entry knows of requests under which targets ended; 0 if
	// not told.
	CrashDigest uint64
	// Versions are those that the operators named lately, with the earliest moment at
	// which an entry saw that; in full accounts only.
	Versions []SeenVersion
	// Notices are what targets say of themselves, in full accounts only.
	Notices []TargetNotice
}

// Kind implements Message.
func (*Loads) Kind() Kind { return kindLoads }

// SeenVersion is a version of a model, and for how long it has been seen named.
type SeenVersion struct {
	Model   string
	Version int
	AgeMs   int64
}

// TargetLoad is one entry's share of the load of one target; zero if it has
// nothing there any more.
type TargetLoad struct {
	Instance string
	Requests int // sent and not answered in full
	PendingPrefill   int // prompt tokens of requests without a first event
	// Silent is true if the target has work of the entry and sends nothing; Responsive
	// if it sent something lately.
	Silent, Responsive bool
}

// EngineState is what the agent beside an engine says about it.
type EngineState struct {
	Addr    string // address that the engine serves on
	Model   string
	Version int    // served whole; 0 is none
	Loading bool   // an order is in progress: new requests would wait
	Seq     uint64 // counts the agent's reports; the highest of an incarnation counts
	StartMs    int64  // when the engine was started, Unix milliseconds; 0 if not known
	Forward bool   // the entry is to pass this on to all others
}

// Kind implements Message.
func (*EngineState) Kind() Kind { return kindEngineState }

// RelayedState is an agent's report that an entry passes on to others.
type RelayedState struct {
	EngineAddr, PiecesAddr, Domain string // of the agent's Presence, likewise Incarnation
	Incarnation            uint64
	State                  EngineState
	Withdrawn                   bool // the entry does not pass on reports of this engine any more
}

// EngineStates are the reports of agents that are linked to the sender and not, or not
// all, to the receiver.
type EngineStates struct{ States []RelayedState }

// Kind implements Message.
func (*EngineStates) Kind() Kind { return kindEngineStates }

// Assignment tells an agent what the engine beside it is to serve.
type Assignment struct {
	Entry   string // address of the entry that says so
	Model   string
	Version int
	Layers  int
	Pieces  int
	// AgeMs is how long ago the version was announced, as far as the entry
	// knows; TimeoutMs is the time in which all engines must serve it.
	AgeMs, TimeoutMs int64
	// AgeEstimated is true if the entry started after the announcement: it takes the
	// time allowed to be over.
	AgeEstimated bool
	// Turn of Turns is the engine's place in the order of the change.
	Turn, Turns int
	// Withheld is true while the entry fails to read pieces of the version.
	Withheld bool
	// Earlier are versions announced before, oldest first: until all engines
	// serve the newest, these must be served in time too.
	Earlier []AnnouncedVersion
}

// AnnouncedVersion is a version that the operators named, and how long ago.
type AnnouncedVersion struct {
	Version int
	AgeMs   int64
	AgeEstimated bool // the entry started after the announcement
}

// Kind implements Message.
func (*Assignment) Kind() Kind { return kindAssignment }

// Reserve asks the home entry of a target whether one more request may go
// there now.
type Reserve struct {
	From      string // address of the entry that asks
	Instance  string
	PromptTokens    int   // tokens
	MaxWaitMs int64 // longest wait at the target that the asker accepts
	MaxGapMs  int64 // longest pause of others there; zero for no bound
	MaxLoad   int   // requests there before this one; zero for no bound
	// Notice is what the asker believes of the target; empty if the target said nothing.
	Notice TargetNotice
}

// Kind implements Message.
func (*Reserve) Kind() Kind { return kindReserve }

// ReserveReply answers a Reserve.
type ReserveReply struct {
	Granted bool
	Known   bool         // the home knows the target
	WaitMs  int64        // until the target takes one more; zero if that is not why none is granted
	Notice  TargetNotice // what the home believes of the target
}

// Kind implements Message.
func (*ReserveReply) Kind() Kind { return kindReserveReply }

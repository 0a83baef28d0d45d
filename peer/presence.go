package peer

import (
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/revision"
)

// Presence is the state that a process reports about itself when it opens a link (a stream to an
// entry; see package mesh), and periodically after that.
type Presence struct {
	Host        string
	Role        string
	Domain      string
	Addr        string // address of the peer listener; empty if the process has none
	Service     string // service of the engine beside an agent
	EngineAddr  string // address of the engine beside an agent
	PiecesAddr  string // address on which an agent serves the pieces of weights that it has staged for its engine
	Incarnation uint64
	Revision    revision.Revision // revision of the process's copy of the store
	Leaving     bool
	// LinkMbps is the rate of the host's link; 0 if unknown.
	LinkMbps float64
	Store    StoreStatus
}

// StoreStatus is the state of an entry's own calls to the store, the platform's key-value store.
type StoreStatus struct {
	// Known is true if a call has succeeded. AgeMs is then an upper bound of the time from
	// the last contact with the store until the message was created; at that contact the
	// store had no changes after the Revision sent in the same message.
	Known   bool
	AgeMs   int64
	Failing bool // the latest call failed or is overdue
	// UptimeMs is the entry's time since process start when it created the message.
	UptimeMs int64
}

// Kind implements Message.
func (*Presence) Kind() Kind { return kindPresence }

// FastLinkRatio is the minimum link rate, as a ratio of the fastest link's rate, at which a
// host carries bulk traffic.
const FastLinkRatio = 0.5

// FastLinks returns the hosts that should carry bulk traffic: those whose links are
// not much slower than the fastest one. The slower links are reserved for requests.
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

// Presences answers a Presence with the entries known to the peer. Entries that the
// peer discovers later follow in further messages; each entry is sent once.
type Presences struct {
	Sender     Presence   // to agents: the sender; set in the first message, and again when the sender starts to leave
	Entries    []Presence // to agents: the entries that they may link to
	EntryAddrs []string   // to entries: addresses of entries
}

// Kind implements Message.
func (*Presences) Kind() Kind { return kindPresences }

// Loads reports the requests that an entry has in flight at targets. It is sent on the
// stream that the entry opened with its Presence.
type Loads struct {
	Full     bool              // lists all targets; otherwise only those that changed
	Leaving  bool              // the entry is leaving
	Revision revision.Revision // revision of the entry's copy of the store
	Store    StoreStatus
	Digest   uint64 // digest of the entry's copy of the store at Revision; 0 if not sent
	Targets  []TargetLoad
	// CrashDigest is the digest of the entry's crash records; 0 if not sent.
	CrashDigest uint64
	// Versions are the model versions that the operators announced recently, with the
	// time since an entry first observed the announcement. Sent if Full only.
	Versions []ObservedVersion
	// Notices are the targets' own announcements. Sent if Full only.
	Notices []TargetNotice
	// Added holds the fields that earlier releases do not know.
	Added LoadsAdded `msgpack:"-"`
}

// LoadsAdded are fields of Loads that earlier releases do not know.
type LoadsAdded struct {
	// Shortages are the sender's reports about services that are short of targets, by service. Sent
	// if Full only.
	Shortages map[string]overload.Report
}

func (l *Loads) extension() any     { return &l.Added }
func (l *Loads) hasExtension() bool { return len(l.Added.Shortages) > 0 }

// Kind implements Message.
func (*Loads) Kind() Kind { return kindLoads }

// ObservedVersion is an announced version of a model and the time since an entry first
// observed the announcement.
type ObservedVersion struct {
	Model   string
	Version int
	AgeMs   int64
}

// TargetLoad is one entry's share of the load of one target. It is zero if the entry has
// no more requests there.
type TargetLoad struct {
	Instance       string
	Requests       int // sent and not completely answered
	PendingPrefill int // prompt tokens of those requests to which the target has not sent a first event
	// Silent is true if the target has requests of the entry in flight and sends nothing;
	// Responsive is true if it sent something recently.
	Silent, Responsive bool
}

// EngineState is the state of an engine as reported by the agent beside it.
type EngineState struct {
	Addr    string // address on which the engine serves
	Model   string
	Version int    // version that the engine serves completely; 0 if none
	Loading bool   // the engine is carrying out an order to load a version: new requests would wait
	Seq     uint64 // number of the agent's report, see NextSeq; the highest one of an incarnation is in effect
	StartMs int64  // start of the engine's process, Unix milliseconds; 0 if unknown
	Forward bool   // the entry is to forward this report to all other entries
	// PacePercent is the pace to be published; receivers read StatedPace.
	PacePercent int `msgpack:"-"`
}

// Kind implements Message.
func (*EngineState) Kind() Kind { return kindEngineState }

// RelayedState is an agent's report that an entry forwards to other entries.
type RelayedState struct {
	EngineAddr, PiecesAddr, Domain string // from the agent's Presence, like Incarnation
	Incarnation                    uint64
	State                          EngineState
	Withdrawn                      bool // the entry no longer forwards reports of this engine
}

// EngineStates are reports that the sender forwards from agents linked to it, because some
// or all of these agents are not linked to the receiver.
type EngineStates struct{ States []RelayedState }

// Kind implements Message.
func (*EngineStates) Kind() Kind { return kindEngineStates }

// Assignment tells an agent which version the engine beside it is to serve.
type Assignment struct {
	Entry   string // address of the sender
	Model   string
	Version int
	Layers  int
	Pieces  int
	// AgeMs is the time since the version was announced, as known to the entry;
	// TimeoutMs is the time after the announcement within which all engines must serve it.
	AgeMs, TimeoutMs int64
	// AgeEstimated is true if the entry started after the announcement. The entry then
	// assumes that TimeoutMs has passed.
	AgeEstimated bool
	// Turn is the engine's position in the rollout order, counted from 0; Turns is the
	// number of engines in that order.
	Turn, Turns int
	// PiecesUnreadable is true while the entry fails to read pieces of the version.
	PiecesUnreadable bool
	// Earlier are the versions announced before, oldest first. Until all engines serve
	// the newest version, the deadlines of the earlier ones apply as well.
	Earlier []AnnouncedVersion
	// Added holds the fields that earlier releases do not know.
	Added AssignmentAdded `msgpack:"-"`
}

// AssignmentAdded are fields of Assignment that earlier releases do not know.
type AssignmentAdded struct {
	// Unproven is true if a previous agent was lost while the engine could not be used: it
	// may have ordered a load whose outcome it did not examine.
	Unproven bool
}

func (a *Assignment) extension() any     { return &a.Added }
func (a *Assignment) hasExtension() bool { return a.Added.Unproven }

// AnnouncedVersion is a version that the operators announced, and the time since then.
type AnnouncedVersion struct {
	Version      int
	AgeMs        int64
	AgeEstimated bool // the entry started after the announcement
}

// Kind implements Message.
func (*Assignment) Kind() Kind { return kindAssignment }

// Reserve asks the home entry of a target, which counts the requests that all entries send to the
// target, for admission of one more request to the target.
type Reserve struct {
	From         string // address of the requesting entry
	Instance     string
	PromptTokens int
	MaxWaitMs    int64 // longest wait at the target that the requester accepts
	MaxGapMs     int64 // longest gap between events of the target's other streams that the requester accepts; zero for no limit
	MaxLoad      int   // maximum number of requests at the target before this one; zero for no limit
	// Notice is the requester's information about the target; empty if the target has sent
	// no notice.
	Notice TargetNotice
}

// Kind implements Message.
func (*Reserve) Kind() Kind { return kindReserve }

// ReserveReply answers a Reserve.
type ReserveReply struct {
	Granted bool
	Known   bool         // the target is known to the home entry
	WaitMs  int64        // time until the target accepts one more request; zero if it was denied for another reason
	Notice  TargetNotice // the home entry's information about the target
}

// Kind implements Message.
func (*ReserveReply) Kind() Kind { return kindReserveReply }

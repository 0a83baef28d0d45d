package peer

import (
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/outcome"
)

// Kind identifies the type of a message on the wire.
type Kind uint8

// Message is one typed message of the protocol between processes.
type Message interface {
	// Kind returns the wire identifier of the message type.
	Kind() Kind
}

// Message kinds. Values are part of the protocol and never reused.
const (
	kindHello Kind = iota + 1
	kindCredit
	kindReset
	kindDispatch
	kindBody
	kindHead
	kindData
	kindEnd
	kindRefuse
	kindFence
	kindFenceReply
	kindResume
	kindWatch
	kindStatus
	kindHeartbeat
	kindGetHead
	kindGetPart
	kindBlob
	kindGetHosts
	kindHave
	kindGetChunk
	kindKeyFence
	kindKeyFenceReply
	kindPermit
	kindPermitReply
	kindGetNodeStatus
	kindNodeStatus
	kindGetHistory
	kindHistory
	kindMirrorRead
	kindMirrorBatch
	kindPresence
	kindPresences
	kindLoads
	kindEngineState
	kindGetManifest
	kindGetPiece
	kindAssignment
	kindManifest
	kindReserve
	kindReserveReply
)

// newMessage returns an empty message of the given kind, or nil.
func newMessage(k Kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindDispatch:
		return &Dispatch{}
	case kindBody:
		return &Body{}
	case kindHead:
		return &Head{}
	case kindData:
		return &Data{}
	case kindEnd:
		return &End{}
	case kindRefuse:
		return &Refuse{}
	case kindFence:
		return &Fence{}
	case kindFenceReply:
		return &FenceReply{}
	case kindResume:
		return &Resume{}
	case kindWatch:
		return &Watch{}
	case kindStatus:
		return &Status{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindGetHead:
		return &GetHead{}
	case kindGetPart:
		return &GetPart{}
	case kindBlob:
		return &Blob{}
	case kindGetHosts:
		return &GetHosts{}
	case kindHave:
		return &Have{}
	case kindGetChunk:
		return &GetChunk{}
	case kindKeyFence:
		return &KeyFence{}
	case kindKeyFenceReply:
		return &KeyFenceReply{}
	case kindPermit:
		return &Permit{}
	case kindPermitReply:
		return &PermitReply{}
	case kindGetNodeStatus:
		return &GetNodeStatus{}
	case kindNodeStatus:
		return &NodeStatus{}
	case kindGetHistory:
		return &GetHistory{}
	case kindHistory:
		return &History{}
	case kindMirrorRead:
		return &MirrorRead{}
	case kindMirrorBatch:
		return &MirrorBatch{}
	case kindPresence:
		return &Presence{}
	case kindPresences:
		return &Presences{}
	case kindLoads:
		return &Loads{}
	case kindEngineState:
		return &EngineState{}
	case kindGetManifest:
		return &GetManifest{}
	case kindGetPiece:
		return &GetPiece{}
	case kindAssignment:
		return &Assignment{}
	case kindManifest:
		return &Manifest{}
	case kindReserve:
		return &Reserve{}
	case kindReserveReply:
		return &ReserveReply{}
	}
	return nil
}

// Hello is the first message in each direction of a connection.
type Hello struct {
	Protocol    uint16
	Host        string
	Incarnation uint64
	Role        string
	Domain      string
	Class       Class // of the connection; set by the side that dials
}

// Attempt identifies one dispatch of a submission. Every answer frame carries
// it, so that a late or crossed frame is recognised.
type Attempt struct {
	ID  [16]byte
	Try uint16
}

// HeaderField is one HTTP header field with one value.
type HeaderField struct{ Name, Value string }

// Dispatch asks an agent to run a request on its target.
type Dispatch struct {
	Attempt     Attempt
	Incarnation uint64 // agent incarnation the entry believes it talks to
	Revision    uint64 // revision in force at the entry
	Service     string
	Team        string
	Method      string
	URI         string // path and query
	Header      []HeaderField
	Key         string // Idempotency-Key, empty if absent
	Print       [32]byte
	Repeatable  bool
	Urgency     uint8 // RFC 9218 urgency, 0 (highest) to 7
	TimeoutMs   int64 // time left until the caller's deadline
	HasBody     bool
	BodyLength  int64 // bytes; -1 if not known
}

// Body carries a piece of the request body.
type Body struct {
	Seq  uint32
	Data []byte
	Last bool
}

// Head is the status line and header of an answer.
type Head struct {
	Attempt Attempt
	Status  int
	Header  []HeaderField
	Version string // manifest digest that the engine reported with the answer
	Replay  bool   // true if the answer comes from a finished record
}

// Data carries a piece of the answer body.
type Data struct {
	Attempt Attempt
	Offset  int64 // position of the first byte of Data in the answer
	Data    []byte
}

// End closes an answer. An answer without it is never whole.
type End struct {
	Attempt Attempt
	Length  int64  // bytes in the whole answer
	Sum     uint64 // xxhash of the whole answer
}

// Refuse ends a dispatch without an answer.
type Refuse struct {
	Attempt      Attempt
	Reason       outcome.Reason
	RetryAfterMs int64
}

// Fence asks what became of an attempt and forbids it to start afterwards.
type Fence struct {
	Attempt     Attempt
	Incarnation uint64
}

// AttemptState is what an agent knows about an attempt.
type AttemptState uint8

// Attempt states reported by a fence.
const (
	AttemptUnknown  AttemptState = iota // the agent cannot know
	AttemptFenced                       // never seen; from now on refused
	AttemptRefused                      // was refused; it never ran
	AttemptRunning                      // runs; resume it
	AttemptFinished                     // finished; the answer can be replayed
	AttemptGone                         // ran; the answer is no longer held
)

// FenceReply answers a Fence.
type FenceReply struct {
	State  AttemptState
	Reason outcome.Reason
}

// Resume asks for the rest of an answer from Offset. The head is sent again
// if NeedHead is set.
type Resume struct {
	Attempt  Attempt
	Offset   int64
	NeedHead bool
}

// Watch subscribes to the Status of an agent.
type Watch struct{}

// Status is the state of an agent and its target as the agent sees it.
type Status struct {
	Host        string
	Incarnation uint64
	Seq         uint64
	Revision    uint64
	Leaving     bool
	Service     string
	Ready       bool   // the target serves the version in force
	Version     string // manifest digest reported by the engine
	Running     int
	Queued      int
	Slots       int
	LatencyMs   int64 // smoothed service time
	WeightsHave int
	WeightsWant int
}

// Heartbeat is exchanged between control nodes. It carries only what the
// sender says about itself and leaving notices that their subjects made.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Leaving     bool
	Revision    uint64
	Digest      digest.Digest
	HeadAgeMs   int64 // age of the last proof that the head is current
	HostsSerial uint64
	Notices     []Notice
}

// Notice is a host's own statement that an incarnation is leaving.
type Notice struct {
	Host        string
	Incarnation uint64
}

// GetHead asks for the head of the accepted revision.
type GetHead struct{}

// GetPart asks for a part of the fleet file.
type GetPart struct{ Digest digest.Digest }

// GetHosts asks for the newest host list that the peer has.
type GetHosts struct{}

// Blob is a byte string; Found is false if the peer has none. Coming then says
// that it is about to get it.
type Blob struct {
	Found  bool
	Coming bool
	Data   []byte
}

// Have tells which chunks of a manifest the sender holds. Bits is a bitmap;
// More lists chunks gained since the last message when Bits is empty.
type Have struct {
	Manifest digest.Digest
	Count    int
	Bits     []uint64
	More     []uint32
}

// GetChunk asks for a chunk or a manifest by its digest. If Manifest is set,
// the peer may hold the question for HoldMs while the chunk with that index is
// on its way to it.
type GetChunk struct {
	Digest   digest.Digest
	Manifest digest.Digest
	Index    int
	HoldMs   int64
}

// KeyFence asks an earlier home of an idempotency key what it knows and
// forbids the key to start there afterwards.
type KeyFence struct{ Service, Team, Key string }

// KeyFenceReply answers a KeyFence.
type KeyFenceReply struct {
	Known  bool // the record exists: the key ran or runs there
	Fenced bool // no record existed; the key can no longer start there
}

// Permit asks the issuer of a service for leave to switch versions, or renews
// a permit. With Done it is given back; with Out the host only tells that its
// engine does not serve.
type Permit struct {
	Service string
	Host    string
	Done    bool
	Out     bool
}

// PermitReply answers a Permit.
type PermitReply struct {
	Granted bool
	LeaseMs int64
	RetryMs int64
}

// GetNodeStatus asks a process for its control state.
type GetNodeStatus struct{}

// NodeStatus is the control state of a process, for operators.
type NodeStatus struct {
	Host        string
	Domain      string
	Role        string
	Incarnation uint64
	Format      int // newest fleet file format it accepts
	Revision    uint64
	Digest      digest.Digest
	Pending     uint64 // highest revision that waits for parts; 0 if none
	Rejected    uint64 // highest revision rejected above the one in force
	RejectedFor string
	HeadAgeMs   int64
	Reader      bool
	Awake       bool
	Leaving     bool
	HostsSerial uint64
	Target      Status // zero for an entry
}

// GetHistory asks which hosts the services had under earlier revisions.
type GetHistory struct{}

// History answers GetHistory.
type History struct {
	KnownForMs int64  // how far back the sender knows all revisions
	Revision   uint64 // and up to which
	Past       []PastHosts
}

// PastHosts are the hosts of a service under an earlier revision.
type PastHosts struct {
	Service       string
	Hosts         []string
	ReplacedAgoMs int64
}

// Kind implementations.
func (*GetHistory) Kind() Kind    { return kindGetHistory }
func (*History) Kind() Kind       { return kindHistory }
func (*GetNodeStatus) Kind() Kind { return kindGetNodeStatus }
func (*NodeStatus) Kind() Kind    { return kindNodeStatus }
func (*Hello) Kind() Kind         { return kindHello }
func (*Dispatch) Kind() Kind      { return kindDispatch }
func (*Body) Kind() Kind          { return kindBody }
func (*Head) Kind() Kind          { return kindHead }
func (*Data) Kind() Kind          { return kindData }
func (*End) Kind() Kind           { return kindEnd }
func (*Refuse) Kind() Kind        { return kindRefuse }
func (*Fence) Kind() Kind         { return kindFence }
func (*FenceReply) Kind() Kind    { return kindFenceReply }
func (*Resume) Kind() Kind        { return kindResume }
func (*Watch) Kind() Kind         { return kindWatch }
func (*Status) Kind() Kind        { return kindStatus }
func (*Heartbeat) Kind() Kind     { return kindHeartbeat }
func (*GetHead) Kind() Kind       { return kindGetHead }
func (*GetPart) Kind() Kind       { return kindGetPart }
func (*GetHosts) Kind() Kind      { return kindGetHosts }
func (*Blob) Kind() Kind          { return kindBlob }
func (*Have) Kind() Kind          { return kindHave }
func (*GetChunk) Kind() Kind      { return kindGetChunk }
func (*KeyFence) Kind() Kind      { return kindKeyFence }
func (*KeyFenceReply) Kind() Kind { return kindKeyFenceReply }
func (*Permit) Kind() Kind        { return kindPermit }
func (*PermitReply) Kind() Kind   { return kindPermitReply }

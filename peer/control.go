package peer

import (
	"github.com/springgate/springgate/digest"
)

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
	Pending bool
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
	WaitMs   int64
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
	Release    bool
	NotServing     bool
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

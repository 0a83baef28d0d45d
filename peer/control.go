package peer

import (
	"github.com/springgate/springgate/digest"
)

// Heartbeat is exchanged between the entries and agents of `springgate serve` (see package
// control). It carries only the sender's own state and leaving notices that the leaving hosts
// issued themselves. Revision and Digest identify the revision of the operators' fleet file that
// the sender has accepted; its head describes the revision and lists the parts of the file.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Leaving     bool
	Revision    uint64
	Digest      digest.Digest
	HeadAgeMs   int64  // time since the accepted head was last confirmed as the newest
	HostsSerial uint64 // serial number of the sender's host list
	Notices     []Notice
}

// Notice is issued by a host and announces that one of its incarnations is leaving.
type Notice struct {
	Host        string
	Incarnation uint64
}

// GetHead asks for the head of the fleet file revision that the peer has accepted.
type GetHead struct{}

// GetPart asks for a part of the fleet file.
type GetPart struct{ Digest digest.Digest }

// GetHosts asks for the newest host list known to the peer.
type GetHosts struct{}

// Blob is a byte string. Found is false if the peer does not have it; Pending then
// says that the peer is receiving it.
type Blob struct {
	Found   bool
	Pending bool
	Data    []byte
}

// Have reports which chunks of a manifest the sender stores. Count is the number of
// chunks of the manifest. Bits is the bitmap of the stored chunks, in words of 64 bits. If Bits
// is empty, Added lists the chunks added since the last message.
type Have struct {
	Manifest digest.Digest
	Count    int
	Bits     []uint64
	Added    []uint32
}

// GetChunk asks for a chunk or a manifest by its digest. If Manifest is set, the
// peer may delay the reply for up to WaitMs while it is receiving the chunk with
// that index.
type GetChunk struct {
	Digest   digest.Digest
	Manifest digest.Digest
	Index    int
	WaitMs   int64
}

// KeyFence asks an earlier home of an idempotency key whether it has a record of the key, and
// prevents requests with the key from starting there afterwards. The home of a key is the host
// that runs all requests with the key; it may change when the hosts of the service change.
type KeyFence struct{ Service, Team, Key string }

// KeyFenceReply answers a KeyFence.
type KeyFenceReply struct {
	Known  bool // the record exists: a request with the key ran or runs there
	Fenced bool // no record existed; requests with the key can no longer start there
}

// Permit asks the issuer of a service, the host that decides which of its engines may be out of
// service at a time (see package rollout), for permission to switch versions, or renews a permit.
// Release returns the permit; NotServing only reports that the engine of the host does not
// serve.
type Permit struct {
	Service    string
	Host       string
	Release    bool
	NotServing bool
}

// PermitReply answers a Permit.
type PermitReply struct {
	Granted bool
	LeaseMs int64 // time for which the permit is valid unless it is renewed
	RetryMs int64 // delay before the next request for a permit that was not granted
}

// GetNodeStatus asks a process for its control-plane state.
type GetNodeStatus struct{}

// NodeStatus is the control-plane state of a process, for operators.
type NodeStatus struct {
	Host         string
	Domain       string
	Role         string
	Incarnation  uint64
	Format       int // newest fleet file format that the process accepts
	Revision     uint64
	Digest       digest.Digest
	Pending      uint64 // highest revision with missing parts; 0 if none
	Rejected     uint64 // highest rejected revision above the one in force; 0 if none
	RejectReason string
	HeadAgeMs    int64 // time since the accepted head was last confirmed as the newest
	Reader       bool  // the process watches the platform on behalf of others
	Awake        bool  // false while the process recovers from a pause
	Leaving      bool
	HostsSerial  uint64
	Target       Status // zero value for an entry
}

// GetHistory asks for the hosts of the services under earlier revisions.
type GetHistory struct{}

// History answers GetHistory.
type History struct {
	KnownForMs int64  // the sender has known every fleet file revision for this time
	Revision   uint64 // newest revision that KnownForMs and Past cover
	Past       []PastHosts
}

// PastHosts are the hosts of a service under an earlier revision.
type PastHosts struct {
	Service       string
	Hosts         []string
	ReplacedAgoMs int64
}

package peer

import (
	"github.com/springgate/springgate/outcome"
)

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
	Fingerprint       [32]byte
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
	AttemptAnswerDiscarded                         // ran; the answer is no longer held
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

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

// Attempt identifies one dispatch of a submission, which is one request of a caller. Every answer
// frame carries the Attempt, so that late and misrouted frames are detected.
type Attempt struct {
	ID  [16]byte // of the submission
	Try uint16   // number of this dispatch among those of the submission
}

// HeaderField is one HTTP header field with one value.
type HeaderField struct{ Name, Value string }

// Dispatch asks an agent to run a request on its target.
type Dispatch struct {
	Attempt     Attempt
	Incarnation uint64 // agent incarnation that the entry expects
	Revision    uint64 // fleet file revision in force at the entry
	Service     string
	Team        string
	Method      string
	URI         string // path and query
	Header      []HeaderField
	Key         string   // Idempotency-Key, empty if absent
	Fingerprint [32]byte // of the request's content, to detect reuse of Key for another request
	Repeatable  bool     // the request may run more than once
	Urgency     uint8    // RFC 9218 urgency, 0 (highest) to 7
	TimeoutMs   int64    // time left until the caller's deadline
	HasBody     bool
	BodyLength  int64 // bytes; -1 if not known
}

// Body carries a part of the request body.
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
	Version string // digest of the weight manifest that the engine reported with the answer
	Replay  bool   // true if the answer is replayed from the record of a finished request
}

// Data carries a part of the answer body.
type Data struct {
	Attempt Attempt
	Offset  int64 // offset of the first byte of Data in the answer
	Data    []byte
}

// End completes an answer. An answer without it is incomplete.
type End struct {
	Attempt Attempt
	Length  int64  // bytes in the complete answer
	Sum     uint64 // xxhash of the complete answer
}

// Refuse rejects a dispatch; no answer follows.
type Refuse struct {
	Attempt      Attempt
	Reason       outcome.Reason
	RetryAfterMs int64
}

// Fence asks an agent for the state of an attempt and prevents the attempt from starting there
// afterwards.
type Fence struct {
	Attempt     Attempt
	Incarnation uint64 // agent incarnation to which the attempt was sent
}

// AttemptState is the state of an attempt as known to an agent.
type AttemptState uint8

// Attempt states reported by a fence.
const (
	AttemptUnknown         AttemptState = iota // the agent has no information
	AttemptFenced                              // never received; refused from now on
	AttemptRefused                             // refused; it never ran
	AttemptRunning                             // running; the answer can be resumed
	AttemptFinished                            // finished; the answer can be replayed
	AttemptAnswerDiscarded                     // ran; the answer is no longer stored
)

// FenceReply answers a Fence.
type FenceReply struct {
	State  AttemptState
	Reason outcome.Reason
}

// Resume asks for the remainder of an answer from Offset, in bytes. The answer's Head message is
// sent again if NeedHead is set.
type Resume struct {
	Attempt  Attempt
	Offset   int64
	NeedHead bool
}

// Watch subscribes to the Status of an agent.
type Watch struct{}

// Status is the state of an agent and its target as reported by the agent.
type Status struct {
	Host        string
	Incarnation uint64
	Seq         uint64
	Revision    uint64
	Leaving     bool
	Service     string
	Ready       bool   // the target serves the version in force
	Version     string // digest of the weight manifest that the engine reported
	Running     int
	Queued      int
	Slots       int
	LatencyMs   int64 // smoothed service time
	WeightsHave int   // number of weight chunks of the wanted versions that the host has
	WeightsWant int   // number of weight chunks of those wanted versions whose manifest is known
}

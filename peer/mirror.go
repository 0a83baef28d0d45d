package peer

// MirrorRead asks for a peer's copy of the store. The reply is a MirrorBatch.
type MirrorRead struct {
	All    bool  // all of it; otherwise changes after a revision
	After  int64 // revision of the store
	WaitMs int64 // how long to wait for changes
}

// Kind implements Message.
func (*MirrorRead) Kind() Kind { return kindMirrorRead }

// MirrorEvent is one changed key of the store.
type MirrorEvent struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// MirrorStatus tells whether a MirrorRead was served.
type MirrorStatus uint8

// Results of a MirrorRead.
const (
	MirrorOK MirrorStatus = iota
	MirrorCompacted
	MirrorEmpty // the peer has read nothing itself yet
)

// MirrorBatch answers a MirrorRead.
type MirrorBatch struct {
	Status   MirrorStatus
	Events   []MirrorEvent
	Revision int64
	UpTo     int64 // changes up to this may be in a whole copy too, but not all
	AgeMs    int64 // since the store was known to agree with the copy, at most
	WaitedMs   int64 // how long the peer held the question, at most that
}

// Kind implements Message.
func (*MirrorBatch) Kind() Kind { return kindMirrorBatch }

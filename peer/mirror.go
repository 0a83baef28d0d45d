package peer

import "github.com/springgate/springgate/revision"

// MirrorRead asks for a peer's copy of the store, the platform's key-value store (see package
// mirror). The reply is a MirrorBatch.
type MirrorRead struct {
	All    bool              // read all keys; otherwise the changes after revision After
	After  revision.Revision // store revision; used unless All is set
	WaitMs int64             // longest wait for changes; with All, for the peer's first copy
	// Added holds the fields that earlier releases do not know.
	Added MirrorReadAdded `msgpack:"-"`
}

// MirrorReadAdded are fields of MirrorRead that earlier releases do not know.
type MirrorReadAdded struct {
	Packed bool // the reply to a read of all keys may have its events in MirrorBatchAdded.Packed
}

func (r *MirrorRead) extension() any     { return &r.Added }
func (r *MirrorRead) hasExtension() bool { return r.Added.Packed }

// Kind implements Message.
func (*MirrorRead) Kind() Kind { return kindMirrorRead }

// MirrorEvent is a change of one key in the store. The removal of the empty key marks a gap of the
// peer's history (see package mirror).
type MirrorEvent struct {
	Key      string
	Value    []byte
	Revision revision.Revision
	Deleted  bool
}

// MirrorStatus is the result of a MirrorRead.
type MirrorStatus uint8

// Results of a MirrorRead.
const (
	MirrorOK        MirrorStatus = iota
	MirrorCompacted              // the changes after the requested revision are no longer available
	MirrorEmpty                  // the peer has no copy of the store yet
)

// MirrorBatch answers a MirrorRead.
type MirrorBatch struct {
	Status      MirrorStatus
	Events      []MirrorEvent
	Revision    revision.Revision
	MaxRevision revision.Revision // a read of all keys may contain some, but not all, of the changes up to this revision
	AgeMs       int64             // upper bound of the time since the copy was known to match the store
	WaitedMs    int64             // lower bound of the time that the peer waited for changes
	// Added holds the fields that earlier releases do not know.
	Added MirrorBatchAdded `msgpack:"-"`
}

// MirrorBatchAdded are fields of MirrorBatch that earlier releases do not know.
type MirrorBatchAdded struct {
	Packed []byte // the events as of PackEvents, instead of Events; nil if the request does not allow that
}

func (b *MirrorBatch) extension() any     { return &b.Added }
func (b *MirrorBatch) hasExtension() bool { return b.Added.Packed != nil }

// Kind implements Message.
func (*MirrorBatch) Kind() Kind { return kindMirrorBatch }

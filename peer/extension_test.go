package peer

import (
	"testing"

	"github.com/springgate/springgate/overload"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// earlierLoads is Loads as releases without Shortages know it.
type earlierLoads struct {
	Full, Leaving bool
	Revision      int64
	Store         StoreStatus
	Digest        uint64
	Targets       []TargetLoad
	CrashDigest   uint64
	Versions      []ObservedVersion
	Notices       []TargetNotice
}

func (*earlierLoads) Kind() Kind { return kindLoads }

// payload returns the payload of a message on the wire.
func payload(t *testing.T, m Message) []byte {
	t.Helper()
	b, err := encodeFrame(1, 0, m)
	assert.NilError(t, err)
	return b[lengthSize+headSize:]
}

// decodeLater decodes a payload as this release does.
func decodeLater(t *testing.T, b []byte) *Loads {
	t.Helper()
	m, err := frame{kind: kindLoads, payload: b}.decode()
	assert.NilError(t, err)
	return m.(*Loads)
}

func TestLoadsOfEarlierAndLaterReleases(t *testing.T) {
	targets := []TargetLoad{{Instance: "i", Requests: 3}}
	old := payload(t, &earlierLoads{Full: true, Revision: 7, Targets: targets})
	assert.DeepEqual(t, decodeLater(t, old), &Loads{Full: true, Revision: 7, Targets: targets})
	assert.DeepEqual(t, payload(t, &Loads{Full: true, Revision: 7, Targets: targets}), old) // nothing is added while nothing is short

	msg := &Loads{Full: true, Revision: 8, Targets: targets, Added: LoadsAdded{Shortages: map[string]overload.Report{"s": {Placed: 2.5, Short: true,
		Offered: []overload.ClassDemand{{Class: overload.Class{Rank: 1, Team: "x"}, Work: 2}}}}}}
	var earlier earlierLoads
	assert.NilError(t, msgpack.Unmarshal(payload(t, msg), &earlier)) // as earlier releases decode
	assert.DeepEqual(t, earlier, earlierLoads{Full: true, Revision: 8, Targets: targets})
	assert.DeepEqual(t, decodeLater(t, payload(t, msg)), msg)
}

// A later release may add fields again.
func TestUnknownAddedFieldsAreSkipped(t *testing.T) {
	b := payload(t, &earlierLoads{Full: true})
	added, err := msgpack.Marshal(map[string]any{"Other": []int{1, 2}, "Shortages": map[string]any{"s": map[string]any{"new": 1}}})
	assert.NilError(t, err)
	assert.DeepEqual(t, decodeLater(t, append(b, added...)).Added, LoadsAdded{Shortages: map[string]overload.Report{"s": {}}})
	_, err = frame{kind: kindLoads, payload: append(b, 0xc1)}.decode()
	assert.ErrorIs(t, err, ErrPayload)
}

// earlierMirrorRead and earlierMirrorBatch have the fields of releases that know no packed copies.
type earlierMirrorRead struct {
	All    bool
	After  int64
	WaitMs int64
}

type earlierMirrorBatch struct {
	Status      MirrorStatus
	Events      []MirrorEvent
	Revision    int64
	MaxRevision int64
	AgeMs       int64
	WaitedMs    int64
}

func TestCopiesOfEarlierAndLaterReleases(t *testing.T) {
	var read earlierMirrorRead
	assert.NilError(t, msgpack.Unmarshal(payload(t, &MirrorRead{All: true, WaitMs: 5, Added: MirrorReadAdded{Packed: true}}), &read))
	assert.DeepEqual(t, read, earlierMirrorRead{All: true, WaitMs: 5})

	batch := &MirrorBatch{Events: []MirrorEvent{{Key: "k", Value: []byte("v"), Revision: 3}}, Revision: 3}
	var earlier earlierMirrorBatch
	assert.NilError(t, msgpack.Unmarshal(payload(t, batch), &earlier))
	assert.DeepEqual(t, earlier, earlierMirrorBatch{Events: batch.Events, Revision: 3})

	batch = &MirrorBatch{Revision: 3, Added: MirrorBatchAdded{Packed: []byte("packed")}}
	m, err := frame{kind: kindMirrorBatch, payload: payload(t, batch)}.decode()
	assert.NilError(t, err)
	assert.DeepEqual(t, m, batch)
}

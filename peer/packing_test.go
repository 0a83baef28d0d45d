package peer

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPackedEventsAreUnpacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOf(rapid.Custom(func(t *rapid.T) MirrorEvent {
			return MirrorEvent{Key: rapid.String().Draw(t, "key"), Value: rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "value"),
				Deleted: rapid.Bool().Draw(t, "deleted")}
		})).Draw(t, "events")
		b, err := PackEvents(events)
		assert.NilError(t, err)
		got, err := UnpackEvents(b)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(events))
		for i := range got {
			assert.DeepEqual(t, got[i], events[i])
		}
	})
}

func TestDamagedPackedEventsAreAnError(t *testing.T) {
	b, err := PackEvents([]MirrorEvent{{Key: "k", Value: make([]byte, 1000)}})
	assert.NilError(t, err)
	for n := range len(b) - 1 {
		_, err := UnpackEvents(b[:n])
		assert.ErrorIs(t, err, ErrPayload, "%d bytes", n)
	}
}

func (*earlierMirrorRead) Kind() Kind  { return kindMirrorRead }
func (*earlierMirrorBatch) Kind() Kind { return kindMirrorBatch }

func decodePayload(t *testing.T, k Kind, b []byte) Message {
	t.Helper()
	m, err := frame{kind: k, payload: b}.decode()
	assert.NilError(t, err)
	return m
}

// Entries of this release and of earlier ones read each other's copies, plain.
func TestPackedCopiesAndEarlierReleases(t *testing.T) {
	earlier := earlierMirrorRead{All: true, WaitMs: 7}
	read := MirrorRead{All: true, WaitMs: 7, Added: MirrorReadAdded{Packed: true}}
	var got earlierMirrorRead
	assert.NilError(t, msgpack.Unmarshal(payload(t, &read), &got))
	assert.DeepEqual(t, got, earlier)
	assert.DeepEqual(t, decodePayload(t, kindMirrorRead, payload(t, &earlier)), Message(&MirrorRead{All: true, WaitMs: 7}))
	assert.DeepEqual(t, decodePayload(t, kindMirrorRead, payload(t, &read)), Message(&read))

	events := []MirrorEvent{{Key: "k", Value: []byte("v"), Revision: 3}}
	plain := earlierMirrorBatch{Events: events, Revision: 3, WaitedMs: 5}
	reply := MirrorBatch{Events: events, Revision: 3, WaitedMs: 5}
	assert.DeepEqual(t, payload(t, &reply), payload(t, &plain))
	assert.DeepEqual(t, decodePayload(t, kindMirrorBatch, payload(t, &plain)), Message(&reply))
	packed := MirrorBatch{Revision: 3, Added: MirrorBatchAdded{Packed: []byte("packed")}}
	assert.DeepEqual(t, decodePayload(t, kindMirrorBatch, payload(t, &packed)), Message(&packed))
}

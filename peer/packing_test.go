package peer

import (
	"testing"

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

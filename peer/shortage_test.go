package peer

import (
	"fmt"
	"math"
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

	msg := &Loads{Full: true, Revision: 8, Targets: targets, Added: LoadsAdded{Shortages: []Shortage{{Service: "s", Offered: []ClassDemand{{Rank: 1, Work: 2}}}}}}
	var earlier earlierLoads
	assert.NilError(t, msgpack.Unmarshal(payload(t, msg), &earlier)) // as earlier releases decode
	assert.DeepEqual(t, earlier, earlierLoads{Full: true, Revision: 8, Targets: targets})
	assert.DeepEqual(t, decodeLater(t, payload(t, msg)), msg)
}

// A later release may add fields again.
func TestUnknownAddedFieldsAreSkipped(t *testing.T) {
	b := payload(t, &earlierLoads{Full: true})
	added, err := msgpack.Marshal(map[string]any{"Other": []int{1, 2}, "Shortages": []map[string]any{{"s": "svc", "x": "new"}}})
	assert.NilError(t, err)
	assert.DeepEqual(t, decodeLater(t, append(b, added...)).Added, LoadsAdded{Shortages: []Shortage{{Service: "svc"}}})
	_, err = frame{kind: kindLoads, payload: append(b, 0xc1)}.decode()
	assert.ErrorIs(t, err, ErrPayload)
}

func TestShortagesRoundTrip(t *testing.T) {
	reports := map[string]overload.Report{"a": {Placed: 2.5, Short: true, Offered: []overload.ClassDemand{
		{Class: overload.Class{Rank: 2, Team: "x"}, Work: 1.5}, {Class: overload.Class{}, Work: 0.5}}}, "b": {}}
	assert.DeepEqual(t, DecodeShortages(EncodeShortages(reports)), reports)
	assert.Equal(t, len(EncodeShortages(nil)), 0)
}

func TestShortagesAreBounded(t *testing.T) {
	reports := map[string]overload.Report{}
	var offered []overload.ClassDemand
	for i := range 2 * maxShortageClasses {
		offered = append(offered, overload.ClassDemand{Class: overload.Class{Team: fmt.Sprintf("team-%04d", i)}, Work: float64(i + 1)})
	}
	for i := range 2 * maxShortages {
		reports[fmt.Sprintf("service-%02d", i)] = overload.Report{Offered: offered}
	}
	list := EncodeShortages(reports)
	assert.Equal(t, len(list), maxShortages)
	assert.Equal(t, len(list[0].Offered), maxShortageClasses)
	assert.Equal(t, list[0].Offered[0].Work, float32(2*maxShortageClasses), "those with the most work are kept")
	size := len(payload(t, &Loads{Added: LoadsAdded{Shortages: list}}))
	assert.Assert(t, size <= maxShortages*maxShortageClasses*32, "%d bytes", size)
}

func TestImplausibleShortagesAreLeftOut(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	got := DecodeShortages([]Shortage{{Service: "s", Placed: nan, Offered: []ClassDemand{{Work: nan}, {Work: inf}, {Work: -1}, {Rank: -1, Work: 1}, {Rank: 1, Work: 1}}}})
	assert.DeepEqual(t, got, map[string]overload.Report{"s": {Offered: []overload.ClassDemand{{Class: overload.Class{Rank: 1}, Work: 1}}}})
}

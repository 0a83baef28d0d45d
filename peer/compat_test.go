package peer

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// earlierEngineState and earlierRelayedState have the fields of releases that know no pace.
type earlierEngineState struct {
	Addr    string
	Model   string
	Version int
	Loading bool
	Seq     uint64
	StartMs int64
	Forward bool
}

type earlierRelayedState struct {
	EngineAddr, PiecesAddr, Domain string
	Incarnation                    uint64
	State                          earlierEngineState
	Withdrawn                      bool
}

type earlierEngineStates struct{ States []earlierRelayedState }

// recode encodes a value like a message and decodes it into out.
func recode(t *testing.T, in, out any) {
	var payload bytes.Buffer
	enc := msgpack.NewEncoder(&payload)
	enc.UseArrayEncodedStructs(true)
	assert.NilError(t, enc.Encode(in))
	assert.NilError(t, msgpack.Unmarshal(payload.Bytes(), out))
}

// TestPaceIsCompatibleWithEarlierReleases checks that releases with and without the pace of an
// engine read each other's reports, also when others forward them.
func TestPaceIsCompatibleWithEarlierReleases(t *testing.T) {
	earlier := earlierEngineState{"10.0.0.1:80", "m", 3, true, 9, 1234, true}
	var state EngineState
	recode(t, &earlier, &state)
	assert.DeepEqual(t, state, EngineState{Addr: "10.0.0.1:80", Model: "m", Version: 3, Loading: true, Seq: 9, StartMs: 1234, Forward: true})

	assert.Equal(t, state.StatedPace(), 0)

	state.Seq = NextSeq(NextSeq(0, 100), 250)
	earlier.Seq = state.Seq
	var read earlierEngineState
	recode(t, &state, &read)
	assert.DeepEqual(t, read, earlier)

	var relayed earlierEngineStates
	recode(t, &EngineStates{States: []RelayedState{{"e", "p", "d", 7, state, true}, {EngineAddr: "f", State: state}}}, &relayed)
	assert.DeepEqual(t, relayed, earlierEngineStates{[]earlierRelayedState{{"e", "p", "d", 7, earlier, true}, {EngineAddr: "f", State: earlier}}})

	var states EngineStates
	recode(t, &relayed, &states)
	assert.DeepEqual(t, states, EngineStates{States: []RelayedState{{"e", "p", "d", 7, state, true}, {EngineAddr: "f", State: state}}})
}

// TestPaceKeepsTheOrderOfReports checks that later reports have higher numbers for releases that
// know no pace.
func TestPaceKeepsTheOrderOfReports(t *testing.T) {
	last := uint64(0)
	for _, pace := range []int{100, 800, 0, 100000, -5, 150} {
		next := NextSeq(last, pace)
		assert.Assert(t, next > last)
		assert.Equal(t, (&EngineState{Seq: next}).StatedPace(), min(max(pace, 0), maxPace))
		last = next
	}
	for _, earlier := range []uint64{0, 1, 1023, 1 << 40} {
		assert.Equal(t, (&EngineState{Seq: earlier}).StatedPace(), 0)
	}
}

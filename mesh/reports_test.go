package mesh

import (
	"testing"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func report(incarnation, seq uint64, version int) engineReport {
	return engineReport{peer.Presence{EngineAddr: "e", Incarnation: incarnation}, peer.EngineState{Addr: "e", Version: version, Seq: seq}}
}

// The newest report counts whatever way it came, and what is left when a way ends.
func TestNewestWordOfAnEngineCounts(t *testing.T) {
	e := engineReports{}
	assert.Assert(t, e.hear(1, report(1, 1, 5)))
	assert.Assert(t, !e.hear(2, report(1, 1, 5)), "the same report from an entry that passes it on")
	assert.Assert(t, e.hear(2, report(1, 2, 6)))
	assert.Assert(t, !e.hear(1, report(1, 1, 5)), "an old report that came late")
	w, _ := e.newest("e")
	assert.Equal(t, w.state.Version, 6)
	got := e.end(2)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].report.state.Version, 5, "the agent itself said it")
	assert.Assert(t, got[0].known)
	got = e.end(1)
	assert.Assert(t, len(got) == 1 && !got[0].known, "nobody speaks of the engine")
	assert.Equal(t, len(e), 0)
}

// A new agent counts from the beginning.
func TestWordsOfANewAgentGoBeforeThoseOfTheOld(t *testing.T) {
	e := engineReports{}
	e.hear(1, report(1, 40, 5))
	assert.Assert(t, e.hear(2, report(2, 1, 0)))
	assert.Equal(t, len(e.end(1)), 0, "the old agent's stream ends later")
	w, ok := e.newest("e")
	assert.Assert(t, ok && w.state.Version == 0)
}

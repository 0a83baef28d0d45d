package mesh

import (
	"testing"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func report(incarnation, seq uint64, version int) engineReport {
	return engineReport{peer.Presence{EngineAddr: "e", Incarnation: incarnation}, peer.EngineState{Addr: "e", Version: version, Seq: seq}}
}

// The newest report of an engine is in effect on whatever stream it arrived, also once that stream
// ends, until no report of the agent is left.
func TestNewestReportOfAnEngineIsInEffect(t *testing.T) {
	e := engineReports{}
	assert.Assert(t, e.add(reportSource{stream: 1}, report(1, 1, 5)))
	assert.Assert(t, !e.add(reportSource{stream: 2}, report(1, 1, 5)), "the same report forwarded by an entry")
	assert.Assert(t, e.add(reportSource{stream: 2}, report(1, 2, 6)))
	assert.Assert(t, !e.add(reportSource{stream: 1}, report(1, 1, 5)), "an old report that arrives late")
	w, _ := e.newest("e")
	assert.Equal(t, w.state.Version, 6)
	assert.Equal(t, len(e.removeSource(reportSource{stream: 2})), 0, "the report that remains is older")
	got := e.removeSource(reportSource{stream: 1})
	assert.Assert(t, len(got) == 1 && !got[0].known, "no report of the engine remains")
	assert.Equal(t, len(e), 0)
}

// Guards against an older report of an agent coming into effect when the stream of a newer one ends.
func TestReportsOfAnAgentNeverGoBack(t *testing.T) {
	e := engineReports{}
	e.add(reportSource{stream: 1}, report(1, 1, 5))
	e.add(reportSource{stream: 2}, report(1, 2, 0))
	assert.Equal(t, len(e.removeSource(reportSource{stream: 2})), 0, "the agent has withdrawn version 5")
	assert.Assert(t, e.add(reportSource{stream: 1}, report(1, 3, 6)))
	e.add(reportSource{stream: 2}, report(2, 1, 7))
	got := e.removeSource(reportSource{stream: 2})
	assert.Assert(t, len(got) == 1 && got[0].report.state.Version == 6, "of another agent process, whose clock may be behind")
}

// A new incarnation of an agent starts its sequence again.
func TestReportsOfANewIncarnationTakePrecedence(t *testing.T) {
	e := engineReports{}
	e.add(reportSource{stream: 1}, report(1, 40, 5))
	assert.Assert(t, e.add(reportSource{stream: 2}, report(2, 1, 0)))
	assert.Equal(t, len(e.removeSource(reportSource{stream: 1})), 0, "the stream of the old incarnation is not in effect")
	w, ok := e.newest("e")
	assert.Assert(t, ok && w.state.Version == 0)
}

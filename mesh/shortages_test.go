package mesh

import (
	"testing"
	"time"

	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// Other entries hear of a shortage while it lasts, and that an entry is lost.
func TestShortagesReachOtherEntries(t *testing.T) {
	a := startNode(t, "a", 1, nil, false, nil)
	b := startNode(t, "b", 1, []string{a.server.Addr()}, false, nil)
	addr := a.server.Addr()
	b.until(t, "b to discover a", func() bool { return len(b.mesh.Entries()) == 1 })
	list := map[string]overload.Report{"s": {Placed: 2, Short: true, Offered: []overload.ClassDemand{{Class: overload.Class{Rank: 1, Team: "x"}, Work: 3}}}}
	a.update(func() { a.short = list })
	b.until(t, "b to hear of the shortage", func() bool { return len(b.heard[addr]) == 1 })
	assert.DeepEqual(t, b.heard[addr], list)
	a.update(func() { a.short = nil })
	b.until(t, "b to hear no more of it", func() bool { return len(b.heard[addr]) == 0 })
	a.mesh.Leave()
	b.until(t, "a to be lost", func() bool { return b.lost[addr] })
}

func TestOnsetOfAShortageIsReportedSoon(t *testing.T) {
	short := func(services ...string) map[string]overload.Report {
		out := map[string]overload.Report{}
		for _, s := range services {
			out[s] = overload.Report{}
		}
		return out
	}
	r := newLoadReporter(500 * time.Millisecond)
	full := func(at time.Duration, list map[string]overload.Report) bool {
		now := start.Add(at * time.Millisecond)
		r.noteShortages(now, list)
		msg := r.next(now, nil)
		return msg != nil && msg.Full
	}
	assert.Assert(t, full(0, nil), "the first report")
	assert.Assert(t, !full(20, nil))
	assert.Assert(t, full(40, short("s")), "the onset")
	assert.Assert(t, !full(60, short("s")), "the same shortage")
	assert.Assert(t, !full(80, short("s", "t")), "one onset in a heartbeat")
	assert.Assert(t, full(540, short("s", "t")))
	assert.Assert(t, !full(560, short("s", "t")))
}

// A service that is short by turns causes no flood of full reports.
func TestFullReportsOfOnsetsAreBounded(t *testing.T) {
	r := newLoadReporter(500 * time.Millisecond)
	n := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var list map[string]overload.Report
		if ms/7%2 == 0 {
			list = map[string]overload.Report{"s": {}}
		}
		r.noteShortages(now, list)
		if r.next(now, nil) != nil {
			n++
		}
	}
	assert.Assert(t, n <= 41, "%d reports in 10 s, a heartbeat each 500 ms", n)
}

// In a large fleet homes get full reports often, but not the shortages in each.
func TestShortagesAreRepeatedRarelyInALargeFleet(t *testing.T) {
	l := &link{}
	sent := 0
	for ms := range 1000 {
		loads := &peer.Loads{Full: true, Added: peer.LoadsAdded{Shortages: map[string]overload.Report{"s": {}}}}
		l.trimShortages(start.Add(time.Duration(ms)*time.Millisecond), loads)
		sent += len(loads.Added.Shortages)
	}
	assert.Equal(t, sent, 5)
}

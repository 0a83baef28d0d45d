package sidecar

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func newAssignment(version, turn, turns int) peer.Assignment {
	return peer.Assignment{Model: "m", Version: version, Layers: 16, Pieces: pieces, TimeoutMs: 8000, Turn: turn, Turns: turns}
}

func serving(version int) Report {
	return Report{Models: []fleet.ModelVersion{{Model: "m", Version: version, Layers: 16}}}
}

// stateOf returns the state after an assignment, preceded by one of the version earlier unless
// that is 0. The versions are announced one second apart.
func stateOf(a peer.Assignment, earlier int) assignmentState {
	as := assignmentState{Assignment: a}
	if earlier > 0 {
		as.add(announcedVersion{version: earlier, announced: start})
		as.add(announcedVersion{version: a.Version, announced: start.Add(time.Second)})
		return as
	}
	as.add(announcedVersion{version: a.Version, announced: start})
	return as
}

func unreadable(as assignmentState) assignmentState {
	as.failing = map[string]bool{"one": false, "other": true}
	return as
}

func TestPlan(t *testing.T) {
	cfg := Config{}.applyDefaults()
	busy := serving(1)
	busy.Busy = true
	complete := func(version int) holdings { return holdings{staged: progress{version, true, 1}} }
	last := 8*time.Second - cfg.Margin
	inDoubt := func(version int, h holdings) holdings {
		h.inDoubt = inDoubtOrder{open: true, model: "m", version: version, lastSent: start, nextAttempt: start}
		return h
	}
	previous := inDoubtOrder{open: true, lastSent: start, nextAttempt: start}
	ignoresTokens, inspected := previous, previous
	ignoresTokens.ignoresTokens, inspected.inspected = true, true
	for _, c := range []struct {
		name   string
		report Report
		as     assignmentState
		h      holdings
		after  time.Duration
		want   Step
	}{
		{"nothing assigned", Report{}, assignmentState{}, holdings{}, 0, Step{}},
		{"already served", serving(2), stateOf(newAssignment(2, 0, 3), 0), holdings{}, 0, Step{}},
		{"serves newer than assigned", serving(3), stateOf(newAssignment(2, 0, 3), 0), holdings{}, 0, Step{}},
		{"order in progress", busy, stateOf(newAssignment(2, 0, 3), 0), complete(2), 0, Step{Action: Watch}},
		{"pieces missing", serving(1), stateOf(newAssignment(2, 0, 3), 0), holdings{}, 0, Step{Stage, 2}},
		{"some layers only", Report{Models: []fleet.ModelVersion{{Model: "m", Version: 2, Layers: 8}}}, stateOf(newAssignment(2, 0, 3), 0), complete(2), 0, Step{Load, 2}},
		{"empty engine does not wait", Report{}, stateOf(newAssignment(2, 2, 3), 0), complete(2), 0, Step{Load, 2}},
		{"before first turn", serving(1), stateOf(newAssignment(2, 0, 3), 0), complete(2), cfg.Lead - 1, Step{Await, 2}},
		{"first turn", serving(1), stateOf(newAssignment(2, 0, 3), 0), complete(2), cfg.Lead, Step{Load, 2}},
		{"before last turn", serving(1), stateOf(newAssignment(2, 2, 3), 0), complete(2), cfg.Lead, Step{Await, 2}},
		{"last turn", serving(1), stateOf(newAssignment(2, 2, 3), 0), complete(2), last, Step{Load, 2}},

		{"newer instead of older that is not begun", serving(1), stateOf(newAssignment(3, 0, 3), 2), holdings{staged: progress{2, false, 0}}, time.Second, Step{Stage, 3}},
		{"staged pieces of older are kept", serving(1), stateOf(newAssignment(3, 0, 3), 2), holdings{staged: progress{2, false, 0.2}}, time.Second, Step{Fetch, 3}},
		{"empty engine completes older", Report{}, stateOf(newAssignment(3, 0, 3), 2), holdings{staged: progress{2, false, 0.7}}, time.Second, Step{Stage, 2}},
		{"newer fetched while older waits for its turn", serving(1), stateOf(newAssignment(3, 2, 3), 2), complete(2), 2 * time.Second, Step{Fetch, 3}},
		{"newer fetched also at turn of older", serving(1), stateOf(newAssignment(3, 0, 3), 2), complete(2), cfg.Lead, Step{Fetch, 3}},
		{"newer complete in time", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, true, 1}, fetched: progress{3, true, 1}}, 2 * time.Second, Step{Stage, 3}},
		{"before turn of newer", serving(1), stateOf(newAssignment(3, 0, 3), 2), complete(3), cfg.Lead, Step{Await, 3}},
		{"turn of newer", serving(1), stateOf(newAssignment(3, 0, 3), 2), complete(3), cfg.Lead + time.Second, Step{Load, 3}},
		{"newer far from complete at last turn", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, true, 1}, fetched: progress{3, false, 0.2}}, last, Step{Load, 2}},
		{"newer almost complete at last turn", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, true, 1}, fetched: progress{3, false, 0.9}}, last, Step{Fetch, 3}},
		{"older loaded before deadline", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, true, 1}, fetched: progress{3, false, 0.9}}, last + cfg.Margin, Step{Load, 2}},
		{"older served, newer staged", serving(2), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, true, 1}}, last, Step{Stage, 3}},
		{"empty engine loads available version", Report{}, stateOf(newAssignment(3, 2, 3), 2), complete(2), 0, Step{Load, 2}},
		{"newer cannot be fetched in time, rest of older can", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, false, 0.86}, fetched: progress{3, false, 0.1}}, last - cfg.Lead/2, Step{Stage, 2}},
		{"newer can be fetched in time", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, false, 0.86}, fetched: progress{3, false, 0.6}}, last - cfg.Lead/2, Step{Fetch, 3}},
		{"neither can be fetched in time", serving(1), stateOf(newAssignment(3, 2, 3), 2),
			holdings{staged: progress{2, false, 0.2}, fetched: progress{3, false, 0.1}}, last - cfg.Lead/2, Step{Fetch, 3}},
		{"newer unreadable, older staged", serving(1), unreadable(stateOf(newAssignment(3, 2, 3), 2)), holdings{staged: progress{2, false, 0.2}}, 0, Step{Stage, 2}},
		{"newer unreadable, before turn of older", serving(1), unreadable(stateOf(newAssignment(3, 2, 3), 2)), complete(2), cfg.Lead, Step{Fetch, 3}},
		{"newer unreadable, turn of older", serving(1), unreadable(stateOf(newAssignment(3, 0, 3), 2)), complete(2), cfg.Lead, Step{Load, 2}},
		{"newer unreadable, no older version", serving(1), unreadable(stateOf(newAssignment(3, 2, 3), 0)), holdings{}, 0, Step{Stage, 3}},
		{"newer stalled, older staged", serving(1), stateOf(newAssignment(3, 2, 3), 2), holdings{stalled: 3}, 0, Step{Stage, 2}},
		{"newer stalled when almost complete", serving(1), stateOf(newAssignment(3, 0, 3), 2), holdings{staged: progress{3, false, 0.9}, stalled: 3}, time.Second, Step{Stage, 3}},

		{"order in doubt, newest version", serving(1), stateOf(newAssignment(2, 0, 3), 0), inDoubt(2, complete(2)), 0, Step{Load, 2}},
		{"order in doubt, before next repeat", serving(1), stateOf(newAssignment(2, 0, 3), 0), inDoubt(2, complete(2)), -1, Step{Await, 2}},
		{"order in doubt for older version is repeated", serving(1), stateOf(newAssignment(3, 0, 3), 2), inDoubt(2, complete(2)), 0, Step{Load, 2}},
		{"repeated even if newer is complete", serving(1), stateOf(newAssignment(3, 0, 3), 2),
			inDoubt(2, holdings{staged: progress{2, true, 1}, fetched: progress{3, true, 1}}), 0, Step{Load, 2}},
		{"newer fetched between repeats", serving(1), stateOf(newAssignment(3, 0, 3), 2), inDoubt(2, complete(2)), -1, Step{Fetch, 3}},
		{"newer complete in memory", serving(1), stateOf(newAssignment(3, 0, 3), 2),
			inDoubt(2, holdings{staged: progress{2, true, 1}, fetched: progress{3, true, 1}}), -1, Step{Await, 2}},
		{"corrupt piece of version in doubt", serving(1), stateOf(newAssignment(3, 0, 3), 2),
			inDoubt(2, holdings{staged: progress{2, false, 0.9}, fetched: progress{3, true, 1}}), 0, Step{Stage, 2}},
		{"staged pieces of version in doubt unknown", serving(1), stateOf(newAssignment(3, 0, 3), 2), inDoubt(2, holdings{}), 0, Step{Stage, 2}},
		{"corrupt piece unavailable", serving(1), stateOf(newAssignment(3, 0, 3), 2),
			inDoubt(2, holdings{staged: progress{2, false, 0.9}, stalled: 2}), 0, Step{Fence, 1}},
		{"corrupt piece unavailable, empty engine cannot be fenced", Report{}, stateOf(newAssignment(3, 0, 3), 2),
			inDoubt(2, holdings{staged: progress{2, false, 0.9}, stalled: 2}), 0, Step{Fetch, 3}},
		{"order in doubt in progress", busy, stateOf(newAssignment(3, 0, 3), 2), inDoubt(2, complete(2)), 0, Step{Action: Watch}},

		{"previous agent, serving engine", serving(1), stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: previous}, 0, Step{Fence, 1}},
		{"previous agent, before next fencing attempt", serving(1), stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: previous}, -1, Step{Fetch, 2}},
		{"previous agent, engine ignores tokens", serving(1), stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: ignoresTokens}, 0, Step{Inspect, 2}},
		{"previous agent, empty engine", Report{}, stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: previous}, 0, Step{Inspect, 2}},
		{"previous agent, staged version unknown", Report{}, stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: inspected}, 0, Step{Fetch, 2}},
		{"previous agent, staged version unknown, newest in memory", Report{}, stateOf(newAssignment(2, 0, 3), 0),
			holdings{inDoubt: inspected, fetched: progress{2, true, 1}}, 0, Step{Await, 2}},
		{"previous agent staged newest", Report{}, stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: previous, staged: progress{2, true, 1}}, 0, Step{Load, 2}},
		{"previous agent, assigned version served", serving(2), stateOf(newAssignment(2, 0, 3), 0), holdings{inDoubt: previous}, 0, Step{}},
	} {
		got := cfg.Plan(start.Add(c.after), c.report, c.as, c.h)
		assert.Equal(t, got, c.want, c.name)
	}
}

func TestOrderInDoubtIsSettledByReport(t *testing.T) {
	report := func(sequence int64, serves int) Report {
		r := serving(serves)
		r.Sequence = sequence
		return r
	}
	own := inDoubtOrder{open: true, model: "m", version: 2, sequence: 5, lastSent: start}
	previous := inDoubtOrder{open: true, sequence: 5, lastSent: start}
	for _, c := range []struct {
		d     inDoubtOrder
		model string
		r     Report
		after time.Duration
		want  string
	}{
		{own, "m", report(5, 1), 0, ""},
		{own, "m", report(6, 1), 0, "begun"},
		{own, "m", report(0, 1), 0, "engine_restarted"},
		{own, "m", report(5, 2), 0, "served"},
		{own, "other", report(5, 1), 0, "other_model"},
		{own, "m", report(5, 1), 14 * time.Second, ""},
		{own, "m", report(5, 1), 15 * time.Second, "expired"},
		{previous, "m", report(5, 2), 0, ""},
		{previous, "m", report(6, 1), 0, "begun"},
		{previous, "m", report(4, 1), 0, "engine_restarted"},
		{previous, "m", report(5, 1), 15 * time.Second, "expired"},
	} {
		got := c.d.settled(start.Add(c.after), c.model, c.r, c.r.serves("m", 16), 15*time.Second)
		assert.Equal(t, got, c.want, "%+v", c)
	}
}

// An order that the engine refuses because its token is too low proves that this agent's
// earlier orders are fenced, but not those of the previous agent, whose tokens may be
// higher.
func TestTokenRefusalSettlesOwnOrders(t *testing.T) {
	own, previous := inDoubtOrder{open: true, version: 2}, inDoubtOrder{open: true}
	adopted := inDoubtOrder{open: true, version: 2, adopted: true}
	for _, c := range []struct {
		d    inDoubtOrder
		err  error
		want bool
	}{
		{own, errors.Wrap(ErrOrderFenced, "412"), true},
		{own, ErrOrderStale, false},
		{adopted, ErrOrderFenced, false},
		{previous, ErrOrderFenced, false},
		{inDoubtOrder{}, ErrOrderFenced, false},
	} {
		assert.Equal(t, c.d.fencedBy(c.err), c.want, "%+v", c)
	}
}

func TestRepeatBackOffIncreases(t *testing.T) {
	cfg := Config{}.applyDefaults()
	var d inDoubtOrder
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		now := start.Add(time.Duration(i) * time.Minute)
		d.recordUnanswered(now, cfg)
		assert.Equal(t, d.nextAttempt.Sub(now), want*time.Millisecond)
	}
	for range 100 {
		d.recordUnanswered(start, cfg)
	}
	assert.Equal(t, d.nextAttempt.Sub(start), time.Second)
}

// A version whose announcement time is only estimated, because no entry observed the
// announcement, is not pending if an entry observed the announcement of a newer version.
// The older version was then announced while the store was unavailable, so its deadline has
// not passed. The older version is pending once an entry reports an observed time, which an
// estimate does not replace.
func TestObservedAnnouncementTakesPrecedenceOverEstimated(t *testing.T) {
	estimated := newAssignment(2, 0, 0)
	estimated.AgeMs, estimated.AgeEstimated = 8000, true
	observed := newAssignment(3, 19, 20)
	as := assignmentState{}.merge(start, estimated)
	cfg := Config{}.applyDefaults()
	assert.Equal(t, cfg.Plan(start, serving(1), as, holdings{}), Step{Stage, 2}, "no entry observed the announcement")
	as = as.merge(start, observed)
	pending := as.pending(1)
	assert.Equal(t, len(pending), 1)
	assert.Equal(t, cfg.turnWindowOf(as, pending, pending[0]).at(19, 20), start.Add(8*time.Second-cfg.Margin))
	known := newAssignment(2, 0, 20)
	known.AgeMs = 3000
	as = as.merge(start, known)
	assert.Equal(t, as.pending(1)[0], announcedVersion{version: 2, announced: start.Add(-3 * time.Second)}, "another entry observed the announcement")
	as = as.merge(start, estimated)
	assert.Equal(t, as.pending(1)[0].announced, start.Add(-3*time.Second))
}

func TestTurnsAreSpreadOverWindow(t *testing.T) {
	cfg := Config{}.applyDefaults()
	at := func(a peer.Assignment, earlier, k int) time.Duration {
		as := stateOf(a, earlier)
		return cfg.turnWindowOf(as, as.versions, as.versions[k]).at(a.Turn, a.Turns).Sub(start)
	}
	last := time.Duration(0)
	for turn := range 12 {
		at := at(newAssignment(2, turn, 12), 0, 0)
		assert.Assert(t, at > last || turn == 0)
		last = at
	}
	assert.Equal(t, last, 8*time.Second-cfg.Margin)
	short := newAssignment(2, 1, 2)
	short.TimeoutMs = 1000
	assert.Equal(t, at(short, 0, 0), time.Duration(0), "timeout too short for turns")
	assert.Equal(t, at(newAssignment(2, 0, 1), 0, 0), time.Duration(0), "single engine")
	assert.Equal(t, at(newAssignment(3, 0, 12), 2, 0), cfg.Lead, "window of older version is unchanged")
	assert.Equal(t, at(newAssignment(3, 0, 12), 2, 1), time.Second+cfg.Lead)
	for k := range 2 {
		assert.Equal(t, at(newAssignment(3, 11, 12), 2, k), 8*time.Second-cfg.Margin, "window ends at the deadline of the older version")
	}
}

func TestAssignmentsOfAllEntriesAreMerged(t *testing.T) {
	one := newAssignment(2, 1, 3)
	one.AgeMs = 500
	as := assignmentState{}.merge(start, one)
	two := newAssignment(3, 2, 3)
	two.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 900}}
	as = as.merge(start, two)
	assert.Equal(t, as.Version, 3)
	as = as.merge(start, one)
	assert.Equal(t, as.Version, 3, "an older assignment does not undo a newer one")
	assert.Equal(t, len(as.pending(1)), 2)
	assert.Equal(t, as.pending(1)[0], announcedVersion{version: 2, announced: start.Add(-900 * time.Millisecond)})
	assert.Equal(t, as.pending(1)[1], announcedVersion{version: 3, announced: start})
	assert.Equal(t, len(as.pending(2)), 1)
	assert.Equal(t, len(as.pending(3)), 0)
	two.Entry, two.PiecesUnreadable = "a", true
	as = as.merge(start, two)
	two.Entry, two.PiecesUnreadable = "b", false
	as = as.merge(start, two)
	assert.Assert(t, as.newestUnreadable(), "one entry fails to read the version")
	two.Entry = "a"
	assert.Assert(t, !as.merge(start, two).newestUnreadable())
	other := newAssignment(1, 0, 0)
	other.Model = "other"
	assert.Equal(t, len(as.merge(start, other).versions), 1, "another model resets the versions")
	for v := range 10 {
		as = as.merge(start, newAssignment(v, 0, 0))
	}
	assert.Equal(t, len(as.versions), maxAnnouncedVersions)
}

// An assignment from an entry that does not know the engines yet keeps the turn that other
// entries sent.
func TestAssignmentWithoutTurnsKeepsTurn(t *testing.T) {
	as := assignmentState{}.merge(start, newAssignment(2, 7, 9))
	unknown := newAssignment(2, 0, 0)
	unknown.Entry = "starting"
	as = as.merge(start, unknown)
	assert.Equal(t, as.Turn, 7)
	assert.Equal(t, as.Turns, 9)
	as = as.merge(start, newAssignment(3, 0, 0))
	assert.Equal(t, as.Turns, 0, "turns of another version are not kept")
}

// Guards against all engines being out of use at once, since all agents fence when a version is announced.
func TestFencingOrdersAreSpread(t *testing.T) {
	c := Config{}.applyDefaults()
	for turn, after := range []time.Duration{0, 125 * time.Millisecond, 250 * time.Millisecond, 375 * time.Millisecond} {
		as := stateOf(newAssignment(2, turn, 4), 0)
		h := holdings{inDoubt: inDoubtOrder{open: true}}
		assert.Equal(t, c.Plan(start.Add(after), serving(1), as, h), Step{Fence, 1})
		if turn > 0 {
			assert.Equal(t, c.Plan(start.Add(after-1), serving(1), as, h), Step{Fetch, 2})
		}
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/revision"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func listed(ids ...string) []*fleet.Instance {
	var out []*fleet.Instance
	for _, id := range ids {
		out = append(out, &fleet.Instance{ID: id, Addr: id})
	}
	return out
}

// state returns which instances are in use; the value is true for unlisted ones.
func state(list []*fleet.Instance) map[string]bool {
	out := map[string]bool{}
	for _, i := range list {
		out[i.ID] = i.Unlisted
	}
	return out
}

// The item of a crashed incarnation, that is, run of a target's process, stays in the list
// for seconds after the next one is listed at the same address.
func TestNewerIncarnationReplacesTheOlder(t *testing.T) {
	r := Roster{RetainFor: time.Second}
	old := &fleet.Instance{ID: "old", Addr: "x", Revision: 7}
	got := r.Update(start, []*fleet.Instance{old, {ID: "other", Addr: "y", Revision: 3}}, false, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"old": false, "other": false})
	next := &fleet.Instance{ID: "new", Addr: "x", Revision: 9}
	got = r.Update(start, []*fleet.Instance{old, next}, false, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"new": false, "other": true})
	got = r.Update(start, []*fleet.Instance{next}, false, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"new": false, "other": true}) // the older incarnation is not retained
}

// A restored list shows the incarnation of before as if it were new. The next one, at the same
// address, is missing until it registers again.
func TestRestoredIncarnationDoesNotReplaceALaterOne(t *testing.T) {
	r := Roster{RetainFor: time.Second}
	later := &fleet.Instance{ID: "later", Addr: "x", StartMs: 9000, Revision: revision.New(1, 30)}
	r.Update(start, []*fleet.Instance{later}, false, time.Time{})
	restored := &fleet.Instance{ID: "restored", Addr: "x", StartMs: 1000, Revision: revision.New(2, 10)}
	got := r.Update(start, []*fleet.Instance{restored}, false, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"later": true})
}

func TestVanishedInstanceIsRetained(t *testing.T) {
	r := Roster{RetainFor: time.Second, CatchUp: 3 * time.Second}
	r.Update(start, listed("a", "b"), false, time.Time{})
	got := r.Update(at(0), listed("a"), false, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"a": false, "b": true})
	assert.Assert(t, r.Pending())
	got = r.Update(at(time.Second), listed("a"), false, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"a": false})
	assert.Assert(t, !r.Pending())
}

func TestDrainedInstanceIsDroppedAtOnce(t *testing.T) {
	r := Roster{RetainFor: time.Second, CatchUp: 3 * time.Second}
	list := listed("a", "b")
	list[1].Draining = true
	r.Update(start, list, false, time.Time{})
	assert.DeepEqual(t, state(r.Update(start, listed("a"), false, time.Time{})), map[string]bool{"a": false})
}

// List items expire while the store is unavailable; those of running targets reappear
// within CatchUp.
func TestInstancesSurviveAnOutageOfTheStore(t *testing.T) {
	r := Roster{RetainFor: time.Second, CatchUp: 3 * time.Second}
	r.Update(start, listed("a", "b"), false, time.Time{})
	got := r.Update(at(time.Minute), nil, true, time.Time{})
	assert.DeepEqual(t, state(got), map[string]bool{"a": true, "b": true})
	restored := at(2 * time.Minute)
	got = r.Update(restored.Add(2*time.Second), listed("a"), false, restored)
	assert.DeepEqual(t, state(got), map[string]bool{"a": false, "b": true})
	got = r.Update(restored.Add(3*time.Second), listed("a"), false, restored)
	assert.DeepEqual(t, state(got), map[string]bool{"a": false})
}

// An entry with slow calls to the store may detect short outages again and again while the
// store is available and targets leave for good. A running target is listed again once the
// store has been available for CatchUp; a target that is still missing then has left,
// however often an outage seems to have ended.
func TestFlappingOutagesDoNotRetainATargetThatLeft(t *testing.T) {
	r := Roster{RetainFor: time.Second, CatchUp: 3 * time.Second}
	r.Update(start, listed("a", "b"), false, time.Time{})
	var ended time.Time
	for ms := 0; ms <= 5000; ms += 200 {
		now := at(time.Duration(ms) * time.Millisecond)
		down := ms%1000 == 800
		if ms%1000 == 0 {
			ended = now
		}
		got := state(r.Update(now, listed("a"), down, ended))
		_, kept := got["b"]
		assert.Equal(t, kept, ms < 3600, "after %d ms", ms) // the store was available for 3 s of these
	}
}

package mirror

import (
	"testing"

	"github.com/springgate/springgate/revision"
	"gotest.tools/v3/assert"
)

// withValue returns an event with another value.
func withValue(e Event, value string) Event {
	e.Value = []byte(value)
	return e
}

// followOrRead applies to a copy what another one answers it, or its full copy if the answer says so.
func followOrRead(t *testing.T, from, to *Table) {
	t.Helper()
	b, err := from.Watch(t.Context(), to.Revision(), 0)
	if err == nil && to.Apply(start, b) {
		return
	}
	b, err = from.Range(start)
	assert.NilError(t, err)
	assert.Assert(t, to.Replace(start, b))
}

func TestReadAheadThatWasLostIsReplaced(t *testing.T) {
	r := revision.New
	relay, follower, other := NewTable(""), NewTable(""), NewTable("")
	base := Batch{Events: []Event{withValue(set("a", r(1, 5)), "a")}, Revision: r(1, 30)}
	relay.Replace(start, base)
	follower.Replace(start, base)
	// other saw k at 41
	other.Replace(start, Batch{Events: []Event{withValue(set("a", r(1, 5)), "a"), withValue(set("k", r(1, 41)), "v")}, Revision: r(1, 41)})
	// relay reads in pages: revision 39, up to 42
	relay.Replace(start, Batch{Events: []Event{withValue(set("a", r(1, 5)), "a"), withValue(set("k", r(1, 42)), "w")}, Revision: r(1, 39), MaxRevision: r(1, 42)})
	// store restored to 41
	other.Replace(start, Batch{Events: []Event{withValue(set("a", r(2, 5)), "a"), withValue(set("k", r(2, 41)), "v")}, Revision: r(2, 41)})
	b, err := other.Range(start)
	assert.NilError(t, err)
	relay.Replace(start, b)
	followOrRead(t, relay, follower)
	assert.Equal(t, follower.Revision(), r(2, 41))
	assert.DeepEqual(t, contents(relay), contents(other))
	assert.DeepEqual(t, contents(follower), contents(other))
}

func TestGapAfterARestoreDropsNoLiveKey(t *testing.T) {
	r := revision.New
	a, b, c := NewTable(""), NewTable(""), NewTable("")
	k := func(rev Revision) Event { return withValue(set("k", rev), "v") }
	x := func(rev Revision) Event { return withValue(set("x", rev), "v") }
	a.Replace(start, Batch{Events: []Event{k(r(1, 2))}, Revision: r(1, 4)}) // cut off until later
	// the store is restored; b and c follow it in era 2
	b.Replace(start, Batch{Events: []Event{k(r(2, 2))}, Revision: r(2, 5)})
	c.Replace(start, Batch{Events: []Event{k(r(2, 2))}, Revision: r(2, 5)})
	// k is written again, with the same value, at 7; x at 6
	c.Apply(start, Batch{Events: []Event{x(r(2, 6)), k(r(2, 7))}, Revision: r(2, 7)})
	// a is back and reads the store: its k outlasts
	a.Replace(start, Batch{Events: []Event{k(r(2, 7)), x(r(2, 6))}, Revision: r(2, 8)})
	// b gets the whole copy of a
	whole, err := a.Range(start)
	assert.NilError(t, err)
	b.Replace(start, whole)
	assert.DeepEqual(t, contents(b), map[string]string{"k": "v", "x": "v"})
	// c follows b
	followOrRead(t, b, c)
	assert.Equal(t, c.Revision(), r(2, 8))
	assert.DeepEqual(t, contents(c), map[string]string{"k": "v", "x": "v"})
}

func TestGapAfterARestoreKeepsNoGoneKey(t *testing.T) {
	r := revision.New
	a, b := NewTable(""), NewTable("")
	k := func(rev Revision) Event { return withValue(set("k", rev), "v") }
	x := withValue(set("x", r(2, 1)), "v")
	a.Replace(start, Batch{Events: []Event{k(r(1, 4))}, Revision: r(1, 4)})
	// restored without k; b reads it then
	b.Replace(start, Batch{Events: []Event{x}, Revision: r(2, 1)})
	// k registers again at 2; a reads the store
	a.Replace(start, Batch{Events: []Event{x, k(r(2, 2))}, Revision: r(2, 2)})
	// k leaves at 3; b reads the whole store
	b.Replace(start, Batch{Events: []Event{x}, Revision: r(2, 3)})
	followOrRead(t, b, a)
	assert.Equal(t, a.Revision(), r(2, 3))
	assert.DeepEqual(t, contents(a), contents(b))
}

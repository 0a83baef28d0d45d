package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// follow applies to a copy what another one answers it.
func follow(t *testing.T, from, to *Table) {
	b, err := from.Watch(t.Context(), to.Revision(), 0)
	assert.NilError(t, err)
	to.Apply(start, b)
}

// A source that reads a whole copy, because the store has forgotten its history, tells its
// followers the differences, and these tell theirs.
func TestFollowersReceiveTheDifferencesOfAWholeCopy(t *testing.T) {
	source, follower, second := NewTable(""), NewTable(""), NewTable("")
	before := Batch{Events: []Event{set("a", 5), set("b", 6), set("c", 7)}, Revision: 10}
	for _, c := range []*Table{source, follower, second} {
		c.Replace(start, before)
	}
	source.Replace(start, Batch{Events: []Event{set("a", 5), set("c", 14), set("d", 15)}, Revision: 20})
	follow(t, source, follower)
	follow(t, follower, second)
	for _, c := range []*Table{follower, second} {
		assert.DeepEqual(t, contents(c), map[string]string{"a": "5", "c": "14", "d": "15"})
		assert.Equal(t, c.Revision(), Revision(20))
		assert.Equal(t, c.FullCopies(), int64(1))
	}
}

// A copy within a gap of its source's history may have keys that were created and deleted there,
// which the differences do not show. It drops them, and needs no whole copy; nor does its follower.
// The answer may have been made when the copy was not in the gap yet.
func TestCopyWithinAGapTakesOverTheDifferences(t *testing.T) {
	for name, isLate := range map[string]bool{"prompt answer": false, "late answer": true} {
		t.Run(name, func(t *testing.T) {
			source, follower, second := NewTable(""), NewTable(""), NewTable("")
			before := Batch{Events: []Event{set("a", 5), set("b", 6), set("c", 7), set("deleted at 13", 8)}, Revision: 10}
			for _, c := range []*Table{source, follower, second} {
				c.Replace(start, before)
			}
			source.Replace(start, Batch{Events: []Event{set("a", 5), set("b", 12), set("c", 19)}, Revision: 20})
			answer, err := source.Watch(t.Context(), follower.Revision(), 0)
			assert.NilError(t, err)
			follower.Apply(start, Batch{Events: []Event{set("b", 12), removal("deleted at 13", 13), set("c", 14), set("deleted at 18", 15)}, Revision: 15})
			follow(t, follower, second)
			if !isLate {
				answer, err = source.Watch(t.Context(), follower.Revision(), 0)
				assert.NilError(t, err)
			}
			follower.Apply(start, answer)
			follow(t, follower, second)
			for _, c := range []*Table{follower, second} {
				assert.DeepEqual(t, contents(c), contents(source))
				assert.Equal(t, c.Revision(), Revision(20))
				assert.Equal(t, c.FullCopies(), int64(1))
			}
		})
	}
}

// A source whose copy was read in pages reflects changes beyond its revision, which another copy of
// that revision does not: here two deletions at 22 and 23. If the source reads the next whole copy
// too, it never receives them as changes.
func TestDeletionsReadAheadReachOtherCopiesOfTheRevision(t *testing.T) {
	source, follower, second := NewTable(""), NewTable(""), NewTable("")
	for _, c := range []*Table{source, follower, second} {
		c.Replace(start, Batch{Events: []Event{set("a", 5), set("deleted at 22", 6)}, Revision: 10})
	}
	source.Replace(start, Batch{Events: []Event{set("a", 5)}, Revision: 20, MaxRevision: 25})
	follower.Apply(start, Batch{Events: []Event{set("deleted at 23", 15)}, Revision: 20})
	follow(t, follower, second)
	source.Replace(start, Batch{Events: []Event{set("a", 5), set("d", 28)}, Revision: 30})
	follow(t, source, follower)
	follow(t, follower, second)
	for _, c := range []*Table{follower, second} {
		assert.DeepEqual(t, contents(c), map[string]string{"a": "5", "d": "28"})
		assert.Equal(t, c.Revision(), Revision(30))
		assert.Equal(t, c.FullCopies(), int64(1))
	}
}

// A copy that was read in pages reflects changes beyond its revision. A follower at that revision
// waits for the next change: were these told at once, it would ask for them again without end.
func TestFollowerAtTheRevisionOfItsSourceWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := NewTable("")
		source.Replace(time.Now(), Batch{Events: []Event{set("a", 5)}, Revision: 10})
		source.Replace(time.Now(), Batch{Events: []Event{set("a", 5), set("b", 22)}, Revision: 20, MaxRevision: 25})
		begin := time.Now()
		b, err := source.Watch(t.Context(), 20, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Equal(t, len(b.Events), 0)
	})
}

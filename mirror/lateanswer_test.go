package mirror

import (
	"testing"

	"gotest.tools/v3/assert"
)

// These tests guard against changes that are lost between copies. Responses need not be
// applied in the order in which they were created: a watch, a read because the copy is stale
// and a read from a peer that is ahead may all start at the same revision, and a full copy is
// read in pages, each later than the one before.
//
// A target that was removed between the pages of one entry's full read stayed in the copies of
// two followers of that entry. They sent requests to the target up to 9.7 s after it had left:
// by their age of 0.3 to 0.6 s their copies were current, but they had not received the removal.

// A target's key in the store was changed and then removed. A response that was created between
// these two changes arrived last, and the copy added the target again, permanently because
// no later change of that key follows.
func TestLateAnswerDoesNotBringBackARemovedKey(t *testing.T) {
	table := NewTable("")
	table.Replace(start, Batch{Events: []Event{set("target", 9)}, Revision: 10})
	table.Apply(start, Batch{Events: []Event{set("target", 11), removal("target", 12)}, Revision: 12})
	table.Apply(start, Batch{Events: []Event{set("target", 11)}, Revision: 11})
	assert.DeepEqual(t, contents(table), map[string]string{})
	assert.Equal(t, table.Revision(), Revision(12))
}

// An entry read the full copy in two pages; between them one target announced that it
// leaves and another was removed. The entry's watch from the first page's revision returned
// both changes, which its copy already reflected, so they were missing from the history
// for its followers. A follower whose copy had the first page's revision then never
// received either change, although the age of its copy stayed low.
func TestFollowerReceivesChangesThatItsSourceReadAhead(t *testing.T) {
	before := Batch{Events: []Event{set("a leaving target", 5), set("a removed target", 6), set("config", 9)}, Revision: 10}
	leaving, removed := set("a leaving target", 11), removal("a removed target", 12)
	source, follower := NewTable(""), NewTable("")
	follower.Replace(start, before)
	source.Replace(start, Batch{Events: []Event{leaving, set("config", 9)}, Revision: 10}) // the second page shows the state at revision 12
	source.Apply(start, Batch{Events: []Event{leaving, removed}, Revision: 12})
	b, err := source.Watch(t.Context(), follower.Revision(), 0)
	assert.NilError(t, err)
	follower.Apply(start, b)
	assert.Equal(t, follower.Revision(), Revision(12))
	assert.DeepEqual(t, contents(follower), map[string]string{"a leaving target": "11", "config": "9"})
}

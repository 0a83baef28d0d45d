package mesh

import (
	"testing"
	"time"

	"github.com/springgate/springgate/mirror"
	"gotest.tools/v3/assert"
)

// A difference between two copies must be reported once, and only if it lasts; it stays recorded
// until the copies are equal again.
func TestLastingDifferenceIsReportedOnce(t *testing.T) {
	d := differences{}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	assert.Assert(t, !d.compare(at(0), "a", false))
	assert.Assert(t, !d.compare(at(200), "a", true), "the copies are equal again")
	assert.Assert(t, !d.compare(at(500), "a", false))
	assert.Assert(t, !d.any())
	assert.Assert(t, d.compare(at(2500), "a", false))
	assert.Assert(t, !d.compare(at(3000), "a", false), "reported before")
	assert.Assert(t, d.any())
	assert.Assert(t, !d.compare(at(3500), "a", true))
	assert.Assert(t, !d.any())
}

// The digest depends on the keys and values only, not on the order of the changes.
func TestDigestDistinguishesCopies(t *testing.T) {
	item := func(key string, revision mirror.Revision) mirror.Event {
		return mirror.Event{Item: mirror.Item{Key: key, Value: []byte("v"), Revision: revision}}
	}
	one, other := mirror.NewTable(""), mirror.NewTable("")
	one.Replace(start, mirror.Batch{Events: []mirror.Event{item("a", 1), item("b", 2)}, Revision: 3})
	other.Replace(start, mirror.Batch{Events: []mirror.Event{item("b", 2), item("a", 1), item("c", 3)}, Revision: 3})
	first, _ := one.Digest()
	second, _ := other.Digest()
	assert.Assert(t, first != second)
	removed := mirror.Event{Item: mirror.Item{Key: "c", Revision: 4}, Deleted: true}
	other.Apply(start, mirror.Batch{Events: []mirror.Event{removed}, Revision: 4})
	second, revision := other.Digest()
	assert.Equal(t, first, second)
	assert.Equal(t, revision, mirror.Revision(4))
}

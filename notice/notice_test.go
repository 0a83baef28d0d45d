package notice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start       = time.Unix(1_800_000_000, 0)
	incarnation = Incarnation{Target: "i-1"}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limit(perS float64) Statement { return Statement{Limit: Limit{true, perS}} }

func TestLimitIsRecordedAndLifted(t *testing.T) {
	x := NewTable()
	assert.Assert(t, x.Record(at(10), incarnation, limit(5), at(0)).Limit)
	assert.Assert(t, !x.Record(at(20), incarnation, limit(5), at(15)).Limit, "the limit is unchanged")
	assert.Assert(t, x.Record(at(30), incarnation, limit(1), at(0)).Limit, "a lower limit applies at once")
	assert.Assert(t, x.Record(at(50), incarnation, limit(7), at(40)).Limit)
	assert.Equal(t, x.StateOf(incarnation), State{Limit: Limit{true, 7}, LimitRevision: 3})
	assert.Assert(t, x.Record(at(70), incarnation, Statement{}, at(60)).Limit)
	assert.Equal(t, x.StateOf(incarnation), State{LimitRevision: 4})
}

func TestResponseToEarlierRequestDoesNotLiftLimit(t *testing.T) {
	x := NewTable()
	x.Record(at(10), incarnation, limit(1), at(0))
	assert.Assert(t, !x.Record(at(900), incarnation, Statement{}, at(5)).Limit)
	assert.Assert(t, !x.Record(at(901), incarnation, limit(9), at(10)).Limit)
	assert.Equal(t, x.StateOf(incarnation).Limit, Limit{true, 1})
}

func TestUnreadableLimitChangesNothing(t *testing.T) {
	x := NewTable()
	x.Record(at(10), incarnation, limit(1), at(0))
	assert.Equal(t, x.Record(at(30), incarnation, Statement{LimitUnreadable: true}, at(20)), Change{Unreadable: true})
	assert.Equal(t, x.Record(at(40), incarnation, Statement{LimitUnreadable: true}, at(35)), Change{}, "reported once per incarnation")
	assert.Assert(t, x.Record(at(60), incarnation, Statement{Limit: Limit{true, 0.5}, LimitUnreadable: true}, at(50)).Limit, "one of two limits could be parsed")
}

func TestNewerStateSupersedesOlder(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Record(at(10), incarnation, limit(1), at(0))
	first := a.All()
	assert.Assert(t, b.Merge(at(20), first[0]).Limit)
	assert.Assert(t, b.Record(at(40), incarnation, Statement{}, at(30)).Limit)
	assert.Assert(t, !b.Merge(at(50), first[0]).Limit, "older report received again")
	assert.Assert(t, a.Merge(at(60), b.All()[0]).Limit)
	assert.Equal(t, a.StateOf(incarnation), b.StateOf(incarnation))
	assert.Assert(t, !a.Record(at(70), incarnation, Statement{}, at(65)).Limit)
}

func TestLowerLimitWinsAtEqualRevision(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Record(at(10), incarnation, limit(1), at(0))
	b.Record(at(10), incarnation, limit(3), at(0))
	assert.Assert(t, b.Merge(at(20), a.All()[0]).Limit)
	assert.Assert(t, !a.Merge(at(20), Report{incarnation, State{Limit: Limit{true, 3}, LimitRevision: 1}}).Limit)
	assert.Equal(t, a.StateOf(incarnation), b.StateOf(incarnation))
}

// State of an earlier incarnation does not apply to a later incarnation, even if that state
// arrives after the later incarnation is known.
func TestStateEndsWithTheIncarnation(t *testing.T) {
	first, second := Incarnation{"i-1", 1000}, Incarnation{"i-1", 2000}
	x := NewTable()
	x.Record(at(10), first, limit(1), at(0))
	assert.Equal(t, x.StateOf(second), State{})
	assert.Assert(t, x.Record(at(20), second, limit(4), at(15)).Limit)
	assert.Assert(t, !x.Record(at(30), first, limit(1), at(5)).Limit)
	assert.Assert(t, !x.Merge(at(30), Report{first, State{Limit: Limit{true, 1}, LimitRevision: 9}}).Limit)
	assert.Equal(t, x.StateOf(second).Limit, Limit{true, 4})
	assert.Equal(t, x.StateOf(first), State{})
}

func TestUnlistedTargetIsRetained(t *testing.T) {
	x := NewTable()
	x.Record(at(0), incarnation, limit(1), at(0))
	all, none := func(string) bool { return true }, func(string) bool { return false }
	x.Prune(at(10), all)
	x.Prune(at(5000), none)
	assert.Assert(t, x.StateOf(incarnation).Limit.Declared)
	x.Prune(at(10).Add(unlistedRetention), none)
	assert.Equal(t, x.StateOf(incarnation), State{})
}

// Within one incarnation, neither a later response nor an older state of another entry clears
// Leaving.
func TestLeavingIsPermanent(t *testing.T) {
	first, second := Incarnation{"i-1", 1000}, Incarnation{"i-1", 2000}
	x, other := NewTable(), NewTable()
	other.Record(at(5), first, limit(3), at(0))
	assert.Assert(t, x.Record(at(10), first, Statement{Leaving: true}, at(0)).Leaving)
	assert.Assert(t, !x.Record(at(30), first, Statement{}, at(20)).Leaving)
	x.Merge(at(40), other.All()[0])
	assert.Equal(t, x.StateOf(first), State{Limit: Limit{true, 3}, LimitRevision: 1, Leaving: true})
	assert.Assert(t, other.Merge(at(50), x.All()[0]).Leaving)
	assert.Equal(t, other.StateOf(first), x.StateOf(first))
	assert.Assert(t, !x.StateOf(second).Leaving, "the next incarnation serves")
}

func TestTargetWithoutStatementsIsNotRecorded(t *testing.T) {
	x := NewTable()
	assert.Equal(t, x.Record(at(10), incarnation, Statement{}, at(0)), Change{})
	assert.Equal(t, len(x.records), 0)
}

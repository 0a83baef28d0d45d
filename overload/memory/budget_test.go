package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	kib = int64(1 << 10)
	mib = int64(1 << 20)
)

var start = time.Unix(1, 0)

func ignore() {}

// reserve reserves bytes for a team and requires the verdict.
func reserve(t *testing.T, b *Budget, now time.Time, team string, n int64, want Verdict) *Holding {
	t.Helper()
	h, v := b.Reserve(now, team, n, ignore)
	assert.Equal(t, v, want)
	return h
}

func TestSmallRequestsKeepAPart(t *testing.T) {
	b := New(Config{Bytes: 40 * mib, TeamFactor: 1000})
	for range 29 {
		reserve(t, b, start, "big", mib, Granted)
	}
	reserve(t, b, start, "big", mib, OverShare)
	reserve(t, b, start, "other", 2*mib, NoRoom)
	for range 10 * 16 {
		reserve(t, b, start, "small", 64*kib, Granted)
	}
	assert.DeepEqual(t, b.Usage(), Usage{Budget: 40 * mib, Small: 10 * mib, Large: 29 * mib, LargeLimit: 30 * mib})
}

func TestSmallRequestsUseWhatLargeOnesLeave(t *testing.T) {
	b := New(Config{Bytes: 4 * mib})
	for range 4 * 16 {
		reserve(t, b, start, "", 64*kib, Granted)
	}
	reserve(t, b, start, "", 1, NoRoom)
	reserve(t, b, start, "", mib, NoRoom)
}

func TestATeamAloneLeavesRoomForOthers(t *testing.T) {
	b := New(Config{Bytes: 40 * mib})
	for range 20 {
		reserve(t, b, start, "one", mib, Granted)
	}
	reserve(t, b, start, "one", mib, OverShare)
	reserve(t, b, start, "two", mib, Granted)
	reserve(t, b, start, "two", 4*mib, Granted)
}

func TestAHoldingThatGrowsBecomesLarge(t *testing.T) {
	b := New(Config{Bytes: 4 * mib})
	h := reserve(t, b, start, "one", 60*kib, Granted)
	assert.Equal(t, b.Grow(start, h, 100*kib), Granted)
	assert.Equal(t, b.Usage().Large, 160*kib)
	assert.Equal(t, b.Usage().Small, int64(0))
	assert.Equal(t, b.Grow(start, h, 8*mib), NoRoom)
	assert.Equal(t, b.Usage().Large, 160*kib, "a refusal changes nothing")
	b.Shrink(h, 100*kib)
	assert.Equal(t, b.Usage().Small, 60*kib)
	b.Release(h)
	assert.Equal(t, b.Usage().Small, int64(0))
}

// stalling reserves bytes for a request that waits for its caller from now on.
func stalling(t *testing.T, b *Budget, now time.Time, team string, n int64, end func()) *Holding {
	t.Helper()
	h, v := b.Reserve(now, team, n, end)
	assert.Equal(t, v, Granted)
	assert.Assert(t, b.Await(now, h))
	return h
}

func TestCallersThatStoodStillLongestAreEndedFirst(t *testing.T) {
	b := New(Config{Bytes: 8 * mib, TeamFactor: 1000})
	var ended []string
	end := func(name string) func() { return func() { ended = append(ended, name) } }
	first := stalling(t, b, start, "a", mib, end("first"))
	second := stalling(t, b, start, "a", mib, end("second"))
	third := stalling(t, b, start.Add(time.Second), "a", 3*mib, end("third"))

	b.Progress(start.Add(500*time.Millisecond), second, 100) // too little to count
	b.Progress(start.Add(1500*time.Millisecond), first, 4*kib)
	reserve(t, b, start.Add(1900*time.Millisecond), "b", 2*mib, NoRoom)
	assert.Equal(t, len(ended), 0, "none has stood still for 2 s")
	reserve(t, b, start.Add(2*time.Second), "b", 2*mib, NoRoom)
	assert.DeepEqual(t, ended, []string{"second"})
	assert.Assert(t, !b.Proceed(second))
	assert.Assert(t, !b.Await(start.Add(2*time.Second), second))
	b.Release(second)
	reserve(t, b, start.Add(2*time.Second), "b", mib, Granted)

	reserve(t, b, start.Add(3500*time.Millisecond), "b", 4*mib, NoRoom)
	assert.DeepEqual(t, ended, []string{"second", "third", "first"})
	b.Release(third)
	assert.Assert(t, !b.Proceed(first))
}

func TestNobodyIsEndedWhileThereIsRoom(t *testing.T) {
	b := New(Config{Bytes: 8 * mib})
	h := stalling(t, b, start, "a", mib, func() { t.Error("ended") })
	reserve(t, b, start.Add(time.Hour), "b", mib, Granted)
	assert.Assert(t, b.Proceed(h))
}

// A small request doesn't help a large one while it keeps to the part of small ones.
func TestSmallRequestsAreNotEndedForLargeOnes(t *testing.T) {
	b := New(Config{Bytes: 8 * mib, TeamFactor: 1000})
	stalling(t, b, start, "a", 60*kib, func() { t.Error("ended") })
	reserve(t, b, start, "a", 5*mib, Granted)
	reserve(t, b, start.Add(3*time.Second), "b", 2*mib, NoRoom)
}

// Callers that stand still with small requests are ended several at once, so that others are served
// and not each refused first.
func TestHeadroomIsMade(t *testing.T) {
	b := New(Config{Bytes: 4 * mib})
	var ended []*Holding
	for range 4 * 16 {
		var h *Holding
		h = stalling(t, b, start, "", 64*kib, func() { ended = append(ended, h) })
	}
	reserve(t, b, start.Add(2*time.Second), "", 32*kib, NoRoom)
	assert.Equal(t, len(ended), 4, "a sixteenth of the budget")
	for _, h := range ended {
		b.Release(h)
	}
	for range 8 {
		reserve(t, b, start.Add(2*time.Second), "", 32*kib, Granted)
	}
	assert.Assert(t, len(ended) > 4)
}

// A request that finds room makes room too for what was refused before it.
func TestRoomIsMadeWhileItIsShort(t *testing.T) {
	b := New(Config{Bytes: 8 * mib, TeamFactor: 1000})
	ended := 0
	stalling(t, b, start, "a", 5*mib, func() { ended++ })
	reserve(t, b, start.Add(time.Second), "b", 2*mib, NoRoom)
	reserve(t, b, start.Add(2*time.Second), "b", kib, Granted)
	assert.Equal(t, ended, 1)
}

func TestTeamOverItsShareEndsOnlyItsOwnRequests(t *testing.T) {
	b := New(Config{Bytes: 8 * mib})
	stalling(t, b, start, "small", mib, func() { t.Error("the other team's request was ended") })
	ended := 0
	stalling(t, b, start, "big", 3*mib, func() { ended++ })
	reserve(t, b, start.Add(3*time.Second), "big", mib, OverShare)
	assert.Equal(t, ended, 1)
}

func TestShortageIsReportedOnce(t *testing.T) {
	b := New(Config{Bytes: mib})
	change := func(now time.Time) Change {
		c, _ := b.ShortageChange(now)
		return c
	}
	assert.Equal(t, change(start), Unchanged)
	reserve(t, b, start, "", 2*mib, NoRoom)
	assert.Equal(t, change(start), ShortageBegan)
	reserve(t, b, start.Add(time.Second), "", 2*mib, NoRoom)
	assert.Equal(t, change(start.Add(5*time.Second)), Unchanged)
	c, s := b.ShortageChange(start.Add(6 * time.Second))
	assert.Equal(t, c, ShortageEnded)
	assert.Equal(t, s.Refused, 2)
	assert.Equal(t, s.Since, start)
	assert.Equal(t, change(start.Add(7*time.Second)), Unchanged)
}

func TestSizeLeavesRoomForTheProcess(t *testing.T) {
	assert.Equal(t, Size(0), int64(0), "without a known limit there is no budget")
	for _, limit := range []int64{16 * mib, 64 * mib, 110 * mib, 400 * mib} {
		size := Size(limit)
		assert.Assert(t, size > 0 && size < limit, "%d of %d", size, limit)
	}
	assert.Equal(t, Size(178*mib), 100*mib)
}

func BenchmarkRequest(b *testing.B) {
	budget := New(Config{Bytes: 48 * mib})
	for b.Loop() {
		h, _ := budget.Reserve(start, "team", 28*kib, ignore)
		budget.Await(start, h)
		budget.Progress(start, h, 4*kib)
		budget.Proceed(h)
		budget.Release(h)
	}
}

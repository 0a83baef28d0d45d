package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const simSlots = 24 // 240 requests per second of meanWork

// ranked returns callers of three ranks, of which the last asks for most, at a load relative to
// the room of simSlots.
func ranked(load float64) []callers {
	scale := load * 240 / 380
	return []callers{
		{class: Class{0, "a"}, perSecond: 90 * scale, entry: -1},
		{class: Class{1, "b"}, perSecond: 90 * scale, entry: -1},
		{class: Class{2, "c"}, perSecond: 200 * scale, entry: -1},
	}
}

// play runs a load until levels have settled and then counts for 10 s.
func play(seed uint64, entries int, list []callers) *fleet {
	return playFleet(newFleet(seed, entries, simSlots, list...))
}

func playFleet(f *fleet) *fleet {
	f.run(3 * time.Second)
	f.window(10 * time.Second)
	return f
}

// Parts of the requests of the two most urgent ranks that are served where they fit beside what the
// others keep.
const (
	wantFirst  = 0.95
	wantSecond = 0.9
)

// checkLastRank checks that the last rank is served at least a third as often as all, which is the
// part that each rank keeps.
func checkLastRank(t assert.TestingT, f *fleet) {
	last := len(f.callers) - 1
	all := f.servedAll(0, last+1)
	assert.Check(t, f.served(last) >= all*defaultKeep, "rank %d: %.3f of all: %.3f", last, f.served(last), all)
}

func TestRanks(t *testing.T) {
	for _, test := range []struct {
		load float64
		want []float64 // least part served, by rank
	}{
		{0.8, []float64{0.99, 0.99, 0.99}},
		{1.2, []float64{wantFirst, wantSecond, 0.5}},
		{1.6, []float64{wantFirst, wantSecond, 0.2}},
		{3, []float64{wantFirst, 0.12, 0.08}}, // rank 0 asks for all that others do not keep
	} {
		for _, entries := range []int{1, 2, 13} {
			t.Run(fmt.Sprint(test.load, " at ", entries), func(t *testing.T) {
				f := newFleet(1, entries, simSlots, ranked(test.load)...)
				f.run(3 * time.Second)
				f.window(20 * time.Second)
				t.Logf("served %.3f %.3f %.3f, %.3f of the slots used", f.served(0), f.served(1), f.served(2), f.utilization())
				for i, want := range test.want {
					assert.Check(t, f.served(i) >= want, "rank %d: %.3f", i, f.served(i))
				}
				checkLastRank(t, f)
				assert.Check(t, f.utilization() >= min(0.95, 0.95*test.load))
			})
		}
	}
}

// TestOrderOfArrival shows what ranks get without a controller.
func TestOrderOfArrival(t *testing.T) {
	f := newFleet(1, 2, simSlots, ranked(1.6)...)
	f.entries = make([]*Controller, 2)
	playFleet(f)
	t.Logf("served %.3f %.3f %.3f", f.served(0), f.served(1), f.served(2))
	assert.Check(t, f.served(0) < 0.7)
}

// oneLargeTeam returns a team that asks for five times the room, and small ones that ask for 0.4
// of it together.
func oneLargeTeam(small int) []callers {
	list := []callers{{class: Class{0, "large"}, perSecond: 5 * 240, entry: -1}}
	for i := range small {
		list = append(list, callers{class: Class{0, fmt.Sprint("team-", i)}, perSecond: 100 / float64(small), entry: -1})
	}
	return list
}

func TestOneLargeTeam(t *testing.T) {
	for _, small := range []int{4, 24, 300} {
		for _, entries := range []int{1, 2, 13} {
			t.Run(fmt.Sprint(small, " at ", entries), func(t *testing.T) {
				f := play(1, entries, oneLargeTeam(small))
				t.Logf("served: large %.3f, small %.3f", f.served(0), f.servedAll(1, len(f.callers)))
				assert.Check(t, f.servedAll(1, len(f.callers)) >= 0.9)
				assert.Check(t, f.served(0) >= 0.09) // what the others leave is 0.117
			})
		}
	}
}

// TestManyEqualTeams checks that teams that each send a request now and then are served alike and
// use the room.
func TestManyEqualTeams(t *testing.T) {
	for _, teams := range []int{4, 24, 300} {
		for _, entries := range []int{1, 2, 13} {
			t.Run(fmt.Sprint(teams, " at ", entries), func(t *testing.T) {
				var list []callers
				for i := range teams {
					list = append(list, callers{class: Class{0, fmt.Sprint("team-", i)}, perSecond: 480 / float64(teams), entry: -1})
				}
				f := play(1, entries, list)
				quarter := teams / 4
				t.Logf("served %.3f, %.3f of the slots used", f.servedAll(0, teams), f.utilization())
				for i := range 4 {
					assert.Check(t, f.servedAll(i*quarter, (i+1)*quarter) >= 0.4)
				}
				assert.Check(t, f.utilization() >= 0.95)
			})
		}
	}
}

// TestTeamLargeAtOneEntry checks that the share of a team counts at all entries together.
func TestTeamLargeAtOneEntry(t *testing.T) {
	list := []callers{{class: Class{0, "moved"}, perSecond: 200, entry: 0}, {class: Class{0, "large"}, perSecond: 400, entry: -1}}
	for i := range 4 {
		list = append(list, callers{class: Class{0, fmt.Sprint("team-", i)}, perSecond: 25, entry: 1})
	}
	f := play(1, 4, list)
	t.Logf("served: moved %.3f, large %.3f, small %.3f", f.served(0), f.served(1), f.servedAll(2, 6))
	assert.Check(t, f.servedAll(2, 6) >= 0.9)
	moved, large := 200*f.served(0), 400*f.served(1)
	assert.Check(t, moved > 0.8*large && moved < 1.25*large, "%.0f and %.0f requests per second", moved, large)
}

// TestBursts lets one rank ask for more for 5 s in a service that has room otherwise.
func TestBursts(t *testing.T) {
	for _, test := range []struct {
		rank   int
		factor float64
		want   []float64
	}{
		{2, 2.6, []float64{wantFirst, wantSecond, 0.4}},
		{0, 1.6, []float64{wantFirst, wantSecond, 0.5}},
	} {
		t.Run(fmt.Sprint("rank ", test.rank), func(t *testing.T) {
			list := ranked(0.85)
			list[test.rank].factor = func(since time.Duration) float64 {
				if since >= 5*time.Second && since < 10*time.Second {
					return test.factor
				}
				return 1
			}
			f := newFleet(1, 2, simSlots, list...)
			f.run(5 * time.Second)
			f.window(5 * time.Second)
			t.Logf("served %.3f %.3f %.3f", f.served(0), f.served(1), f.served(2))
			for i, want := range test.want {
				assert.Check(t, f.served(i) >= want, "rank %d: %.3f", i, f.served(i))
			}
			f.run(3 * time.Second)
			assert.Check(t, f.limited() == 0)
		})
	}
}

// TestLargeAndSmallRequests checks that requests of a class are admitted alike, whatever their size.
func TestLargeAndSmallRequests(t *testing.T) {
	list := []callers{
		{class: Class{0, "a"}, perSecond: 100, entry: -1},
		{class: Class{1, "b"}, perSecond: 300, work: 0.05, entry: -1},
		{class: Class{1, "b"}, perSecond: 30, work: 0.5, entry: -1},
	}
	f := play(1, 2, list)
	t.Logf("served: urgent %.3f, small %.3f, large %.3f", f.served(0), f.served(1), f.served(2))
	assert.Check(t, f.served(0) >= wantFirst)
	assert.Check(t, f.served(2) > 0.8*f.served(1) && f.served(2) < 1.2*f.served(1))
}

// TestCallersThatReturnAtOnce checks that callers that do not wait before they return do not take
// the room of those who do.
func TestCallersThatReturnAtOnce(t *testing.T) {
	list := ranked(1.4)
	list[2].atOnce = true
	f := play(1, 2, list)
	t.Logf("served %.3f %.3f %.3f", f.served(0), f.served(1), f.served(2))
	assert.Check(t, f.served(0) >= wantFirst)
	assert.Check(t, f.served(1) >= 0.9)
	assert.Check(t, f.served(2) >= 0.15)
}

// TestLongWaits lets admitted requests wait longer than entries do for usual objectives. Changes of the
// level then show their effect late.
func TestLongWaits(t *testing.T) { checkLongWaits(t, 500*time.Millisecond) }

func TestWaitsOfOneSecond(t *testing.T) { checkLongWaits(t, time.Second) }

func checkLongWaits(t *testing.T, wait time.Duration) {
	for _, entries := range []int{1, 2} {
		t.Run(fmt.Sprint("at ", entries), func(t *testing.T) {
			f := newFleet(1, entries, simSlots, ranked(1.6)...)
			f.wait = wait
			playFleet(f)
			t.Logf("served %.3f %.3f %.3f, %.3f of the slots used", f.served(0), f.served(1), f.served(2), f.utilization())
			assert.Check(t, f.served(0) >= wantFirst)
			assert.Check(t, f.served(1) >= wantSecond)
			checkLastRank(t, f)
			assert.Check(t, f.utilization() >= 0.95)
		})
	}
}

// TestRoomHalvesAndDoubles checks both steps 2 s later.
func TestRoomHalvesAndDoubles(t *testing.T) {
	checkRoomHalvesAndDoubles(t, newFleet(1, 2, simSlots, ranked(1.2)...), 2*time.Second)
}

// TestRoomHalvesAndDoublesUnseen is the same while the utilization is not known. The second step is
// then checked 4 s later.
func TestRoomHalvesAndDoublesUnseen(t *testing.T) {
	f := newFleet(1, 2, simSlots, ranked(1.2)...)
	f.blind = true
	checkRoomHalvesAndDoubles(t, f, 4*time.Second)
}

func checkRoomHalvesAndDoubles(t *testing.T, f *fleet, growth time.Duration) {
	f.slots = func(since time.Duration) int {
		if since >= 6*time.Second && since < 12*time.Second {
			return simSlots / 2
		}
		return simSlots
	}
	f.run(8 * time.Second)
	f.window(4 * time.Second)
	t.Logf("half the room: served %.3f %.3f %.3f, %.3f used", f.served(0), f.served(1), f.served(2), f.utilization())
	assert.Check(t, f.served(0) >= wantFirst)
	checkLastRank(t, f)
	assert.Check(t, f.utilization() >= 0.95)
	f.run(growth)
	f.window(4 * time.Second)
	t.Logf("doubled again: served %.3f %.3f %.3f, %.3f used", f.served(0), f.served(1), f.served(2), f.utilization())
	assert.Check(t, f.served(0) >= wantFirst)
	assert.Check(t, f.served(1) >= wantSecond)
	checkLastRank(t, f)
	assert.Check(t, f.utilization() >= 0.95)
}

// newSteppedFleet returns a fleet at 0.7 times its room. From 2 s to 8 s the load is overload times the
// room, because the room shrinks or callers ask for more.
func newSteppedFleet(seed uint64, entries int, overload float64, ofRoom bool) *fleet {
	const load = 0.7
	step := func(since time.Duration) float64 {
		if since >= 2*time.Second && since < 8*time.Second {
			return overload / load
		}
		return 1
	}
	f := newFleet(seed, entries, 2*simSlots, ranked(2*load)...)
	if ofRoom {
		f.slots = func(since time.Duration) int { return int(2 * simSlots / step(since)) }
		return f
	}
	for i := range f.callers {
		f.callers[i].factor = step
	}
	return f
}

// TestLevelsSettle checks that 2 s after a step of the load or of the room the room is used and
// shared, and that no level remains 3 s after the overload has ended, which is when the last callers
// that were refused have returned.
func TestLevelsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		overload := rapid.Float64Range(1.3, 3).Draw(t, "overload")
		ofRoom := rapid.Bool().Draw(t, "of_room")
		f := newSteppedFleet(rapid.Uint64Range(1, 1000).Draw(t, "seed"), entries, overload, ofRoom)
		f.run(4 * time.Second)
		f.window(4 * time.Second)
		assert.Assert(t, f.utilization() >= 0.85, "%.3f of the slots used", f.utilization())
		for i := range 2 {
			assert.Assert(t, f.served(i) >= f.served(i+1)-0.05, "rank %d: %.3f, rank %d: %.3f", i, f.served(i), i+1, f.served(i+1))
		}
		all := f.servedAll(0, 3)
		margin := 2 * math.Sqrt(all*defaultKeep/float64(f.tallies[2].arrived)) // by chance, in a sample of this size
		assert.Assert(t, f.served(2) >= all*defaultKeep-margin, "rank 2: %.3f of all: %.3f", f.served(2), all)
		if overload <= 1.6 { // the largest load of TestRanks at which both fit
			assert.Assert(t, f.served(0) >= wantFirst && f.served(1) >= wantSecond, "rank 0: %.3f, rank 1: %.3f", f.served(0), f.served(1))
		}
		f.run(maxReturn + 3*time.Second)
		assert.Assert(t, f.limited() == 0, "a level remains")
	})
}

// TestRoomIsUsedAfterSteps checks that levels are work-conserving 2 s after a step.
func TestRoomIsUsedAfterSteps(t *testing.T) {
	for _, ofRoom := range []bool{false, true} {
		for _, overload := range []float64{1.3, 2, 3} {
			for _, entries := range []int{1, 2, 4} {
				t.Run(fmt.Sprint(overload, " at ", entries, " of room ", ofRoom), func(t *testing.T) {
					for seed := range uint64(4) {
						f := newSteppedFleet(seed, entries, overload, ofRoom)
						f.run(4 * time.Second)
						f.window(4 * time.Second)
						assert.Check(t, f.utilization() >= 0.95, "seed %d: %.3f of the slots used", seed, f.utilization())
					}
				})
			}
		}
	}
}

package overload

import (
	"fmt"
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

// TestRanks places admitted requests in the order of arrival, so that what is admitted beyond the
// room is lost by all ranks alike.
func TestRanks(t *testing.T) {
	for _, test := range []struct {
		load float64
		want []float64 // least part served, by rank
	}{
		{0.8, []float64{0.99, 0.99, 0.99}},
		{1.2, []float64{0.93, 0.9, 0.5}},
		{1.6, []float64{0.93, 0.85, 0.2}},
		{3, []float64{0.85, 0.12, 0.08}}, // rank 0 asks for all that others do not keep
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
				assert.Check(t, f.utilization() >= min(0.95, 0.95*test.load))
			})
		}
	}
}

// TestRanksPlacedInOrder is like TestRanks with requests that wait for a place in the order of rank,
// as entries do.
func TestRanksPlacedInOrder(t *testing.T) {
	for _, load := range []float64{1.2, 1.6} {
		for _, entries := range []int{1, 2, 13} {
			t.Run(fmt.Sprint(load, " at ", entries), func(t *testing.T) {
				f := newFleet(1, entries, simSlots, ranked(load)...)
				f.byRank = true
				playFleet(f)
				t.Logf("served %.3f %.3f %.3f, %.3f of the slots used", f.served(0), f.served(1), f.served(2), f.utilization())
				assert.Check(t, f.served(0) >= 0.95)
				assert.Check(t, f.served(1) >= 0.9)
				assert.Check(t, f.served(2) >= 0.18)
				assert.Check(t, f.utilization() >= 0.94)
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
		{2, 2.6, []float64{0.92, 0.9, 0.4}},
		{0, 1.6, []float64{0.92, 0.9, 0.5}},
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
	assert.Check(t, f.served(0) >= 0.94)
	assert.Check(t, f.served(2) > 0.8*f.served(1) && f.served(2) < 1.2*f.served(1))
}

// TestCallersThatReturnAtOnce checks that callers that do not wait before they return do not take
// the room of those who do.
func TestCallersThatReturnAtOnce(t *testing.T) {
	list := ranked(1.4)
	list[2].atOnce = true
	f := play(1, 2, list)
	t.Logf("served %.3f %.3f %.3f", f.served(0), f.served(1), f.served(2))
	assert.Check(t, f.served(0) >= 0.94)
	assert.Check(t, f.served(1) >= 0.9)
	assert.Check(t, f.served(2) >= 0.15)
}

// TestLongWaits lets admitted requests wait longer than entries do for usual objectives. Changes of the
// level then show their effect late.
func TestLongWaits(t *testing.T) {
	for _, wait := range []time.Duration{500 * time.Millisecond, time.Second} {
		for _, entries := range []int{1, 2} {
			t.Run(fmt.Sprint(wait, " at ", entries), func(t *testing.T) {
				f := newFleet(1, entries, simSlots, ranked(1.6)...)
				f.wait = wait
				f.run(3 * time.Second)
				f.window(10 * time.Second)
				t.Logf("served %.3f %.3f %.3f, %.3f of the slots used", f.served(0), f.served(1), f.served(2), f.utilization())
				assert.Check(t, f.served(0) >= 0.88)
				assert.Check(t, f.served(1) >= 0.8)
				assert.Check(t, f.served(2) >= 0.15)
				assert.Check(t, f.utilization() >= 0.95)
			})
		}
	}
}

// TestRoomHalvesAndDoubles checks both steps 2 s later, the second one 4 s later if the utilization is
// not known.
func TestRoomHalvesAndDoubles(t *testing.T) {
	for _, blind := range []bool{false, true} {
		t.Run(fmt.Sprint("utilization unknown ", blind), func(t *testing.T) {
			f := newFleet(1, 2, simSlots, ranked(1.2)...)
			f.blind = blind
			f.slots = func(since time.Duration) int {
				if since >= 6*time.Second && since < 12*time.Second {
					return simSlots / 2
				}
				return simSlots
			}
			f.run(8 * time.Second)
			f.window(4 * time.Second)
			t.Logf("half the room: served %.3f %.3f %.3f, %.3f used", f.served(0), f.served(1), f.served(2), f.utilization())
			assert.Check(t, f.served(0) >= 0.9)
			assert.Check(t, f.served(2) >= 0.08)
			assert.Check(t, f.utilization() >= 0.85)
			f.run(2 * time.Second)
			if blind {
				f.run(2 * time.Second)
			}
			f.window(4 * time.Second)
			t.Logf("doubled again: served %.3f %.3f %.3f, %.3f used", f.served(0), f.served(1), f.served(2), f.utilization())
			assert.Check(t, f.served(0) >= 0.9)
			assert.Check(t, f.utilization() >= 0.85)
		})
	}
}

// TestLevelsSettle checks that 2 s after a step of the load or of the room the room is used and
// shared, and that no level remains 3 s after the overload has ended, which is when the last callers
// that were refused have returned.
func TestLevelsSettle(t *testing.T) {
	const load = 0.7
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		step := rapid.Float64Range(1.3, 3).Draw(t, "overload") / load
		ofRoom := rapid.Bool().Draw(t, "of_room")
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		overloaded := func(since time.Duration) bool { return since >= 2*time.Second && since < 8*time.Second }
		f := newFleet(seed, entries, 2*simSlots, ranked(2*load)...)
		for i := range f.callers {
			f.callers[i].factor = func(since time.Duration) float64 {
				if !ofRoom && overloaded(since) {
					return step
				}
				return 1
			}
		}
		f.slots = func(since time.Duration) int {
			if ofRoom && overloaded(since) {
				return int(2 * simSlots / step)
			}
			return 2 * simSlots
		}
		f.run(4 * time.Second)
		f.window(4 * time.Second)
		assert.Assert(t, f.utilization() >= 0.85, "%.3f of the slots used", f.utilization())
		for i := range 2 {
			assert.Assert(t, f.served(i) >= f.served(i+1)-0.1, "rank %d: %.3f, rank %d: %.3f", i, f.served(i), i+1, f.served(i+1))
		}
		assert.Assert(t, f.served(2) > 0, "the last rank is shut out")
		f.run(maxReturn + 3*time.Second)
		assert.Assert(t, f.limited() == 0, "a level remains")
	})
}

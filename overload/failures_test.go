package overload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleets are simulated with different seeds, so that the parts served in a short time are not by
// chance.
type fleets []*fleet

// overloadedFleets returns fleets at 1.5 times their room whose levels have settled.
func overloadedFleets(entries int) fleets {
	var list fleets
	for seed := range uint64(4) {
		f := newFleet(seed, entries, simSlots, ranked(1.5)...)
		f.run(5 * time.Second)
		list = append(list, f)
	}
	return list
}

func (l fleets) each(do func(*fleet)) {
	for _, f := range l {
		do(f)
	}
}

func (l fleets) run(d time.Duration)    { l.each(func(f *fleet) { f.run(d) }) }
func (l fleets) window(d time.Duration) { l.each(func(f *fleet) { f.window(d) }) }

func (l fleets) checkRanksServed(t *testing.T) {
	t.Helper()
	var served [3]float64
	var used float64
	for _, f := range l {
		for i := range served {
			served[i] += f.served(i) / float64(len(l))
		}
		used += f.utilization() / float64(len(l))
	}
	t.Logf("served %.3f, %.3f used", served, used)
	assert.Check(t, served[0] >= 0.9)
	assert.Check(t, served[1] >= 0.85)
	assert.Check(t, served[2] >= 0.15)
	assert.Check(t, used >= 0.9)
}

// checkEntries checks from how many entries the level of an entry comes.
func (l fleets) checkEntries(t *testing.T, entry, want int) {
	t.Helper()
	l.each(func(f *fleet) { assert.Equal(t, f.entries[entry].Levels(f.now)[0].Entries, want) })
}

// TestEntryDies lets an entry die, whose callers go to the others at once.
func TestEntryDies(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		t.Run(fmt.Sprint("noticed ", noticed), func(t *testing.T) {
			l := overloadedFleets(3)
			l.each(func(f *fleet) {
				f.dead[1] = true
				if noticed {
					f.entries[0].Forget("entry-1")
					f.entries[2].Forget("entry-1")
				}
			})
			l.window(2 * time.Second)
			l.checkRanksServed(t)
			l.run(time.Second)
			l.window(4 * time.Second)
			l.checkRanksServed(t)
			l.checkEntries(t, 0, 2)
		})
	}
}

// TestEntryUnheard cuts an entry off from the others for 5 s, but not from the targets.
func TestEntryUnheard(t *testing.T) {
	l := overloadedFleets(3)
	l.each(func(f *fleet) { f.unheard[1] = true })
	l.window(5 * time.Second)
	l.checkRanksServed(t)
	l.checkEntries(t, 1, 1)
	l.each(func(f *fleet) { f.unheard[1] = false })
	l.run(time.Second)
	l.window(4 * time.Second)
	l.checkRanksServed(t)
	l.checkEntries(t, 1, 3)
}

// TestRestartOfAll restarts all entries under load: no level is held before requests find no place.
func TestRestartOfAll(t *testing.T) {
	l := overloadedFleets(3)
	l.each(func(f *fleet) {
		for i := range f.entries {
			f.entries[i] = NewController(Config{})
		}
		f.running, f.waiting = nil, nil
		assert.Equal(t, f.limited(), 0)
	})
	l.run(2 * time.Second)
	l.window(4 * time.Second)
	l.checkRanksServed(t)
}

// TestEntryRestarts restarts one entry while the others hold levels.
func TestEntryRestarts(t *testing.T) {
	for _, entries := range []int{2, 13} {
		t.Run(fmt.Sprint("of ", entries), func(t *testing.T) {
			l := overloadedFleets(entries)
			l.each(func(f *fleet) { f.entries[1] = NewController(Config{}) })
			l.run(2 * time.Second)
			l.window(4 * time.Second)
			l.checkRanksServed(t)
			l.each(func(f *fleet) { assert.Equal(t, f.limited(), entries) })
		})
	}
}

// TestAllPowerLost lets all targets fail for 4 s. The level does not outlive the failure.
func TestAllPowerLost(t *testing.T) {
	l := overloadedFleets(2)
	l.each(func(f *fleet) {
		back := f.since() + 4*time.Second
		f.slots = func(since time.Duration) int {
			if since < back {
				return 0
			}
			return simSlots
		}
	})
	l.run(6 * time.Second)
	l.window(4 * time.Second)
	l.checkRanksServed(t)
}

// TestEarlierRelease has entries that admit all requests and report nothing. Callers of the others
// still get a considerable part of what they would get without a level.
func TestEarlierRelease(t *testing.T) {
	for _, test := range []struct {
		entries, earlier int
		want             float64 // served of all callers
	}{{4, 1, 0.45}, {4, 2, 0.35}, {4, 3, 0.3}} {
		t.Run(fmt.Sprint(test.earlier, " of ", test.entries), func(t *testing.T) {
			f := newFleet(1, test.entries, simSlots, ranked(1.5)...)
			for i := range test.earlier {
				f.entries[test.entries-1-i] = nil
			}
			f.run(3 * time.Second)
			f.window(10 * time.Second)
			t.Logf("served %.3f %.3f %.3f, %.3f used", f.served(0), f.served(1), f.served(2), f.utilization())
			for i, e := range f.entries {
				if e != nil && len(e.Levels(f.now)) > 0 {
					l := e.Levels(f.now)[0]
					var d float64
					for _, c := range l.Classes {
						d += c.Offered
					}
					t.Logf("entry %d admits %.3f of %.1f", i, l.Room/d, d)
				}
			}
			assert.Check(t, f.served(0) >= test.want)
			assert.Check(t, f.served(0) >= f.served(2))
			assert.Check(t, f.utilization() >= 0.95)
		})
	}
}

// TestTeamListChanges replaces all teams at once. The new ones are served like the old ones and
// the old ones take no share.
func TestTeamListChanges(t *testing.T) {
	const change = 6 * time.Second
	var list []callers
	for i := range 8 {
		c := callers{class: Class{0, fmt.Sprint("team-", i)}, perSecond: 100, entry: -1}
		if i == 0 || i == 4 {
			c.perSecond = 25
		}
		old := i < 4
		c.factor = func(since time.Duration) float64 {
			if old == (since < change) {
				return 1
			}
			return 0
		}
		list = append(list, c)
	}
	f := newFleet(1, 2, simSlots, list...)
	f.run(change + 2*time.Second)
	f.window(6 * time.Second)
	t.Logf("served: small %.3f, large %.3f, %.3f used", f.served(4), f.servedAll(5, 8), f.utilization())
	assert.Check(t, f.served(4) >= 0.88)
	assert.Check(t, f.servedAll(5, 8) >= 0.6)
	assert.Check(t, f.utilization() >= 0.95)
}

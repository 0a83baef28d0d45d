package overload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadedFleet returns a fleet at 1.5 times its room whose levels have settled.
func overloadedFleet(entries int) *fleet {
	f := newFleet(1, entries, simSlots, ranked(1.5)...)
	f.run(5 * time.Second)
	return f
}

func checkRanksServed(t *testing.T, f *fleet) {
	t.Helper()
	t.Logf("served %.3f %.3f %.3f, %.3f used", f.served(0), f.served(1), f.served(2), f.utilization())
	assert.Check(t, f.served(0) >= 0.9)
	assert.Check(t, f.served(1) >= 0.8)
	assert.Check(t, f.served(2) >= 0.15)
	assert.Check(t, f.utilization() >= 0.9)
}

// TestEntryDies lets an entry die, whose callers go to the others at once.
func TestEntryDies(t *testing.T) {
	for _, forgotten := range []bool{true, false} {
		t.Run(fmt.Sprint("noticed ", forgotten), func(t *testing.T) {
			f := overloadedFleet(3)
			f.dead[1] = true
			if forgotten {
				f.entries[0].Forget("entry-1")
				f.entries[2].Forget("entry-1")
			}
			f.window(2 * time.Second)
			checkRanksServed(t, f)
			f.run(time.Second)
			f.window(4 * time.Second)
			checkRanksServed(t, f)
			assert.Equal(t, f.entries[0].Levels(f.now)[0].Entries, 2)
		})
	}
}

// TestEntryUnheard cuts an entry off from the others for 5 s, but not from the targets.
func TestEntryUnheard(t *testing.T) {
	f := overloadedFleet(3)
	f.unheard[1] = true
	f.window(5 * time.Second)
	checkRanksServed(t, f)
	assert.Equal(t, f.entries[1].Levels(f.now)[0].Entries, 1)
	f.unheard[1] = false
	f.run(time.Second)
	f.window(4 * time.Second)
	checkRanksServed(t, f)
	assert.Equal(t, f.entries[1].Levels(f.now)[0].Entries, 3)
}

// TestRestartOfAll restarts all entries under load: no level is held before requests find no place.
func TestRestartOfAll(t *testing.T) {
	f := overloadedFleet(3)
	for i := range f.entries {
		f.entries[i] = NewController(Config{})
	}
	f.running, f.waiting = nil, nil
	assert.Equal(t, f.limited(), 0)
	f.run(2 * time.Second)
	f.window(4 * time.Second)
	checkRanksServed(t, f)
}

// TestAllPowerLost lets all targets fail for 4 s. The level does not outlive the failure.
func TestAllPowerLost(t *testing.T) {
	f := overloadedFleet(2)
	back := f.since() + 4*time.Second
	f.slots = func(since time.Duration) int {
		if since < back {
			return 0
		}
		return simSlots
	}
	f.run(6 * time.Second)
	f.window(4 * time.Second)
	checkRanksServed(t, f)
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

package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMeter(t *testing.T) {
	m := meter{halfLife: demandHalfLife}
	now := simStart
	for range 1000 {
		m.add(now, 0.1)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, math.Abs(m.rate(now)-10) < 0.2, "rate %v", m.rate(now))
	near(t, m.rate(now.Add(demandHalfLife)), m.rate(now)/2)
	near(t, m.rate(now.Add(-time.Second)), m.sum*math.Ln2/demandHalfLife.Seconds())

	m.reset(now)
	assert.Equal(t, m.rate(now), 0.0)
	for range 20 {
		m.add(now, 0.1)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, math.Abs(m.rate(now)-10) < 0.5, "rate %v after a reset", m.rate(now))
}

func TestErrorDiffusion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := class{fraction: rapid.Float64Range(0, 1).Draw(t, "fraction"), carry: rapid.Float64Range(0, 0.999).Draw(t, "carry")}
		n := rapid.IntRange(1, 1000).Draw(t, "requests")
		admitted := 0
		for range n {
			if c.admit() {
				admitted++
			}
		}
		assert.Assert(t, math.Abs(float64(admitted)-c.fraction*float64(n)) < 1+1e-6, "admitted %d of %d at %v", admitted, n, c.fraction)
	})
}

// TestFirstRequestsOfClasses checks that the first requests of many classes are admitted in
// proportion, not all or none.
func TestFirstRequestsOfClasses(t *testing.T) {
	table := newDemandTable()
	admitted := 0
	for i := range 1000 {
		c := table.insert(simStart, Class{Team: fmt.Sprint(i)})
		c.fraction = 0.6
		if c.admit() {
			admitted++
		}
	}
	assert.Assert(t, admitted > 590 && admitted < 610, "%d of 1000", admitted)
}

func TestDemandTableIsBounded(t *testing.T) {
	table := newDemandTable()
	now := simStart
	for range 3 {
		for i := range 10_000 {
			name := Class{Rank: i % 3, Team: fmt.Sprint(i)}
			c := table.lookup(name)
			if c == nil {
				c = table.insert(now, name)
			}
			c.offered.add(now, 0.1)
			c.seen = now
			now = now.Add(100 * time.Microsecond)
		}
		table.prune(now)
		assert.Assert(t, len(table.list) <= maxClasses)
		assert.Equal(t, len(table.byName), len(table.list))
	}
	offered := table.offered(now)
	assert.Assert(t, len(offered) <= maxListed+3, "%d classes in a report", len(offered))
	var sum float64
	for _, d := range offered {
		sum += d.Work
	}
	assert.Assert(t, math.Abs(sum-1000) < 100, "%v of 1000 offered", sum)

	table.prune(now.Add(classRetention + time.Second))
	assert.Equal(t, len(table.list)+len(table.rests), 0)
}

// TestLargeTeamIsCountedByItself checks that a large team that comes when the table is full
// replaces smaller ones.
func TestLargeTeamIsCountedByItself(t *testing.T) {
	table := newDemandTable()
	now := simStart
	large := Class{Team: "large"}
	for i := range 2 * maxClasses {
		c := table.insert(now, Class{Team: fmt.Sprint(i)})
		c.offered.add(now, 0.1)
	}
	assert.Assert(t, table.insert(now, large) == table.rests[0])
	table.prune(now)
	table.insert(now, large).offered.add(now, 100)
	table.prune(now)
	assert.Assert(t, table.lookup(large) != nil)
}

// TestRestOfOtherEntries checks that demand that others do not list one by one is divided between
// the classes known here, and none is lost.
func TestRestOfOtherEntries(t *testing.T) {
	table := newDemandTable()
	for i := range 4 {
		table.insert(simStart, Class{Team: fmt.Sprint(i)}).offered.add(simStart, 0.1)
	}
	own := table.claims(simStart, nil)
	table.addHeard(simStart, ClassDemand{Class: Class{Team: "0"}, Work: 5})
	rest := table.addHeard(simStart, ClassDemand{Work: 10, Teams: 5})
	claims := table.claims(simStart, nil)
	assert.Equal(t, len(claims), 5)
	near(t, claims[0].work, own[0].work+5)
	for i := 1; i < 4; i++ {
		near(t, claims[i].work, own[i].work+2)
	}
	near(t, claims[4].work, 4)
	rest.remove()
	near(t, table.claims(simStart, nil)[4].work, 0)
}

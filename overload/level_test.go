package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloaded is the supply of a service whose callers ask for twice the room.
var overloaded = supply{demand: 20, unplaced: 0.5, settle: minSettle, measured: time.Second, refusals: 50, utilization: 1, divided: true}

func TestLevelStart(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*supply)
		starts bool
	}{
		{"overload", func(*supply) {}, true},
		{"utilization unknown", func(s *supply) { s.utilization = 0 }, true},
		{"little unplaced while others hold levels", func(s *supply) { s.unplaced, s.entries, s.limiting, s.limits = 0.04, 1, 1, 0.51 }, true},
		{"none unplaced while others hold levels", func(s *supply) { s.unplaced, s.entries, s.limiting, s.limits = 0, 1, 1, 0.51 }, false},
		{"few refusals", func(s *supply) { s.refusals = 1 }, false},
		{"a small part unplaced", func(s *supply) { s.unplaced = 0.04 }, false},
		{"hardly measured", func(s *supply) { s.measured = 100 * time.Millisecond }, false},
		{"idle targets", func(s *supply) { s.utilization, s.idle = 0.5, 1 }, false},
		{"one class", func(s *supply) { s.divided = false }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r roomEstimate
			s := overloaded
			test.change(&s)
			r.update(simStart, s)
			assert.Equal(t, r.room > 0, test.starts)
			if test.starts {
				near(t, r.room, 20*0.5*(1+minHeadroom))
			}
		})
	}
}

func TestLevelFollowsDemandDuringOnset(t *testing.T) {
	var r roomEstimate
	r.update(simStart, overloaded)
	s := overloaded
	s.demand = 30
	r.update(simStart.Add(updateInterval), s)
	near(t, r.room, 30*0.5*(1+minHeadroom))
	s.unplaced = 0
	r.update(simStart.Add(onset), s)
	room := r.room
	s.demand = 60
	r.update(simStart.Add(onset+updateInterval), s)
	near(t, r.room, room)
}

func TestLevelEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		s    supply
		end  time.Duration // at the latest
	}{
		{"demand falls", supply{demand: 5, utilization: 0.9, divided: true}, updateInterval},
		{"idle targets", supply{demand: 20, utilization: 0.1, idle: time.Second, divided: true}, time.Second},
		{"one class is left", supply{demand: 20, unplaced: 0.5, utilization: 1}, updateInterval},
		{"room grows, utilization unknown", supply{demand: 20, divided: true}, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r roomEstimate
			r.update(simStart, overloaded)
			r.fraction, r.started = r.room/20, simStart.Add(-onset)
			for d := updateInterval; d <= test.end; d += updateInterval {
				r.update(simStart.Add(d), test.s)
			}
			assert.Equal(t, r.room, 0.0)
		})
	}
}

// TestLevelWithoutEffect checks that the room does not vanish while others take what the level
// leaves.
func TestLevelWithoutEffect(t *testing.T) {
	var r roomEstimate
	now := simStart
	for range 600 {
		now = now.Add(updateInterval)
		r.update(now, overloaded)
	}
	assert.Assert(t, r.room >= minFraction*overloaded.demand)
}

func TestLevelsOfEntriesAreAligned(t *testing.T) {
	r := roomEstimate{room: 10, changed: simStart, started: simStart.Add(-time.Minute)}
	r.align(supply{demand: 20, entries: 3, levels: 2.1})
	near(t, r.room, 20*(0.5+3*0.7)/4)
}

func TestFractionIsKeptWhenEntriesComeAndGo(t *testing.T) {
	old := roomEstimate{room: 10, changed: simStart, started: simStart.Add(-time.Minute)}
	r := old
	r.keepFraction(simStart, 40, 20, 0)
	r.follow(simStart, 40)
	near(t, r.room, 20)
	r = old
	r.keepFraction(simStart, 10, 0, 10)
	r.follow(simStart, 10)
	near(t, r.room, 5)
	r.follow(simStart.Add(onset), 20)
	near(t, r.room, 10)
	r = old
	r.keepFraction(simStart, 20, 0, 0)
	r.follow(simStart, 30)
	near(t, r.room, 10)
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/overload"
	"gotest.tools/v3/assert"
)

// levelEntries places requests at entries that hold an admission level. Each kind of requests has a
// rank of its own. One balancer stands for those of all entries, which tell each other their loads
// at once, and their reports each 500 ms.
type levelEntries struct {
	oneEntry
	sim      *fleetSim
	levels   []*overload.Controller
	admitted map[*job]bool
}

func newLevelEntries(s *fleetSim, entries int) *levelEntries {
	m := &levelEntries{oneEntry: s.placer.(oneEntry), sim: s, admitted: map[*job]bool{}}
	for range entries {
		m.levels = append(m.levels, overload.NewController(overload.Config{}))
	}
	s.placer = m
	s.after(0, m.report)
	s.after(0, m.measure)
	return m
}

func (m *levelEntries) report() {
	for i, from := range m.levels {
		reports := from.Reports(m.sim.now)
		for k, to := range m.levels {
			if k != i && len(reports) > 0 {
				to.SetReports(m.sim.now, fmt.Sprint(i), reports)
			}
		}
	}
	m.sim.after(500*time.Millisecond, m.report)
}

func (m *levelEntries) measure() {
	for _, l := range m.levels {
		l.SetUtilization(m.sim.now, testService, m.balancer.Utilization(m.sim.now, testService))
	}
	m.sim.after(200*time.Millisecond, m.measure)
}

func (m *levelEntries) place(now time.Time, j *job) bool {
	r := overload.Request{Service: testService, Class: overload.Class{Rank: j.kind}, Work: m.balancer.Work(now, testService, j.demand.Prompt)}
	if j.demand.Standing == Overdue {
		r.Standing = overload.Returned
	}
	if now.Equal(j.offered) {
		j.entry = m.sim.rng.IntN(len(m.levels))
		decision := m.levels[j.entry].Admit(now, r)
		m.admitted[j] = decision.Admitted
		j.demand.Yield = 0
		if decision.Limited && !decision.Reduced {
			j.demand.Yield = overload.Yield(j.kind, len(m.sim.kinds))
		}
	}
	if !m.admitted[j] {
		m.oneEntry.refused(now, j.demand)
		return false
	}
	if m.oneEntry.place(now, j) {
		m.levels[j.entry].RecordPlaced(now, r)
		return true
	}
	if r.Waited = now.Sub(j.offered); j.retried > 0 || r.Waited >= m.sim.maxWait {
		m.levels[j.entry].RecordUnplaced(now, r)
		m.oneEntry.refused(now, j.demand)
	}
	return false
}

// refused does nothing: place has recorded the refusal.
func (m *levelEntries) refused(time.Time, Demand) {}

// servedWork is what simulate measures: which part of each kind's requests was in time, and the work
// of all these.
type servedWork struct {
	byKind []float64
	work   float64
}

// simulateLevel plays kinds of which each has a rank of its own, the first the most urgent, at
// entries that hold an admission level; without a level if entries is 0. What arrives after 4 s counts.
func simulateLevel(seed uint64, kinds []callerKind, engines, entries int) servedWork {
	s := newFleetSim(seed, engines, kinds)
	s.window = func(at time.Time) int { return min(int(at.Sub(start)/(4*time.Second)), 1) }
	s.maxWait = 30 * time.Millisecond
	balancer := s.placer.(oneEntry).balancer
	if entries > 0 {
		newLevelEntries(s, entries)
	}
	s.run(12 * time.Second)
	var out servedWork
	out.byKind, _ = s.shares(1)
	for i, t := range s.tallies[1] {
		out.work += float64(t.inTime) * balancer.Work(s.now, testService, kinds[i].prompt)
	}
	return out
}

// With an admission level the most urgent requests are served first, the others are not shut out,
// and the targets do nearly as much as without; below the capacity all are served. The most urgent
// requests have the largest prompts, so that without a level they would be served least.
func TestLevelServesUrgentRequestsFirst(t *testing.T) {
	const engines = 24
	for _, test := range []struct {
		perSecond float64 // requests of each rank
		least     []float64
	}{{48, []float64{0.95, 0.95, 0.95}}, {156, []float64{0.8, 0.12, 0.12}}} {
		kinds := []callerKind{{500 * time.Millisecond, 1290, 90, test.perSecond}, {400 * time.Millisecond, 900, 80, test.perSecond},
			{300 * time.Millisecond, 607, 70, test.perSecond}}
		for seed := range uint64(2) {
			without := simulateLevel(seed, kinds, engines, 0)
			for _, entries := range []int{1, 6} {
				with := simulateLevel(seed, kinds, engines, entries)
				t.Logf("%.0f a second, seed %d, %d entries: %.3f in time, %.3f without a level; work %.3f of that without", test.perSecond, seed, entries, with.byKind, without.byKind, with.work/without.work)
				for i, least := range test.least {
					assert.Check(t, with.byKind[i] >= least, "rank %d: %.3f", i, with.byKind[i])
				}
				assert.Check(t, with.work >= 0.92*without.work)
			}
		}
	}
}

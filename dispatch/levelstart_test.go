package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/overload"
	"gotest.tools/v3/assert"
)

// leveledPlacer admits requests, whose kinds are ranks, by an admission level before it places them.
type leveledPlacer struct {
	oneEntry
	level   *overload.Controller
	ranks   int
	limited *int // requests that met a level
}

func (p leveledPlacer) place(now time.Time, j *job) bool {
	r := overload.Request{Service: testService, Class: overload.Class{Rank: j.kind}, Work: p.balancer.Work(now, testService, j.demand.Prompt)}
	d := p.level.Admit(now, r)
	if !d.Admitted {
		*p.limited++
		return false
	}
	if d.Limited && !d.Reduced {
		*p.limited++
		j.demand.Yield = overload.Yield(j.kind, p.ranks)
	}
	if !p.oneEntry.place(now, j) {
		p.level.RecordUnplaced(now, r)
		return false
	}
	p.level.RecordPlaced(now, r)
	return true
}

// TestLevelStartsWhereObjectivesLimitLoad overloads a service whose objectives are so tight that
// requests are refused while most slots are free.
func TestLevelStartsWhereObjectivesLimitLoad(t *testing.T) {
	kinds := []callerKind{{150 * time.Millisecond, 1000, 20, 40}, {150 * time.Millisecond, 1000, 20, 120}}
	s := newFleetSim(1, 6, kinds)
	limited, used, samples := 0, 0, 0
	p := leveledPlacer{s.placer.(oneEntry), overload.NewController(overload.Config{}), len(kinds), &limited}
	s.placer, s.retries = p, 0
	for range 50 {
		s.run(200 * time.Millisecond)
		p.level.SetUtilization(s.now, testService, p.balancer.Utilization(s.now, testService))
		for _, e := range s.engines {
			used += len(e.queue) + len(e.running)
			samples += s.model.Slots
		}
	}
	shares, all := s.shares(0)
	t.Logf("in time %.3f, of all %.3f; %.3f of the slots used, %d limited", shares, all, float64(used)/float64(samples), limited)
	assert.Assert(t, all < 0.9, "no overload")
	assert.Assert(t, float64(used)/float64(samples) < 0.75, "slots are not mostly free")
	assert.Assert(t, limited > 0, "no level was held")
	assert.Assert(t, shares[0] > shares[1])
}

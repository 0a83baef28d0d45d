package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/overload"
	"gotest.tools/v3/assert"
)

// yieldingPlacer places requests whose kinds are ranks, in the order of arrival.
type yieldingPlacer struct {
	oneEntry
	ranks int
}

func (p yieldingPlacer) place(now time.Time, j *job) bool {
	j.demand.Yield = overload.Yield(j.kind, p.ranks)
	return p.oneEntry.place(now, j)
}

// TestUrgentRequestsFindPlaces overloads a service by a third with requests of three ranks that ask
// for places in the order of arrival, as after an admission level that lets too many in. A more urgent
// kind may not fare worse than a less urgent one, and none is served less than a third as often as
// all.
func TestUrgentRequestsFindPlaces(t *testing.T) {
	kinds := []callerKind{{400 * time.Millisecond, 1290, 126, 16}, {400 * time.Millisecond, 787, 126, 20}, {400 * time.Millisecond, 607, 70, 50}}
	for seed := range uint64(3) {
		s := newFleetSim(seed, 6, kinds)
		s.placer = yieldingPlacer{s.placer.(oneEntry), len(kinds)}
		s.retries = 0
		s.window = func(at time.Time) int { return min(int(at.Sub(start)/(4*time.Second)), 1) }
		s.run(20 * time.Second)
		shares, all := s.shares(1)
		t.Logf("seed %d: in time %.3f, of all %.3f", seed, shares, all)
		assert.Assert(t, all < 0.8, "no overload")
		assert.Assert(t, shares[0] >= shares[1] && shares[1] >= shares[2], "seed %d: in time %.3f", seed, shares)
		assert.Assert(t, shares[2] >= all/3, "seed %d: in time %.3f", seed, shares)
	}
}

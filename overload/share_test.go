package overload

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func grants(claims []claim) (byRank map[int]float64, all float64) {
	byRank = map[int]float64{}
	for _, c := range claims {
		byRank[c.rank] += c.work * c.fraction
		all += c.work * c.fraction
	}
	return byRank, all
}

func near(t testing.TB, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9*max(1, math.Abs(want)), "got %v, want %v", got, want)
}

func TestAllocateByRank(t *testing.T) {
	for _, test := range []struct {
		name string
		room float64
		work []float64 // by rank
		want []float64 // fractions
	}{
		{"the urgent fit beside the kept parts", 240, []float64{90, 90, 200}, []float64{1, 1, 0.3}},
		{"the most urgent rank takes what is not kept", 90, []float64{90, 90, 90}, []float64{70.0 / 90, 10.0 / 90, 10.0 / 90}},
		{"a small rank is served before the surplus of a more urgent one", 90, []float64{900, 9, 9}, []float64{72.0 / 900, 1, 1}},
		{"all fit", 500, []float64{90, 90, 200}, []float64{1, 1, 1}},
		{"no room", 0, []float64{90, 90}, []float64{0, 0}},
		{"one rank", 50, []float64{100}, []float64{0.5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var claims []claim
			for rank, work := range test.work {
				claims = append(claims, claim{rank: rank, work: work, teams: 1})
			}
			(&allocator{keep: defaultKeep}).allocate(test.room, claims)
			for i, c := range claims {
				near(t, c.fraction, test.want[i])
			}
		})
	}
}

// TestPrecedingWork checks which part of the work precedes that of a rank: none for a rank that gets no
// more than the part it keeps, or asks for no more.
func TestPrecedingWork(t *testing.T) {
	for _, test := range []struct {
		name string
		room float64
		work []float64 // by rank
		want []float64
	}{
		{"the last rank gets what is left", 240, []float64{90, 90, 200}, []float64{0, 90.0 / 380, 180.0 / 380 * 0.427}},
		{"the second rank gets what is left", 120, []float64{68, 68, 152}, []float64{0, 68.0 / 288, 0}},
		{"the first rank takes all", 90, []float64{90, 90, 90}, []float64{0, 0, 0}},
		{"small ranks get all they ask for", 90, []float64{900, 9, 9}, []float64{0, 0, 0}},
		{"all fit", 500, []float64{90, 90, 200}, []float64{0, 90.0 / 380 * 0.62, 180.0 / 380}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var claims []claim
			for rank, work := range test.work {
				claims = append(claims, claim{rank: rank, work: work, teams: 1})
			}
			a := &allocator{keep: defaultKeep}
			a.allocate(test.room, claims)
			for rank, want := range test.want {
				got := a.preceding(rank, 1)
				t.Logf("rank %d: %.4f", rank, got)
				assert.Check(t, math.Abs(got-want) < 0.01, "rank %d: %.3f, want %.3f", rank, got, want)
			}
			assert.Equal(t, a.preceding(9, 1), 0.0, "a rank without demand")
		})
	}
}

// TestTeamsWithinTheirSharePrecede checks that a team over its share leaves room to teams within theirs.
func TestTeamsWithinTheirSharePrecede(t *testing.T) {
	claims := []claim{{work: 900, teams: 1}, {work: 50, teams: 1}, {work: 50, teams: 1}}
	a := &allocator{keep: defaultKeep}
	a.allocate(500, claims)
	assert.Equal(t, a.preceding(0, claims[0].fraction), 0.2)
	assert.Equal(t, a.preceding(0, claims[1].fraction), 0.0)
}

func TestAllocateMaxMinBetweenTeams(t *testing.T) {
	claims := []claim{{work: 600, teams: 1}, {work: 25, teams: 1}, {work: 80, teams: 1}, {work: 100, teams: 4}}
	(&allocator{}).allocate(240, claims)
	near(t, claims[0].fraction, 57.5/600)
	near(t, claims[1].fraction, 1)
	near(t, claims[2].fraction, 57.5/80)
	near(t, claims[3].fraction, 1)
}

// claimsGen draws claims of up to four ranks with teams of very different size.
func claimsGen(t *rapid.T) []claim {
	var claims []claim
	for range rapid.IntRange(1, 40).Draw(t, "claims") {
		claims = append(claims, claim{rank: rapid.IntRange(0, 3).Draw(t, "rank"),
			work:  math.Exp2(rapid.Float64Range(-10, 10).Draw(t, "log_work")),
			teams: float64(rapid.IntRange(1, 5).Draw(t, "teams"))})
	}
	return claims
}

func TestAllocateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := claimsGen(t)
		room := math.Exp2(rapid.Float64Range(-10, 12).Draw(t, "log_room"))
		a := &allocator{keep: rapid.Float64Range(0, maxKeep).Draw(t, "keep")}
		a.allocate(room, claims)

		var demand float64
		work := map[int]float64{}
		for _, c := range claims {
			assert.Assert(t, c.fraction >= 0 && c.fraction <= 1, "fraction %v", c.fraction)
			demand += c.work
			work[c.rank] += c.work
		}
		byRank, all := grants(claims)
		want := min(room, demand)
		assert.Assert(t, math.Abs(all-want) <= 1e-6*want, "granted %v of %v: not work-conserving", all, want)
		checkRanks(t, a, room, demand, work, byRank)
		checkMaxMin(t, claims)
	})
}

// checkRanks checks that each rank has its kept part, and that a rank gets more only once all more
// urgent ones have all they ask for.
func checkRanks(t *rapid.T, a *allocator, room, demand float64, work, byRank map[int]float64) {
	for rank, w := range work {
		kept := a.kept(room, w, demand)
		assert.Assert(t, byRank[rank] >= kept*(1-1e-9), "rank %d keeps %v, got %v", rank, kept, byRank[rank])
		if byRank[rank] <= kept*(1+1e-9) {
			continue
		}
		for urgent := range rank {
			assert.Assert(t, byRank[urgent] >= work[urgent]*(1-1e-9), "rank %d has more than its part before rank %d is served", rank, urgent)
		}
	}
}

// checkMaxMin checks that a team that does not get all it asks for has at least what any other
// team of its rank has.
func checkMaxMin(t *rapid.T, claims []claim) {
	for _, c := range claims {
		if c.fraction == 1 {
			continue
		}
		for _, o := range claims {
			if o.rank == c.rank {
				assert.Assert(t, c.fraction*c.work/c.teams >= o.fraction*o.work/o.teams*(1-1e-9), "%+v has less than %+v", c, o)
			}
		}
	}
}

package overload

import (
	"cmp"
	"math"
	"slices"
)

// claim is the work that the teams of one class, or several teams alike, ask for.
type claim struct {
	rank     int
	work     float64 // seconds of target time per second
	teams    float64 // at least 1
	fraction float64 // granted part of work; result of allocator.allocate
}

// rankShare is what a rank gets of the room.
type rankShare struct {
	rank     int
	work     float64 // asked for
	grant    float64
	perTeam  float64 // largest grant of a team; infinite if the rank gets all it asks for
	fraction float64 // grant over work
	kept     float64 // part of grant that it keeps whatever more urgent ranks ask for
	whole    float64 // work of the teams that get all they ask for
}

// allocator divides room between classes. Its ranks are reused by each allocation.
type allocator struct {
	keep  float64
	ranks []rankShare // ascending by rank
}

// allocate sets the fractions of the claims. Each rank first keeps its part; the remainder goes
// to the ranks in order; teams of a rank share max-min.
func (a *allocator) allocate(room float64, claims []claim) {
	a.sumRanks(claims)
	a.grantRanks(room)
	for i := range a.ranks {
		r := &a.ranks[i]
		r.perTeam = perTeam(claims, r)
		r.fraction = 1
		if r.work > 0 {
			r.fraction = min(1, r.grant/r.work)
		}
	}
	for i := range claims {
		c := &claims[i]
		c.fraction = a.fraction(c.rank, c.work/c.teams)
		if c.fraction >= 1 {
			a.find(c.rank).whole += c.work
		}
	}
}

// fraction returns the part of its work that a team of the rank is granted.
func (a *allocator) fraction(rank int, work float64) float64 {
	r := a.find(rank)
	if r == nil || work <= r.perTeam {
		return 1
	}
	return r.perTeam / work
}

// preceding returns which part of the work is to find places before that of a class: the part that more
// urgent ranks ask for, the less the closer the rank is to the part that it keeps, and, if the class
// does not get all it asks for, the part of the rank's room that teams get that do.
func (a *allocator) preceding(rank int, fraction float64) float64 {
	own := a.find(rank)
	if own == nil || own.grant <= 0 {
		return 0
	}
	var urgent, all float64
	for _, r := range a.ranks {
		all += r.work
		if r.rank < rank {
			urgent += r.work
		}
	}
	part := own.surplus() * urgent / all
	if fraction < 1 {
		part += own.whole / own.grant
	}
	return min(part, 1)
}

// surplus returns what the rank gets beyond the part that it keeps, relative to that part, at most 1.
func (r *rankShare) surplus() float64 {
	if r.kept <= 0 {
		return 1
	}
	return min((r.grant-r.kept)/r.kept, 1)
}

func (a *allocator) find(rank int) *rankShare {
	i, ok := slices.BinarySearchFunc(a.ranks, rank, compareRank)
	if !ok {
		return nil
	}
	return &a.ranks[i]
}

func compareRank(r rankShare, rank int) int { return cmp.Compare(r.rank, rank) }

func (a *allocator) sumRanks(claims []claim) {
	a.ranks = a.ranks[:0]
	for _, c := range claims {
		r := a.find(c.rank)
		if r == nil {
			i, _ := slices.BinarySearchFunc(a.ranks, c.rank, compareRank)
			a.ranks = slices.Insert(a.ranks, i, rankShare{rank: c.rank})
			r = &a.ranks[i]
		}
		r.work += c.work
	}
}

func (a *allocator) grantRanks(room float64) {
	var total float64
	for _, r := range a.ranks {
		total += r.work
	}
	left := room
	for i := range a.ranks {
		r := &a.ranks[i]
		r.kept = a.kept(room, r.work, total)
		r.grant = r.kept
		left -= r.grant
	}
	for i := range a.ranks {
		r := &a.ranks[i]
		more := min(r.work-r.grant, max(left, 0))
		r.grant += more
		left -= more
	}
}

// kept returns what a rank gets whatever more urgent ranks ask for.
func (a *allocator) kept(room, work, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return min(work, a.keep*room*max(1/float64(len(a.ranks)), work/total))
}

// perTeam returns the max-min share of a team of the rank.
func perTeam(claims []claim, r *rankShare) float64 {
	if r.grant >= r.work {
		return math.Inf(1)
	}
	share, satisfied := 0.0, -1
	for {
		left, teams, n := r.grant, 0.0, 0
		for _, c := range claims {
			switch {
			case c.rank != r.rank:
			case c.work <= share*c.teams:
				left -= c.work
				n++
			default:
				teams += c.teams
			}
		}
		if n == satisfied || teams == 0 {
			return share
		}
		share, satisfied = max(left/teams, share), n
	}
}

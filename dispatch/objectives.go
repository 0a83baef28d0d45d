package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// shareHalfLife is the half-life of the request counts by objective. It is short so that a
	// route that is no longer used soon stops affecting admission.
	shareHalfLife = 5 * time.Second
	// minObjectiveShare is the smallest fraction of a service's requests for which an objective
	// is considered. Without this minimum, a few callers would determine the wait of all.
	minObjectiveShare = 0.05
	// minObjectiveCount is the decayed count below which an objective is dropped.
	minObjectiveCount = 0.05
)

// objectiveStats counts the recent fresh requests of a service by objective.
type objectiveStats struct {
	at     time.Time
	shares []objectiveShare
	total  float64
	// refusedAt is when a fresh request was last refused because no target could serve it in
	// time.
	refusedAt time.Time
}

// overloadWindow is how long a service counts as overloaded after it refused a fresh request:
// about as long as an engine works on one request.
const overloadWindow = time.Second

func (s *objectiveStats) overloaded(now time.Time) bool {
	return s != nil && now.Sub(s.refusedAt) < overloadWindow
}

// objectiveShare counts the requests with one objective. Counts decay.
type objectiveShare struct {
	objective time.Duration
	count     float64
	prompts   float64       // prompt tokens of all these requests
	maxGap    time.Duration // of the latest request
}

func (o objectiveShare) meanPrompt() int { return int(o.prompts / o.count) }

// observe counts a request.
func (s *objectiveStats) observe(now time.Time, objective, maxGap time.Duration, prompt int) {
	if objective <= 0 {
		return
	}
	s.decay(now)
	s.total++
	i := slices.IndexFunc(s.shares, func(o objectiveShare) bool { return o.objective == objective })
	if i < 0 {
		s.shares = append(s.shares, objectiveShare{objective: objective})
		i = len(s.shares) - 1
	}
	s.shares[i].count++
	s.shares[i].prompts += float64(prompt)
	s.shares[i].maxGap = maxGap
}

// tightest returns the smallest of other and the objectives that at least minObjectiveShare of
// the requests have.
func (s *objectiveStats) tightest(other time.Duration) time.Duration {
	least := other
	for _, o := range s.shares {
		if o.count >= minObjectiveShare*s.total {
			least = min(least, o.objective)
		}
	}
	return least
}

func (s *objectiveStats) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(s.at).Seconds() / shareHalfLife.Seconds())
	s.at = now
	s.total *= factor
	for i := range s.shares {
		s.shares[i].count *= factor
		s.shares[i].prompts *= factor
	}
	s.shares = slices.DeleteFunc(s.shares, func(o objectiveShare) bool { return o.count < minObjectiveCount })
}

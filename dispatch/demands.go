package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// demandHalfLife is how fast the share of an objective in a service's
	// requests is forgotten: some seconds of traffic, so that a route that is
	// no longer used soon has no say.
	demandHalfLife = 5 * time.Second
	// demandShare is the part of a service's requests from which an objective
	// counts. Below it, few callers would set the pace of all.
	demandShare = 0.05
	// demandForgotten is the decayed count below which an objective is dropped.
	demandForgotten = 0.05
)

// demands are the objectives that a service's fresh requests had lately.
type demands struct {
	at    time.Time
	seen  []objectiveShare
	total float64
	// refusedAt is when a fresh request was last refused for want of a target
	// in time.
	refusedAt time.Time
}

// overloadMemory is how long a service counts as overloaded after it refused a
// fresh request: about as long as an engine works on one.
const overloadMemory = time.Second

func (s *demands) overloaded(now time.Time) bool {
	return s != nil && now.Sub(s.refusedAt) < overloadMemory
}

// objectiveShare are the requests with one objective; counts decay.
type objectiveShare struct {
	objective time.Duration
	count     float64
	prompts   float64 // tokens
}

func (o objectiveShare) meanPrompt() int { return int(o.prompts / o.count) }

// observe counts a request.
func (s *demands) observe(now time.Time, objective time.Duration, prompt int) {
	if objective <= 0 {
		return
	}
	s.decay(now)
	s.total++
	i := slices.IndexFunc(s.seen, func(o objectiveShare) bool { return o.objective == objective })
	if i < 0 {
		s.seen = append(s.seen, objectiveShare{objective: objective})
		i = len(s.seen) - 1
	}
	s.seen[i].count++
	s.seen[i].prompts += float64(prompt)
}

// tightest returns the smallest objective with a share that counts, or other if
// none has.
func (s *demands) tightest(other time.Duration) time.Duration {
	least := other
	for _, o := range s.seen {
		if o.count >= demandShare*s.total {
			least = min(least, o.objective)
		}
	}
	return least
}

func (s *demands) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(s.at).Seconds() / demandHalfLife.Seconds())
	s.at = now
	s.total *= factor
	for i := range s.seen {
		s.seen[i].count *= factor
		s.seen[i].prompts *= factor
	}
	s.seen = slices.DeleteFunc(s.seen, func(o objectiveShare) bool { return o.count < demandForgotten })
}

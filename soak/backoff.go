package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of targets that refuse requests and request back-off.
const (
	backoffOneIn = 3 // one target in this many refuses requests
	// backoffMin and backoffMax bound how long such a target refuses requests.
	backoffMin = 3 * time.Second
	backoffMax = 6 * time.Second
)

// Bounds of InvariantBackoff, as the platform documents them.
const (
	backoffGrace        = 500 * time.Millisecond // requests that arrive within this time after the response that requests back-off are not counted
	backoffAllowedSends = 2                      // requests of one entry during one back-off
)

// requestBackoff makes some targets refuse all requests and request back-off.
func requestBackoff(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var requesting sync.WaitGroup
	targets := f.targets()
	for _, i := range rng.Perm(len(targets))[:max(len(targets)/backoffOneIn, 1)] {
		t, backoff, d := targets[i], pick(rng, []float64{0.8, 2, 3}), randomDuration(rng, backoffMin, backoffMax)
		requesting.Go(func() {
			f.markTargetFaulty(t, d+settleTime)
			f.logf("%s refuses requests and requests a back-off of %v s, for %v", t.Incarnation(), backoff, d.Round(time.Millisecond))
			t.SetRetryAfter(backoff)
			time.Sleep(d)
			t.SetRetryAfter(0)
		})
	}
	requesting.Wait()
}

// sentDuringBackoff returns the attempts beyond backoffAllowedSends that reached a target
// from an entry during a back-off that the target had requested from it.
func sentDuringBackoff(attempts []Attempt, facts Facts) []Attempt {
	byID := map[string]Attempt{}
	for _, a := range attempts {
		byID[a.ID] = a
	}
	excess := map[string]bool{}
	for incarnation, backoffs := range facts.Backoffs {
		for _, b := range backoffs {
			entry, n := byID[b.Request].Incarnation, 0
			for _, x := range facts.Arrivals[incarnation] {
				a := byID[x.Request]
				if a.Incarnation != entry || !a.EntryFaultFree || x.At < b.At+backoffGrace || x.At > b.At+b.Duration {
					continue
				}
				if n++; n > backoffAllowedSends {
					excess[x.Request] = true
				}
			}
		}
	}
	var out []Attempt
	for _, a := range attempts {
		if excess[a.ID] {
			out = append(out, a)
		}
	}
	return out
}

// Backoff is a response in which a target requested back-off.
type Backoff struct {
	Request  string
	At       time.Duration // since the start of the run
	Duration time.Duration
}

func (b Backoff) String() string { return fmt.Sprintf("%s at %v for %v", b.Request, b.At, b.Duration) }

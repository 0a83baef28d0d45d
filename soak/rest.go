package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Course of targets that turn requests away and ask for rest.
const (
	restingOf = 3 // one target in so many does
	restFrom  = 3 * time.Second
	restTo    = 6 * time.Second
)

// Bounds of the promise about rest, as the platform's pages have them.
const (
	restGrace = 500 * time.Millisecond
	restSends = 2
)

// restAsked makes some targets turn all requests away and ask for rest.
func restAsked(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var asking sync.WaitGroup
	targets := f.targets()
	for _, i := range rng.Perm(len(targets))[:max(len(targets)/restingOf, 1)] {
		t, rest, d := targets[i], pick(rng, []float64{0.8, 2, 3}), between(rng, restFrom, restTo)
		asking.Go(func() {
			f.troubleTarget(t, d+aftermath)
			f.logf("%s turns requests away and asks for %v s of rest for %v", t.Life(), rest, d.Round(time.Millisecond))
			t.AskRest(rest)
			time.Sleep(d)
			t.AskRest(0)
		})
	}
	asking.Wait()
}

// atRest returns the attempts that reached a target from an entry that it had asked for
// rest, beyond those that are allowed.
func atRest(attempts []Attempt, facts Facts) []Attempt {
	byID := map[string]Attempt{}
	for _, a := range attempts {
		byID[a.ID] = a
	}
	late := map[string]bool{}
	for life, rests := range facts.Backoffs {
		for _, r := range rests {
			entry, n := byID[r.Request].Incarnation, 0
			for _, x := range facts.Arrivals[life] {
				a := byID[x.Request]
				if a.Incarnation != entry || !a.EntryFaultFree || x.At < r.At+restGrace || x.At > r.At+r.Duration {
					continue
				}
				if n++; n > restSends {
					late[x.Request] = true
				}
			}
		}
	}
	var out []Attempt
	for _, a := range attempts {
		if late[a.ID] {
			out = append(out, a)
		}
	}
	return out
}

// Backoff is an answer in which a target asked for rest.
type Backoff struct {
	Request string
	At      time.Duration // since the start of the run
	Duration    time.Duration
}

func (r Backoff) String() string { return fmt.Sprintf("%s at %v for %v", r.Request, r.At, r.Duration) }

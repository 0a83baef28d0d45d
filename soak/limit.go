package soak

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Course of limits that targets name.
const (
	limitedOf  = 3 // one target in so many names one
	limitFrom  = touchFor + limitWindow + time.Second
	limitTo    = limitFrom + 2*time.Second
	limitSteps = 2 // limits that a target names, one after the other
)

// Bounds of the promise about limits, as the platform's pages have them.
const (
	limitWindow   = 4 * time.Second
	limitOverage  = 1.5
	limitOverhead = 5 // requests
)

// LimitSpan is a time in which a life of a target named one limit.
type LimitSpan struct {
	Incarnation     string
	From, To time.Duration // since the start of the run
	PerS     float64
}

// limitsNamed makes some targets name limits, one after the other, and lift them.
func limitsNamed(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var naming sync.WaitGroup
	targets := f.targets()
	for _, i := range rng.Perm(len(targets))[:max(len(targets)/limitedOf, 1)] {
		t, own := targets[i], rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		naming.Go(func() {
			for range limitSteps {
				f.nameLimit(t, pick(own, []float64{0, 0.2, 1, 3, 10}), between(own, limitFrom, limitTo))
			}
			t.SayLimit("")
		})
	}
	naming.Wait()
}

// nameLimit makes a target name a limit for a time. A target that misbehaves meanwhile is
// not judged: what is held up on the way to it arrives at once.
func (f *Fleet) nameLimit(t *fake.Target, perS float64, d time.Duration) {
	began, from := time.Now(), f.notes.now()
	life := t.SayLimit(strconv.FormatFloat(perS, 'f', -1, 64))
	f.logf("%s names a limit of %v/s for %v", life, perS, d.Round(time.Millisecond))
	time.Sleep(d)
	if t.Life() == life && !f.targetTroubledSince(t, began) {
		f.notes.limited(LimitSpan{Incarnation: life, From: from, To: f.notes.now(), PerS: perS})
	}
}

func (n *notes) limited(s LimitSpan) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits = append(n.limits, s)
}

// targetTroubledSince reports whether a target misbehaved at a time or later.
func (f *Fleet) targetTroubledSince(t *fake.Target, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.troubled[t].After(since)
}

// overLimit returns the attempts that reached a target beyond what its limit allows in
// some window, from entries without a fault, once the limit had to be known.
func overLimit(attempts []Attempt, facts Facts) []Attempt {
	byID := map[string]Attempt{}
	for _, a := range attempts {
		byID[a.ID] = a
	}
	var out []Attempt
	for _, s := range facts.Limits {
		allowed := int(limitOverage*limitWindow.Seconds()*s.PerS) + limitOverhead
		var window []time.Duration
		for _, x := range facts.Arrivals[s.Incarnation] {
			if x.At < s.From+touchFor || x.At > s.To || !byID[x.Request].EntryFaultFree {
				continue
			}
			window = append(window, x.At)
			for x.At-window[0] >= limitWindow {
				window = window[1:]
			}
			if len(window) > allowed {
				out = append(out, byID[x.Request])
			}
		}
	}
	return out
}

package soak

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of the limits that targets announce.
const (
	limitOneIn = 3 // one target in this many announces limits
	// limitMin and limitMax bound how long a target announces each limit.
	limitMin   = storeReachableWindow + limitWindow + time.Second
	limitMax   = limitMin + 2*time.Second
	limitSteps = 2 // number of limits that a target announces one after the other
)

// Bounds of InvariantRateLimit, as the platform documents them: within any limitWindow a
// target may receive limitOverage times the requests that its limit allows, plus
// limitOverhead.
const (
	limitWindow   = 4 * time.Second
	limitOverage  = 1.5 // factor
	limitOverhead = 5   // requests
)

// LimitSpan is a period in which a target incarnation announced one limit.
type LimitSpan struct {
	Incarnation string
	From, To    time.Duration // since the start of the run
	PerS        float64
}

// announceLimits makes some targets announce limits, one after the other, and then lift
// them.
func announceLimits(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var announcing sync.WaitGroup
	targets := f.targets()
	for _, i := range rng.Perm(len(targets))[:max(len(targets)/limitOneIn, 1)] {
		t, own := targets[i], rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		announcing.Go(func() {
			for range limitSteps {
				f.announceLimit(t, pick(own, []float64{0, 0.2, 1, 3, 10}), randomDuration(own, limitMin, limitMax))
			}
			t.AdvertiseLimit("")
		})
	}
	announcing.Wait()
}

// announceLimit makes a target announce a limit for d. The period is not judged if the
// target was faulty meanwhile, because requests that were delayed on the link arrive in a
// burst.
func (f *Fleet) announceLimit(t *fake.Target, perS float64, d time.Duration) {
	began, from := time.Now(), f.recorder.elapsed()
	incarnation := t.AdvertiseLimit(strconv.FormatFloat(perS, 'f', -1, 64))
	f.logf("%s announces a limit of %v/s for %v", incarnation, perS, d.Round(time.Millisecond))
	time.Sleep(d)
	if t.Incarnation() == incarnation && !f.targetFaulty(t, began, time.Now()) {
		f.recorder.recordLimit(LimitSpan{Incarnation: incarnation, From: from, To: f.recorder.elapsed(), PerS: perS})
	}
}

func (r *factRecorder) recordLimit(s LimitSpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, s)
}

// overLimit returns the attempts through fault-free entries that exceeded a target's limit
// within a sliding limitWindow, starting storeReachableWindow after the limit was
// announced.
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
			if x.At < s.From+storeReachableWindow || x.At > s.To || !byID[x.Request].EntryFaultFree {
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

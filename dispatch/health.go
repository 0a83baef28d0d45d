package dispatch

import "time"

// Limits of a target's health.
const (
	// failureWeight is the weight of the newest answer in the failure rate; a
	// target that fails everything is over the limit after three.
	failureWeight = 0.2
	// maxFailureRate takes a target out. Load and retries make up for one
	// failure in five; above a third a request is better off elsewhere.
	maxFailureRate = 0.35
	// ejectBase is how long the first ejection lasts; each further one within
	// ejectMemory lasts twice as long, up to ejectMax.
	ejectBase   = 800 * time.Millisecond
	ejectMax    = 6 * time.Second
	ejectMemory = 15 * time.Second
	// silentAfter is how long a target with work may send nothing. An engine
	// sends at least one event each pass, and passes stay under the longest
	// pause that callers accept, 400 ms.
	silentAfter = 600 * time.Millisecond
	// latencyWeight is the weight of the newest latency in its mean.
	latencyWeight = 0.1
)

// health is what the answers of a target showed.
type health struct {
	failures     float64 // rate, by exponentially weighted mean
	ejections    int
	ejectedUntil time.Time
	ejectedAt    time.Time
	waitingSince time.Time // since when it has work and has sent nothing; zero if idle
	latency      time.Duration
}

func (h *health) observe(now time.Time, ok bool) {
	if ok {
		h.failures *= 1 - failureWeight
		return
	}
	h.failures += failureWeight * (1 - h.failures)
	if h.failures > maxFailureRate {
		h.eject(now)
	}
}

// eject takes the target out for a time that doubles with each ejection.
func (h *health) eject(now time.Time) {
	if now.Sub(h.ejectedAt) > ejectMemory {
		h.ejections = 0
	}
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedAt = now
	h.ejectedUntil = now.Add(min(ejectBase<<min(h.ejections, 4), ejectMax))
	h.ejections++
	h.failures = maxFailureRate / 2 // one more failure or two after the return
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) silent(now time.Time) bool {
	return !h.waitingSince.IsZero() && now.Sub(h.waitingSince) > silentAfter
}

func (h *health) measured(latency time.Duration) {
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

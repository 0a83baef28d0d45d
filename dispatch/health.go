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
	// silentAfter is the least time after which a target with work that sends
	// nothing counts as silent: time for a lost packet to be sent again.
	silentAfter = 600 * time.Millisecond
	// silentFactor is how many times longer than expected a target may send
	// nothing: an engine a pass with all prompts that it has to read, a plain
	// target its usual latency.
	silentFactor = 3
	// silentSaid is how long an entry tells the others of a target that it left
	// because it was silent: a few accounts of loads.
	silentSaid = 500 * time.Millisecond
	// heardFor is how long ago an entry must have heard a target to vouch for it.
	// Streams send an event each 50 to 100 ms, and a pass takes up to 400 ms.
	heardFor = 400 * time.Millisecond
	// suspectFor is how long a target is left that was silent for another entry.
	// Then one request at a time tries it until it has answered.
	suspectFor = 1200 * time.Millisecond
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
	heardAt      time.Time // when it last sent something to this entry
	silentAt     time.Time // when it was last left for its silence
	suspectedAt  time.Time // when another entry last found it silent
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

// heard notes that the target sent something.
func (h *health) heard(now time.Time) { h.waitingSince, h.heardAt = now, now }

// leftSilent notes that the target was left because it sent nothing. There is no
// use in trying it until as many requests have been lost as for a failure rate.
func (h *health) leftSilent(now time.Time) {
	h.silentAt = now
	h.eject(now)
}

// saysSilent reports whether other entries are to be told of its silence.
func (h *health) saysSilent(now time.Time, limit time.Duration) bool {
	return h.silent(now, limit) || h.heardAt.Before(h.silentAt) && now.Sub(h.silentAt) < silentSaid
}

// suspected reports whether the target was silent for another entry, and this
// one has not heard it since.
func (h *health) suspected(now time.Time) bool {
	return h.heardAt.Before(h.suspectedAt) && now.Sub(h.suspectedAt) < suspectFor
}

// unproven reports whether the target was silent and has not been heard since.
func (h *health) unproven() bool {
	return h.heardAt.Before(h.suspectedAt) || h.heardAt.Before(h.silentAt)
}

func (h *health) silent(now time.Time, limit time.Duration) bool {
	return !h.waitingSince.IsZero() && now.Sub(h.waitingSince) > limit
}

// silenceLimit is how long the target may send nothing while it has work.
func (t *Target) silenceLimit() time.Duration {
	expected := t.health.latency
	if t.model != nil {
		expected = passTime(t.model, t.model.Slots) + readTime(t.model, t.load.PendingPrefill)
	}
	return max(silentAfter, silentFactor*expected)
}

func (h *health) measured(latency time.Duration) {
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

package dispatch

import "time"

// Limits of health tracking.
const (
	// failureWeight is the weight of the latest response in the moving failure rate. A target
	// without earlier failures exceeds maxFailureRate after two consecutive failures.
	failureWeight = 0.2
	// maxFailureRate is the failure rate above which a target is ejected. Load balancing and
	// retries compensate for one failure in five; above one in three a request does better at
	// another target.
	maxFailureRate = 0.35
	// ejectBase is the duration of the first ejection. Each ejection that begins within
	// ejectMemory of the start of the previous one lasts twice as long as that, up to ejectMax.
	ejectBase   = 800 * time.Millisecond
	ejectMax    = 6 * time.Second
	ejectMemory = 15 * time.Second
	// minSilence is the shortest time without data after which a target with requests in flight
	// counts as silent: long enough for a lost packet to be retransmitted.
	minSilence = 600 * time.Millisecond
	// silentFactor is the multiple of the expected time after which a target counts as silent.
	// The expected time is that of one pass with all pending prompts for an engine, and the mean
	// latency for a plain target.
	silentFactor = 3
	// silenceReportDuration is how long an entry reports a target to other entries as silent
	// after it abandoned a request there. This time spans several load reports, which list the
	// silent targets.
	silenceReportDuration = 500 * time.Millisecond
	// activityWindow is how recently an entry must have received data from a target to report
	// the target as responsive. Streams send an event every 50 to 100 ms; an engine pass takes up
	// to 400 ms.
	activityWindow = 400 * time.Millisecond
	// suspectDuration is how long a target gets no requests after another entry reported it
	// silent. After that time the target gets one request at a time until it has answered.
	suspectDuration = 1200 * time.Millisecond
	// latencyWeight is the weight of the latest latency in the moving mean.
	latencyWeight = 0.1
)

// health is the state of a target as observed from its responses.
type health struct {
	failures     float64 // failure rate, exponentially weighted
	ejections    int
	ejectedUntil time.Time
	ejectedAt    time.Time
	// ejectedSilent is set while the target is ejected only because it was silent.
	ejectedSilent bool
	waitingSince  time.Time // since when the target has had requests in flight and sent nothing; zero if idle
	activeAt      time.Time // when the target last sent data to this entry
	abandonedAt   time.Time // when this entry last abandoned a request because the target was silent
	suspectedAt   time.Time // when another entry last reported the target silent
	latency       time.Duration
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

// eject takes the target out of rotation for a time that doubles with each ejection.
func (h *health) eject(now time.Time) {
	if now.Sub(h.ejectedAt) > ejectMemory {
		h.ejections = 0
	}
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedAt, h.ejectedSilent = now, false
	h.ejectedUntil = now.Add(min(ejectBase<<min(h.ejections, 4), ejectMax))
	h.ejections++
	h.failures = maxFailureRate / 2 // two more failures after the return eject it again
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// recordActivity records that the target sent data.
func (h *health) recordActivity(now time.Time) {
	h.waitingSince = now
	h.endSilence(now)
}

// endSilence records that the target sent data that was awaited. It ends an ejection because of
// silence, and that ejection does not make the next one longer: a pause is no failure.
func (h *health) endSilence(now time.Time) {
	h.activeAt = now
	if h.ejectedSilent {
		h.ejectedUntil, h.ejectedSilent = now, false
		h.ejections--
	}
}

// recordSilence records that a request waits for a target that sends nothing, or was given up
// there. The target is ejected at once: waiting for the failure rate to rise would lose further
// requests.
func (h *health) recordSilence(now time.Time) {
	h.abandonedAt = now
	if !h.ejected(now) {
		h.eject(now)
		h.ejectedSilent = true
	}
}

// reportSilent reports whether to report the target to other entries as silent.
func (h *health) reportSilent(now time.Time, limit time.Duration) bool {
	return h.silent(now, limit) || h.recentlyAbandoned(now)
}

// recentlyAbandoned reports whether this entry abandoned a request within silenceReportDuration
// and has received nothing from the target since.
func (h *health) recentlyAbandoned(now time.Time) bool {
	return h.activeAt.Before(h.abandonedAt) && now.Sub(h.abandonedAt) < silenceReportDuration
}

// suspected reports whether another entry reported the target silent within suspectDuration and
// this entry has received nothing from the target since.
func (h *health) suspected(now time.Time) bool {
	return h.activeAt.Before(h.suspectedAt) && now.Sub(h.suspectedAt) < suspectDuration
}

// unconfirmed reports whether this or another entry ever found the target silent and this entry
// has received nothing from the target since.
func (h *health) unconfirmed() bool {
	return h.activeAt.Before(h.suspectedAt) || h.activeAt.Before(h.abandonedAt)
}

func (h *health) silent(now time.Time, limit time.Duration) bool {
	return !h.waitingSince.IsZero() && now.Sub(h.waitingSince) > limit
}

// silenceLimit returns how long a target may send nothing while it has requests in flight.
func (b *Balancer) silenceLimit(now time.Time, t *Target) time.Duration {
	expected := t.health.latency
	if t.model != nil {
		s, _ := b.slowdownOf(now, t, 0)
		expected = time.Duration(s * float64(passTime(t.model, t.model.Slots)+prefillTime(t.model, t.load.PendingPrefill)))
	}
	return max(minSilence, silentFactor*expected)
}

func (h *health) recordLatency(latency time.Duration) {
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

// Package quarantine decides which requests are no longer sent because targets crash
// while processing them, and when such a request is tried again. It performs no I/O, and
// clock readings are passed as arguments.
//
// It protects the fleet against a request whose content crashes every target that starts
// to process it, and that callers retry through any entry. An entry is a process that sends
// callers' requests on to targets. All attempts of a request, and repeated requests with the same
// fields and body, are the same content (see Content). A prompt consists of parts, which requests
// share; where one part crashes targets whatever else the request holds, no two contents need to be
// alike, so the parts are suspects beside the contents. Without quarantine, one such request crashed
// two targets per attempt and caused 40 crashes among 20 engines in 75 s, while 10 to 60 % of the
// concurrent requests were refused.
//
// The evidence is that an incarnation (process start) of a target ended while a content was
// in flight there. All contents in flight on that incarnation are suspected equally, and so are the
// parts of their prompts. Three properties distinguish the content that caused the crash from the bystanders:
//
//   - It is in flight at every crash. A crash is explained if another content in flight on
//     the same incarnation has crashed more targets; only unexplained crashes count.
//   - It never succeeds. A run that the target survives clears all earlier crashes, and a
//     content that succeeded recently must crash targets at manyMoments
//     separate moments.
//   - Its targets crash one at a time. Where many other targets crash at the same moment,
//     a common cause is likelier, and the crashes of that moment count once.
//
// Crashes of a part do not count if a single content that came again and again was there, and a part
// that never succeeded is examined before the contents: requests that are alike in nothing else are
// explained by it. Parts that succeeded come last. All prompts may have a part in common, so it matters
// for a part whether requests without it succeed meanwhile. Where none is even sent that could tell two
// parts apart, ambiguousThreshold crashes one after the other are enough.
//
// This attributes crashes to what was in flight; whether anything in flight caused them is a question of its
// own. Targets crash for other reasons too, and what is often or long in flight is then there by chance.
// So the crashes are weighed against chance (see chanceModel). Only where chance is ruled out is a request
// refused for good; where it is not, requests are held back, while one at a time is sent as a probe.
package quarantine

import "time"

const (
	// crashThreshold is the number of unexplained crashes after which a request is
	// quarantined. Lower values quarantine requests that merely ran on a target when it
	// crashed.
	crashThreshold = 3
	// ambiguousThreshold applies where another content was in flight at all the same
	// crashes, so that the two cannot be distinguished: one more send of each usually
	// separates them.
	ambiguousThreshold = 5
	// manyMoments is the number of successive moments with crashes after which a content that
	// succeeded recently is quarantined. Such a content is in flight on several targets at a time,
	// and all of them crash at once when a rack fails. The same holds for a part without which
	// requests are sent but have not been seen to succeed.
	manyMoments = 8
	// correlationWindow groups crashes that likely share an external cause, such as the
	// loss of a rack.
	correlationWindow = 100 * time.Millisecond
	// correlationFactor is how many times more other targets must crash in a window than
	// targets with the content, for a common cause to be likelier.
	correlationFactor = 2
	// successInterval is the minimum time between two recorded successes of a content without
	// active crashes.
	successInterval = time.Second
)

// A quarantined content is sent once more, as a probe by one entry, initialProbeDelay after
// its last crash. Each further crash multiplies the delay by probeBackoffFactor: 30 s,
// 4 min, 32 min, up to maxProbeDelay. A wrong verdict thus lasts half a minute, and a
// correct one costs one crashed target in that time and three in an hour.
const (
	initialProbeDelay  = 30 * time.Second
	probeBackoffFactor = 8
	maxProbeDelay      = 4 * time.Hour
)

// A content or part that is held back is sent again sooner, because chance may explain its crashes: after
// initialHoldDelay, in which a run that began before usually ends well, and then after four times the
// delay for each further moment with crashes.
const (
	initialHoldDelay  = time.Second
	holdBackoffFactor = 4
)

// suspectRetention is how long after its last crash the evidence is kept on a content that is
// not quarantined.
const suspectRetention = 10 * time.Minute

// Finding describes why a content or part is quarantined and when it may be sent again.
type Finding struct {
	Subject     Fingerprint // the content or part
	Crashes     int         // number of crashes attributed to it
	First, Last time.Time   // times of the first and the last crash
	Reporters   []string    // hosts of the entries that observed the crashes, without duplicates
	ProbeAt     time.Time   // earliest time of the next probe
	// Evidence is how much likelier the crashes are if the content or part causes them than by chance, as
	// a natural logarithm. Certain says that chance is ruled out: the verdict is for good.
	Evidence float64
	Certain  bool
}

// verdict returns what becomes of a request that is no probe.
func (f Finding) verdict() Verdict {
	if f.Certain {
		return Refuse
	}
	return Hold
}

// nextProbe returns when a content or part with the given crashes is sent once more.
func nextProbe(subject Fingerprint, crashes []Crash) time.Time {
	n := len(crashes)
	if subject.IsPart() {
		n = crashThreshold - 1 + waves(crashes)
	}
	return crashes[len(crashes)-1].At.Add(probeDelay(n))
}

// holdDelay returns the time from the last crash of a content or part that is held back to its next probe.
func holdDelay(moments int) time.Duration {
	d := initialHoldDelay
	for ; moments > crashThreshold && d < initialProbeDelay; moments-- {
		d *= holdBackoffFactor
	}
	return min(d, initialProbeDelay)
}

// waves counts the groups of crashes between which a probe may have been sent. Several requests with
// a part may be in flight when the part is quarantined, and each of them crashes another target; only
// the failed probes of a part prove anything new.
func waves(crashes []Crash) int {
	n := 1
	for i, c := range crashes[1:] {
		if c.At.Sub(crashes[i].At) >= initialProbeDelay {
			n++
		}
	}
	return n
}

// probeDelay returns the time from the last crash of a content to its next probe.
func probeDelay(crashes int) time.Duration {
	d := initialProbeDelay
	for ; crashes > crashThreshold && d < maxProbeDelay; crashes-- {
		d *= probeBackoffFactor
	}
	return min(d, maxProbeDelay)
}

// Package quarantine decides which requests are no longer sent because targets crash
// while processing them, and when such a request is tried again. It performs no I/O, and
// clock readings are passed as arguments.
//
// It protects the fleet against a request whose content crashes every target that starts
// to process it, and that callers retry through any entry. All attempts of a request, and
// repeated requests with the same fields and body, are the same content (see Content). An
// entry is a process that sends callers' requests on to targets. Without quarantine, one such
// request crashed two targets per attempt and caused 40 crashes among 20 engines in 75 s,
// while 10 to 60 % of the concurrent requests were refused.
//
// The evidence is that an incarnation (process start) of a target ended while a content was
// in flight there. All contents in flight on that incarnation are suspected equally. Three
// properties distinguish the content that caused the crash from the bystanders:
//
//   - It is in flight at every crash. A crash is explained if another content in flight on
//     the same incarnation has crashed more targets; only unexplained crashes count.
//   - It never succeeds. A run that the target survives clears all earlier crashes, and a
//     content that succeeded recently must crash targets at recentSuccessThreshold
//     separate moments.
//   - Its targets crash one at a time. Where many other targets crash at the same moment,
//     a common cause is likelier, and the crashes of that moment count once.
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
	// recentSuccessThreshold is the number of successive moments with crashes after which
	// a content that succeeded recently is quarantined. Such a content is in flight on
	// several targets at a time, and all of them crash at once when a rack fails.
	recentSuccessThreshold = 8
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

// suspectRetention is how long after its last crash the evidence is kept on a content that is
// not quarantined.
const suspectRetention = 10 * time.Minute

// Finding describes why a content is quarantined and when it may be sent again.
type Finding struct {
	Crashes     int       // number of crashes attributed to the content
	First, Last time.Time // times of the first and the last crash
	Reporters   []string  // hosts of the entries that observed the crashes, without duplicates
	ProbeAt     time.Time // earliest time of the next probe
}

// probeDelay returns the time from the last crash of a content to its next probe.
func probeDelay(crashes int) time.Duration {
	d := initialProbeDelay
	for ; crashes > crashThreshold && d < maxProbeDelay; crashes-- {
		d *= probeBackoffFactor
	}
	return min(d, maxProbeDelay)
}

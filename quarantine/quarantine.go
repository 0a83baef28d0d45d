// Package quarantine decides when a request is sent no more because targets end under
// it, and what lets it go again. It is pure: it does no I/O, and clock readings are
// arguments.
//
// The load that it answers: a request whose content crashes each target that begins to
// run it, and that comes again with the same content at any entry. Two targets an attempt
// ended under one, 40 of 20 engines in 75 s, and a tenth to three fifths of the requests
// beside it were refused meanwhile.
//
// What is known is evidence: a life of a target ended while a content was at work there.
// All that was at work on it is suspected alike; what tells the cause from the bystanders:
//
//   - It is there each time. A life is explained if another content that was at work on it
//     has ended more targets; what remains unexplained counts.
//   - It never ends well. A run that the target survives clears all that was before it, and
//     a content that has ended well lately must end targets at provenThreshold moments.
//   - Its targets end one by one. Where many others end in the same moment, a common cause
//     is likelier, and the moment counts once.
package quarantine

import "time"

const (
	// crashThreshold is the number of unexplained crashes after which a request is
	// quarantined. Lower values quarantine requests that merely ran on a target when it
	// crashed.
	crashThreshold = 3
	// ambiguousThreshold is enough also where another content was in flight at all the same
	// crashes, so that the two cannot be told apart: one more send of each mostly tells.
	ambiguousThreshold = 5
	// provenThreshold is the number of successive moments with crashes after which a content
	// is quarantined that succeeded lately. Such contents are in flight on several targets
	// at a time, and lose all of them at once when a rack fails.
	provenThreshold = 8
	// correlationWindow groups crashes that likely share an external cause, such as the
	// loss of a rack.
	correlationWindow = 100 * time.Millisecond
	// correlationFactor is how many times more other targets must crash in a window than
	// targets with the content, for a common cause to be likelier.
	correlationFactor = 2
	// successInterval is the least time between two records of a content that succeeds.
	successInterval = time.Second
)

// A condemned content is tried again once, by one entry, when its last crash is
// firstProbe ago; each further crash makes that probeFactor times longer: 30 s, 4 min,
// 32 min, up to longestProbe. A wrong verdict so lasts half a minute, and a right one
// costs one target in that time, three in an hour.
const (
	firstProbe   = 30 * time.Second
	probeFactor  = 8
	longestProbe = 4 * time.Hour
)

// suspectFor is how long evidence is kept that condemns nobody yet.
const suspectFor = 10 * time.Minute

// Finding is what is known of a content that is sent no more.
type Finding struct {
	Crashes       int       // targets that ended under it
	First, Last time.Time // when they did
	Reporters        []string  // hosts of the entries that saw it, each once
	ProbeAt     time.Time // when it may be tried again
}

// probeAfter is how long after its last crash a content is tried again.
func probeAfter(lives int) time.Duration {
	d := firstProbe
	for ; lives > crashThreshold && d < longestProbe; lives-- {
		d *= probeFactor
	}
	return min(d, longestProbe)
}

package dispatch

import (
	"time"
)

const (
	// pacingWindow is the window over which requests to a target with a limited rate are
	// counted. It is extended for rates below one request per window.
	pacingWindow = time.Second
	// maxPacingSamples bounds the number of counted requests; the latest are kept.
	maxPacingSamples = 256
	// minRate is the rate in requests per second that a target gets even if it declares a lower
	// limit: without any request no entry would learn that the limit has been lifted.
	minRate = 0.2
	// unansweredBackoff is how long a target with a limited rate gets no requests after its
	// home entry did not answer a reservation request.
	unansweredBackoff = 100 * time.Millisecond
	// initialColdQuota is how many requests an entry may send to a cold target in the first
	// pacingWindow after discovering it: entries that start together do not know each other
	// yet, so each may assume that it is the target's home entry.
	initialColdQuota = 1
)

// rate is the request rate that a target accepts from all entries together.
type rate struct {
	bounded bool
	perS    float64
}

// lower returns the rate with one more upper bound.
func (r rate) lower(perS float64) rate {
	if r.bounded {
		perS = min(perS, r.perS)
	}
	return rate{true, perS}
}

// window returns how many requests may be sent, and the span in which they may be sent.
func (r rate) window() (n int, span time.Duration) {
	n = min(max(int(r.perS*pacingWindow.Seconds()), 1), maxPacingSamples)
	return n, time.Duration(float64(n) / r.perS * float64(time.Second))
}

// pacer limits the rate of requests to a target. The target's home entry counts the requests of
// all entries, every other entry only its own.
type pacer struct {
	sent         []time.Time // in order
	blockedUntil time.Time   // the home entry grants no reservation before this time
}

// next returns when the next request may be sent; a time that is not after now means at once.
func (p *pacer) next(now time.Time, r rate) time.Time {
	if !r.bounded {
		return now
	}
	at := p.blockedUntil
	n, span := r.window()
	if len(p.sent) >= n {
		if free := p.sent[len(p.sent)-n].Add(span); free.After(at) {
			at = free
		}
	}
	return at
}

// count records a request that is sent now.
func (p *pacer) count(now time.Time, r rate) {
	if !r.bounded {
		p.sent = nil
		return
	}
	p.sent = append(p.sent, now)
	p.sent = p.sent[max(len(p.sent)-maxPacingSamples, 0):]
}

// undo removes the latest request from the count.
func (p *pacer) undo() {
	p.sent = p.sent[:max(len(p.sent)-1, 0)]
}

// exhaust counts all but keep of the requests that the rate allows in one window, and at least
// one, as sent now. Requests sent before the rate was known, or by other entries, are unknown and
// assumed to have used up the window.
func (p *pacer) exhaust(now time.Time, r rate, keep int) {
	n, _ := r.window()
	for range max(n-keep, 1) {
		p.count(now, r)
	}
}

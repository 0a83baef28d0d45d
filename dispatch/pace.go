package dispatch

import (
	"time"
)

const (
	// paceSpan is the span over which requests to a target with a bounded rate are
	// counted; it is longer where not even one fits.
	paceSpan = time.Second
	// paceCounted bounds how many are counted, the newest.
	paceCounted = 256
	// leastRate is what a target gets that names a lower limit, in requests a second:
	// without any request nobody would hear that it takes them again.
	leastRate = 0.2
	// holdUnanswered is how long a target with a bounded rate is left alone after its
	// home did not answer.
	holdUnanswered = 100 * time.Millisecond
	// firstSights is what an entry may send to a cold target in the first paceSpan after it
	// has found the target: entries that start together do not know each other yet.
	firstSights = 1
)

// rate is how many requests a second a target takes from all entries together.
type rate struct {
	bounded bool
	perS    float64
}

// lower returns the rate with one more bound.
func (r rate) lower(perS float64) rate {
	if r.bounded {
		perS = min(perS, r.perS)
	}
	return rate{true, perS}
}

// window returns how many requests may be sent in which span.
func (r rate) window() (n int, span time.Duration) {
	n = min(max(int(r.perS*paceSpan.Seconds()), 1), paceCounted)
	return n, time.Duration(float64(n) / r.perS * float64(time.Second))
}

// pace holds a target to a rate. The home of a target counts the requests of all
// entries, each other entry those that it sends.
type pace struct {
	sent      []time.Time // in order
	heldUntil time.Time   // the home grants no place before
}

// next returns when one more request may be sent; not after now if it may at once.
func (p *pace) next(now time.Time, r rate) time.Time {
	if !r.bounded {
		return now
	}
	at := p.heldUntil
	n, span := r.window()
	if len(p.sent) >= n {
		if free := p.sent[len(p.sent)-n].Add(span); free.After(at) {
			at = free
		}
	}
	return at
}

// count notes a request that is sent now.
func (p *pace) count(now time.Time, r rate) {
	if !r.bounded {
		p.sent = nil
		return
	}
	p.sent = append(p.sent, now)
	p.sent = p.sent[max(len(p.sent)-paceCounted, 0):]
}

// takeBack undoes the newest count.
func (p *pace) takeBack() {
	p.sent = p.sent[:max(len(p.sent)-1, 0)]
}

// spend counts as many requests as may be sent now, but for some. What was sent before
// the rate was known, or by others, is not known.
func (p *pace) spend(now time.Time, r rate, but int) {
	n, _ := r.window()
	for range max(n-but, 1) {
		p.count(now, r)
	}
}

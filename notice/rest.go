package notice

import "time"

// trialTimeout is how long the first request after a rest stays the only one: an answer
// takes less at a target that serves.
const trialTimeout = 500 * time.Millisecond

// Backoff is a time in which a target wants no request of this entry. Other entries are not
// told: it is between the two. After it one request is tried, and the others follow once
// that is answered: all at once would be turned away together.
type Backoff struct {
	until   time.Time
	untried bool      // no request sent after it has been answered
	triedAt time.Time // when the last one was sent to try it
}

// hear takes an answer to a request that was sent at a time, in which the target asks for
// rest, or does not. It reports whether a rest begins.
func (r *Backoff) hear(now time.Time, rest time.Duration, sent time.Time) bool {
	if rest <= 0 {
		r.untried = r.untried && sent.Before(r.until)
		return false
	}
	begins := !r.ongoing(now)
	if until := now.Add(rest); until.After(r.until) {
		r.until = until
	}
	r.untried = true
	return begins
}

func (r Backoff) ongoing(now time.Time) bool { return now.Before(r.until) }

// Next returns when a request may be sent; not after now if it may at once.
func (r Backoff) Next(now time.Time) time.Time {
	if r.ongoing(now) || !r.untried || r.triedAt.Before(r.until) {
		return r.until
	}
	return r.triedAt.Add(trialTimeout)
}

// try notes that a request is sent.
func (r *Backoff) try(now time.Time) {
	if r.untried {
		r.triedAt = now
	}
}

// untry takes back that one was sent.
func (r *Backoff) untry() { r.triedAt = time.Time{} }

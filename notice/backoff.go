package notice

import "time"

// probeTimeout is how long the first request after a back-off remains the only one while it is
// unanswered. A working target responds sooner.
const probeTimeout = 500 * time.Millisecond

// Backoff is a period in which a target wants no requests from this entry. It is not reported
// to other entries, since it concerns this entry only. After the period a single request is sent
// as a probe, and others follow once the probe has been answered: sent together, all would be
// refused again.
type Backoff struct {
	until       time.Time
	unconfirmed bool      // no request sent after the back-off has been answered
	probedAt    time.Time // when the latest probe was sent
}

// record applies the response to a request sent at the given time, in which the target requests
// a back-off of the given duration, or none if it is zero. It reports whether a back-off begins.
func (b *Backoff) record(now time.Time, duration time.Duration, sent time.Time) bool {
	if duration <= 0 {
		b.unconfirmed = b.unconfirmed && sent.Before(b.until)
		return false
	}
	begins := !b.ongoing(now)
	if until := now.Add(duration); until.After(b.until) {
		b.until = until
	}
	b.unconfirmed = true
	return begins
}

func (b Backoff) ongoing(now time.Time) bool { return now.Before(b.until) }

// Next returns when the next request may be sent; a time that is not after now means at once.
func (b Backoff) Next(now time.Time) time.Time {
	if b.ongoing(now) || !b.unconfirmed || b.probedAt.Before(b.until) {
		return b.until
	}
	return b.probedAt.Add(probeTimeout)
}

// recordSend records that a request is sent.
func (b *Backoff) recordSend(now time.Time) {
	if b.unconfirmed {
		b.probedAt = now
	}
}

// cancelSend undoes recordSend.
func (b *Backoff) cancelSend() { b.probedAt = time.Time{} }

package notice

import "time"

// Rest is a time in which a target wants no request of this entry. Other entries are not
// told: it is between the two.
type Rest struct {
	until time.Time
}

// hear takes an answer to a request that was sent at a time, in which the target asks for
// rest, or does not. It reports whether a rest begins.
func (r *Rest) hear(now time.Time, rest time.Duration, sent time.Time) bool {
	if rest <= 0 {
		return false
	}
	begins := !r.Ongoing(now)
	if until := now.Add(rest); until.After(r.until) {
		r.until = until
	}
	return begins
}

// Ongoing reports whether the target rests.
func (r Rest) Ongoing(now time.Time) bool { return now.Before(r.until) }

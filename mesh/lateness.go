package mesh

import "time"

const (
	// lateRound is how late a round of Mesh.Run must begin for this process to count as late.
	lateRound = 100 * time.Millisecond
	// lateFor is for how long after a late round it counts as late: what it missed meanwhile,
	// messages and answers of others, is handled in this time.
	lateFor = time.Second
)

// lateness tells whether this process itself gets too little processor time. Others then seem
// slow or silent to it that are not.
type lateness struct{ until time.Time }

// record notes by how much a round begins too late, and reports whether that counts as late.
func (l *lateness) record(now time.Time, by time.Duration) bool {
	if by <= lateRound {
		return false
	}
	l.until = now.Add(lateFor)
	return true
}

func (l *lateness) late(now time.Time) bool { return now.Before(l.until) }

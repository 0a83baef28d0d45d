package dispatch

import (
	"time"
)

// coldWindow is the span over which requests to a cold target are counted.
const coldWindow = time.Second

// coldRate bounds how many requests a cold target gets: one that is handed more than it
// bears crashes. The home of a target counts the requests of all entries; an entry that
// cannot ask it has its own count alone.
type coldRate struct {
	until  time.Time // when the target is warm
	perS   float64   // requests a second that it bears; 0 for any number
	grants []time.Time
}

// allows reports whether one more request may be sent now.
func (c *coldRate) allows(now time.Time) bool {
	if c.perS <= 0 || !now.Before(c.until) {
		c.grants = nil
		return true
	}
	recent := 0
	for recent < len(c.grants) && now.Sub(c.grants[len(c.grants)-1-recent]) < coldWindow {
		recent++
	}
	c.grants = c.grants[len(c.grants)-recent:]
	return float64(recent+1) <= max(c.perS, 1)
}

// count notes a request that is sent now.
func (c *coldRate) count(now time.Time) {
	if c.perS > 0 && now.Before(c.until) {
		c.grants = append(c.grants, now)
	}
}

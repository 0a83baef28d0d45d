package sidecar

import "time"

// paceLevels are the paces that are published, in percent of the time by the cost model. Entries
// treat an engine below the second one like the others.
var paceLevels = [...]int{100, 150, 200, 250, 300, 400, 600, 800}

const (
	// paceTolerance is how far below a level a pace may be to count as that level.
	paceTolerance = 0.95
	// paceInterval is the shortest time between two rises of the published pace. It bounds the
	// messages about an engine that changes often while the agent reads its report often.
	paceInterval = 200 * time.Millisecond
	// paceReturn is how long an engine must be faster before a lower pace is published: two
	// reads of the report at the idle interval.
	paceReturn = 800 * time.Millisecond
)

// paceFilter decides which pace of an engine is published: a rise at once, a fall only after the
// engine has been faster for paceReturn. Small changes are not published.
type paceFilter struct {
	published  int // percent; 0 if unknown
	raisedAt   time.Time
	lowerSince time.Time // zero if the last pace was not below the published one
	highest    int       // level since lowerSince
}

// update returns the pace to publish, in percent, after the engine stated a pace; 0 if it states
// none.
func (f *paceFilter) update(now time.Time, pace float64) int {
	level := paceLevel(pace)
	switch {
	case level == 0 || f.published == 0:
		*f = paceFilter{published: level, raisedAt: now}
	case level > f.published:
		f.lowerSince = time.Time{}
		if now.Sub(f.raisedAt) >= paceInterval {
			f.published, f.raisedAt = level, now
		}
	case level == f.published:
		f.lowerSince = time.Time{}
	default:
		f.lower(now, level)
	}
	return f.published
}

// lower handles a level below the published one.
func (f *paceFilter) lower(now time.Time, level int) {
	if f.lowerSince.IsZero() {
		f.lowerSince, f.highest = now, level
	}
	f.highest = max(f.highest, level)
	if now.Sub(f.lowerSince) >= paceReturn {
		f.published, f.lowerSince = f.highest, time.Time{}
	}
}

// paceLevel returns the level of a pace; 0 if the engine states none.
func paceLevel(pace float64) int {
	if !(pace > 0) {
		return 0
	}
	level := paceLevels[0]
	for _, l := range paceLevels[1:] {
		if 100*pace >= paceTolerance*float64(l) {
			level = l
		}
	}
	return level
}

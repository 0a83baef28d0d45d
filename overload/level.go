package overload

import "time"

const (
	// startShare is the part of the admitted work that finds no place from which a level is
	// needed: urgent requests are to be served at least 0.95 of the time.
	startShare = 0.05
	// startRefusals is how many requests must have found no place lately, so that a few chance
	// refusals in a lightly loaded service start no level.
	startRefusals = 3
	// startTime is the least time over which the unplaced part is measured from which a level
	// starts: requests are placed or given up in batches.
	startTime = 150 * time.Millisecond
	// shortShare is the part of the admitted work that finds no place while the room is used up.
	shortShare = 0.01
	// minHeadroom is the part by which the level exceeds what could be placed, so that the room
	// is used up and its growth noticed.
	minHeadroom = 0.02
	// minSettle and maxSettle bound how long requests that were admitted before a change of the
	// room are expected to wait for a place. Their outcome does not show its effect.
	minSettle = 200 * time.Millisecond
	maxSettle = time.Second
	// measureTime is the time between that and the next change: a period of the reports of other
	// entries.
	measureTime = 500 * time.Millisecond
	// onset is how long the measured demand takes to follow a rise that started a level.
	onset = 2 * demandHalfLife
	// largeShare is the part of the admitted work that finds no place from which the room is
	// changed after hastyMeasureTime.
	largeShare       = 0.25
	hastyMeasureTime = 200 * time.Millisecond
	// minFraction is the least part of all demand that is admitted. It bounds the loss of callers
	// whose entry competes with entries that keep no level.
	minFraction = 0.15
	// idleUtilization is the utilization below which targets have room for more requests.
	idleUtilization = 0.75
	// idleTime is how long targets must be idle to be considered so.
	idleTime = 300 * time.Millisecond
	// quietSteps is how many small steps are made, while the utilization is known and shows no
	// more room, before they double: a slight excess takes that long to fill the queues.
	quietSteps = 3
	// fastStep is the part that the room can grow from which it does so at once.
	fastStep = 1.1
	// maxStep bounds the factor by which one step increases the room.
	maxStep = 4
)

// supply is what is known of a service's load.
type supply struct {
	settle      time.Duration // how long a change of the room takes to have an effect
	measured    time.Duration // since when unplaced is measured
	entries     int           // other entries that told their level since the latest change
	levels      float64       // sum of their levels
	limiting    int           // such entries whose level is below 1
	limits      float64       // sum of their levels
	demand      float64       // of all classes, in seconds of target time per second
	unplaced    float64       // part of the work admitted since the latest change that found no place
	refusals    float64       // requests that lately found no place
	utilization float64       // of the targets; zero if unknown
	idle        time.Duration // how long a considerable part of the targets has been idle; 0 if it is not
	divided     bool          // there is more than one class
}

// addLevel adds the level of another entry.
func (s *supply) addLevel(level float64) {
	if level <= 0 {
		return
	}
	s.entries++
	s.levels += level
	if level < 1 {
		s.limiting++
		s.limits += level
	}
}

// roomEstimate estimates the room of a service while it is short, in seconds of target time per
// second. The room falls by the part of the admitted work that finds no place, and grows by steps
// that double while all find one.
type roomEstimate struct {
	room     float64 // zero while no level is needed
	fraction float64 // room over demand during the onset
	headroom float64 // part by which the next step increases the room
	quiet    int     // steps since work found no place
	full     float64 // utilization while work found no place; zero if unknown
	started  time.Time
	changed  time.Time
}

// update adjusts the room.
func (r *roomEstimate) update(now time.Time, s supply) {
	since := now.Sub(r.changed)
	switch {
	case !s.divided:
		*r = roomEstimate{}
		return
	case r.room == 0:
		if !s.startsLevel() {
			return
		}
		*r = roomEstimate{room: s.demand, fraction: 1, full: 1, started: now}
		r.multiply(now, s.firstLevel())
	case since >= idleTime && s.idle >= idleTime:
		r.multiply(now, r.spare(s))
	case since >= idleTime && s.unplaced < shortShare && r.spare(s) > fastStep:
		r.multiply(now, (1+r.spare(s))/2)
	case since >= s.settle+measureTime || since >= s.settle+hastyMeasureTime && s.unplaced >= largeShare:
		r.adjust(now, s)
	}
	r.follow(now, s.demand)
	if r.room >= s.demand {
		*r = roomEstimate{}
	}
}

// startsLevel reports whether a level is needed. While most entries hold one, any shortage is enough,
// so that an entry that has restarted joins them.
func (s supply) startsLevel() bool {
	least := startShare
	if s.othersLimit() {
		least = shortShare
	}
	return s.unplaced >= least && s.refusals >= startRefusals && s.measured >= startTime && s.idle == 0
}

func (s supply) othersLimit() bool { return 2*s.limiting > s.entries }

// firstLevel returns the part of the demand that is admitted at first: the mean of the other
// entries if most hold a level, or what could be placed.
func (s supply) firstLevel() float64 {
	if s.othersLimit() {
		return s.limits / float64(s.limiting)
	}
	return (1 - s.unplaced) * (1 + minHeadroom)
}

// adjust changes the room as the measurements since the latest change call for.
func (r *roomEstimate) adjust(now time.Time, s supply) {
	r.align(s)
	if s.unplaced < shortShare {
		r.grow(now, s)
		return
	}
	r.multiply(now, (1-s.damping()*s.unplaced)*(1+minHeadroom))
	r.headroom, r.quiet = minHeadroom, 0
	r.full = max((r.full+s.utilization)/2, s.utilization)
}

// align sets the room to the mean of all entries, so that their levels do not drift apart.
func (r *roomEstimate) align(s supply) {
	if s.entries == 0 || s.demand == 0 {
		return
	}
	own := r.room / s.demand
	mean := (own + s.levels) / float64(1+s.entries)
	r.room *= mean / own
	r.fraction *= mean / own
}

// damping returns the part of a change that an entry makes, since the mean with which it starts
// has been changed by others for the same reason.
func (s supply) damping() float64 {
	n := float64(s.entries)
	return 1 / (1 + n/(n+1))
}

func (r *roomEstimate) multiply(now time.Time, factor float64) {
	r.room *= factor
	r.fraction *= factor
	r.headroom = max(r.headroom, minHeadroom)
	r.changed = now
}

func (r *roomEstimate) grow(now time.Time, s supply) {
	r.multiply(now, max(1+r.headroom, r.spare(s)))
	r.quiet++
	if r.quiet >= quietSteps || s.utilization == 0 {
		r.headroom *= 2
	}
}

// spare returns the factor by which the utilization can rise to what it was in the shortage.
func (r *roomEstimate) spare(s supply) float64 {
	if s.idle == 0 && s.utilization == 0 {
		return 1
	}
	full := min(max(r.full, idleUtilization), 1)
	return min(max(full/max(s.utilization, 1e-9), 1), maxStep)
}

// follow adapts the room to the demand during the onset of a level, in which the measured demand
// still rises, and bounds it.
func (r *roomEstimate) follow(now time.Time, demand float64) {
	if now.Sub(r.started) <= onset {
		r.room = r.fraction * demand
	}
	r.room = max(r.room, minFraction*demand)
}

// keepFraction keeps the admitted part of the demand for as long as an onset takes, after entries
// have joined or left those whose demand is known: callers of one that has died come to others,
// and those of one that cannot be heard do not. demand includes joined.
func (r *roomEstimate) keepFraction(now time.Time, demand, joined, gone float64) {
	if before := demand - joined + gone; r.room > 0 && before > 0 && joined+gone > 0 {
		r.fraction = min(r.room/before, 1)
		r.started = now
	}
}

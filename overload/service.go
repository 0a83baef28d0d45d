package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// updateInterval is how often a level is recomputed.
	updateInterval = 100 * time.Millisecond
	// utilizationHalfLife is that of the mean of a service's utilization.
	utilizationHalfLife = 200 * time.Millisecond
	// utilizationLifetime is how long a utilization is used that is not repeated.
	utilizationLifetime = 2 * time.Second
)

// service is the state of one service.
type service struct {
	demand     demandTable
	placed     meter
	unplaced   meter
	refusals   meter
	unplacedAt time.Time     // zero if never
	wait       time.Duration // after which requests are given up
	heard      heard
	usedAt     time.Time

	utilization   float64
	utilizationAt time.Time
	idleSince     time.Time // zero if not idle

	estimate  roomEstimate
	alloc     allocator
	claims    []claim // in the order of demand.list, then demand.rests
	counted   int     // classes of demand.list that have claims
	total     float64 // work that all claims ask for
	updatedAt time.Time
}

func newService(now time.Time, cfg Config) *service {
	return &service{demand: newDemandTable(), placed: meter{halfLife: placingHalfLife},
		unplaced: meter{halfLife: placingHalfLife}, refusals: meter{halfLife: demandHalfLife},
		usedAt: now, alloc: allocator{keep: cfg.Keep}}
}

// class returns the class of a request. The fraction of a new one follows from its first request.
func (s *service) class(now time.Time, r Request) *class {
	if cl := s.demand.lookup(r.Class); cl != nil {
		return cl
	}
	cl := s.demand.insert(now, r.Class)
	if s.estimate.room > 0 && cl.Class == r.Class && cl.offered.sum == 0 {
		cl.fraction = s.alloc.fraction(r.Class.Rank, amount(r.Work)*math.Ln2/demandHalfLife.Seconds())
	}
	return cl
}

func (s *service) decide(cl *class, standing Standing) Decision {
	d := Decision{Admitted: true, Limited: s.estimate.room > 0, Fraction: 1}
	if !d.Limited {
		return d
	}
	d.Fraction = cl.fraction
	switch standing {
	case Fresh:
		d.Admitted = cl.admit()
	case Returned:
		d.Admitted = cl.fraction >= 1
	}
	return d
}

// refresh recomputes the level if it is due.
func (s *service) refresh(now time.Time) {
	if now.Sub(s.updatedAt) < updateInterval {
		return
	}
	s.updatedAt = now
	s.measure(now)
	s.heard.expire(now)
	s.demand.prune(now)
	s.claims = s.demand.claims(now, s.claims[:0])
	s.counted = len(s.demand.list)
	supply := s.supply(now)
	s.total = supply.demand
	s.estimate.keepFraction(now, supply.demand, s.heard.joined, s.heard.gone)
	s.heard.joined, s.heard.gone = 0, 0
	s.estimate.update(now, supply)
	if s.estimate.room > 0 {
		s.alloc.allocate(s.estimate.room, s.claims)
	}
	s.setFractions()
}

func (s *service) setFractions() {
	for i, c := range s.demand.list {
		c.fraction = s.claims[i].fraction
	}
	for i, r := range s.demand.rests {
		r.fraction = s.claims[len(s.demand.list)+i].fraction
	}
}

func (s *service) supply(now time.Time) supply {
	u := supply{settle: s.settle(), measured: now.Sub(s.placed.since), divided: len(s.claims) > 1}
	for _, c := range s.claims {
		u.demand += c.work
	}
	placed, unplaced, refusals := s.placed.rate(now), s.unplaced.rate(now), s.refusals.rate(now)
	from := s.measuredFrom()
	for _, r := range s.heard.reports {
		refusals += r.refusals
		if !r.at.After(from) {
			continue
		}
		placed += r.placed
		unplaced += r.unplaced
		u.addLevel(r.level)
	}
	if unplaced > 0 {
		u.unplaced = unplaced / (placed + unplaced)
	}
	u.refusals = refusals * demandHalfLife.Seconds() / math.Ln2
	if now.Sub(s.utilizationAt) <= utilizationLifetime {
		u.utilization = s.utilization
		if !s.idleSince.IsZero() {
			u.idle = max(now.Sub(s.idleSince), 1)
		}
	}
	return u
}

// observeWait adapts wait to how long a request has waited in vain: at once if longer, slowly if
// shorter.
func (s *service) observeWait(waited time.Duration) {
	s.wait = max(waited, s.wait+(waited-s.wait)/16)
}

func (s *service) settle() time.Duration { return min(max(s.wait, minSettle), maxSettle) }

// measuredFrom returns from when on placed and unplaced work shows the effect of the latest change
// of the room.
func (s *service) measuredFrom() time.Time { return s.estimate.changed.Add(s.settle()) }

// measure starts the measurement of placed and unplaced work anew once the latest change of the
// room has taken effect.
func (s *service) measure(now time.Time) {
	from := s.measuredFrom()
	if s.estimate.room == 0 || now.Before(from) || !s.placed.since.Before(from) {
		return
	}
	s.placed.reset(now)
	s.unplaced.reset(now)
}

func (s *service) setUtilization(now time.Time, utilization float64) {
	if old := now.Sub(s.utilizationAt); old <= utilizationLifetime {
		weight := math.Exp2(-float64(old) / float64(utilizationHalfLife))
		utilization = weight*s.utilization + (1-weight)*utilization
	}
	idle := utilization < idleUtilization
	switch {
	case !idle:
		s.idleSince = time.Time{}
	case s.idleSince.IsZero() || now.Sub(s.utilizationAt) > utilizationLifetime:
		s.idleSince = now
	}
	s.utilization, s.utilizationAt = utilization, now
}

// short reports whether a request of this entry found no place lately.
func (s *service) short(now time.Time) bool {
	return !s.unplacedAt.IsZero() && now.Sub(s.unplacedAt) <= shortMemory
}

func (s *service) unused(now time.Time) bool {
	return now.Sub(s.usedAt) > classRetention && len(s.heard.reports) == 0
}

func (s *service) report(now time.Time) Report {
	r := Report{Placed: s.placed.rate(now), Unplaced: s.unplaced.rate(now), Refusals: s.refusals.rate(now),
		Level: 1, Short: s.short(now), Offered: s.demand.offered(now)}
	if s.estimate.room > 0 {
		r.Level = min(s.estimate.room/s.total, 1)
	}
	return r
}

func (s *service) level(name string) Level {
	l := Level{Service: name, Room: s.estimate.room, Entries: 1 + len(s.heard.reports)}
	for i, c := range s.claims {
		cl := ClassLevel{Offered: c.work, Fraction: c.fraction}
		if i < s.counted {
			cl.Class = s.demand.list[i].Class
		} else {
			cl.Class = Class{Rank: c.rank}
		}
		l.Classes = append(l.Classes, cl)
	}
	slices.SortFunc(l.Classes, func(a, b ClassLevel) int {
		return cmp.Or(cmp.Compare(a.Class.Rank, b.Class.Rank), cmp.Compare(a.Class.Team, b.Class.Team))
	})
	return l
}

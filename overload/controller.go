package overload

import (
	"cmp"
	"math"
	"slices"
	"sync"
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

// Controller keeps the admission levels of an entry. Its methods may be called concurrently.
type Controller struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
}

// NewController returns a controller without demand, which admits all requests.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg.withDefaults(), services: map[string]*service{}}
}

// Admit counts a request that has arrived and decides whether it may ask for a place.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(now, r.Service)
	s.usedAt = now
	cl := s.class(now, r)
	if r.Standing == Fresh {
		cl.offered.add(now, amount(r.Work))
		cl.seen = now
	}
	s.refresh(now)
	return s.decide(cl, r.Standing)
}

// RecordPlaced records that an admitted request has a place at a target.
func (c *Controller) RecordPlaced(now time.Time, r Request) {
	if r.Standing != Fresh {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(now, r.Service).placed.add(now, amount(r.Work))
}

// RecordUnplaced records that an admitted request found no place in time.
func (c *Controller) RecordUnplaced(now time.Time, r Request) {
	if r.Standing != Fresh {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(now, r.Service)
	if s.estimate.room == 0 && !s.short(now) {
		s.placed.reset(now) // what was placed before the shortage does not count
		s.unplaced.reset(now)
	}
	s.unplaced.add(now, amount(r.Work))
	s.refusals.add(now, 1)
	s.unplacedAt = now
}

// SetUtilization records which part of the capacity of a service's targets is in use, as far as
// this entry knows. No level is held while a considerable part is idle.
func (c *Controller) SetUtilization(now time.Time, service string, utilization float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(now, service).setUtilization(now, utilization)
}

// Reports returns what to tell other entries, by service. It is empty unless a service has been
// short of room lately, or a level is in force, here or at another entry.
func (c *Controller) Reports(now time.Time) map[string]Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports map[string]Report
	for name, s := range c.services {
		s.refresh(now)
		if s.unused(now) {
			delete(c.services, name)
			continue
		}
		if !s.short(now) && !s.heard.needed() && s.estimate.room == 0 {
			continue
		}
		if reports == nil {
			reports = map[string]Report{}
		}
		reports[name] = s.report(now)
	}
	return reports
}

// SetReports replaces what another entry has told. A report is forgotten if it is not repeated.
func (c *Controller) SetReports(now time.Time, from string, reports map[string]Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		if _, ok := reports[name]; !ok {
			s.heard.remove(from)
		}
	}
	for name, r := range reports {
		s := c.service(now, name)
		s.heard.set(now, &s.demand, from, r)
	}
}

// Forget drops what an entry has told that is gone.
func (c *Controller) Forget(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		s.heard.remove(from)
	}
}

// Levels returns the levels in force, sorted by service, for logs, metrics and operators.
func (c *Controller) Levels(now time.Time) []Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	var levels []Level
	for name, s := range c.services {
		s.refresh(now)
		if s.estimate.room > 0 {
			levels = append(levels, s.level(name))
		}
	}
	slices.SortFunc(levels, func(a, b Level) int { return cmp.Compare(a.Service, b.Service) })
	return levels
}

func (c *Controller) service(now time.Time, name string) *service {
	s := c.services[name]
	if s == nil {
		s = newService(now, c.cfg)
		c.services[name] = s
	}
	return s
}

// service is the state of one service.
type service struct {
	demand     demandTable
	placed     meter
	unplaced   meter
	refusals   meter
	unplacedAt time.Time // zero if never
	heard      heard
	usedAt     time.Time

	utilization   float64
	utilizationAt time.Time
	idleSince     time.Time // zero if not idle

	estimate  roomEstimate
	alloc     allocator
	claims    []claim // in the order of demand.list, then demand.rests
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
	u := supply{measured: now.Sub(s.placed.since), divided: len(s.claims) > 1}
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

// measuredFrom returns from when on placed and unplaced work shows the effect of the latest change
// of the room.
func (s *service) measuredFrom() time.Time { return s.estimate.changed.Add(settleTime) }

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
		if i < len(s.demand.list) {
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

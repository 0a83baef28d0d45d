package overload

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
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
	r.Class = r.Class.normalized()
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
	s.observeWait(r.Waited)
}

// SetUtilization records which part of the capacity of a service's targets is in use, as far as
// this entry knows. No level is held while a considerable part is idle.
func (c *Controller) SetUtilization(now time.Time, service string, utilization float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !math.IsNaN(utilization) {
		c.service(now, service).setUtilization(now, utilization)
	}
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

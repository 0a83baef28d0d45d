package overload

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	urgent = Class{Rank: 0, Team: "a"}
	late   = Class{Rank: 1, Team: "b"}
)

func request(c Class, s Standing) Request {
	return Request{Service: testService, Class: c, Work: meanWork, Standing: s}
}

// offer lets requests of the classes arrive each 5 ms for a time. One request finds a place each
// interval.
func offer(c *Controller, from time.Time, d, interval time.Duration, classes ...Class) time.Time {
	var free time.Time
	for end := from.Add(d); from.Before(end); from = from.Add(5 * time.Millisecond) {
		for _, class := range classes {
			r := request(class, Fresh)
			switch {
			case !c.Admit(from, r).Admitted:
			case from.Before(free):
				c.RecordUnplaced(from, r)
			default:
				c.RecordPlaced(from, r)
				free = from.Add(interval)
			}
		}
	}
	return from
}

const (
	half = 5 * time.Millisecond // of the requests of two classes
	none = time.Hour
	all  = 0
)

func TestAdmitsAllWithoutShortage(t *testing.T) {
	c := NewController(Config{})
	now := offer(c, simStart, 5*time.Second, all, urgent, late)
	assert.Equal(t, c.Admit(now, request(late, Returned)), Decision{Admitted: true, Fraction: 1})
	assert.Equal(t, len(c.Reports(now)), 0)
	assert.Equal(t, len(c.Levels(now)), 0)
}

func TestServiceWithOneClassHasNoLevel(t *testing.T) {
	c := NewController(Config{})
	now := offer(c, simStart, 5*time.Second, none, urgent)
	assert.Equal(t, c.Admit(now, request(urgent, Fresh)), Decision{Admitted: true, Fraction: 1})
}

func TestOneRefusalStartsNoLevel(t *testing.T) {
	c := NewController(Config{})
	now := simStart
	for i := range 50 { // ten requests a second
		for _, class := range []Class{urgent, late} {
			r := request(class, Fresh)
			assert.Assert(t, c.Admit(now, r).Admitted)
			if i == 25 && class == late {
				c.RecordUnplaced(now, r)
			} else {
				c.RecordPlaced(now, r)
			}
		}
		assert.Equal(t, len(c.Levels(now)), 0)
		now = now.Add(200 * time.Millisecond)
	}
}

func TestStandingsWhileLimited(t *testing.T) {
	c := NewController(Config{})
	now := offer(c, simStart, 2*time.Second, half, urgent, late)
	d := c.Admit(now, request(late, Returned))
	assert.Assert(t, d.Limited && !d.Admitted && d.Fraction < 1, "%+v", d)
	d = c.Admit(now, request(late, Begun))
	assert.Assert(t, d.Limited && d.Admitted)
	d = c.Admit(now, request(urgent, Fresh))
	assert.Assert(t, d.Fraction > 0.5, "%+v", d)
}

func TestSettleTimeFollowsWaits(t *testing.T) {
	c := NewController(Config{})
	r := request(urgent, Fresh)
	c.RecordUnplaced(simStart, r)
	s := c.services[testService]
	assert.Equal(t, s.settle(), minSettle)
	r.Waited = 400 * time.Millisecond
	c.RecordUnplaced(simStart, r)
	assert.Equal(t, s.settle(), r.Waited)
	r.Waited = time.Hour
	c.RecordUnplaced(simStart, r)
	assert.Equal(t, s.settle(), maxSettle)
	r.Waited = 300 * time.Millisecond
	for range 1000 {
		c.RecordUnplaced(simStart, r)
	}
	assert.Assert(t, s.settle() < 310*time.Millisecond, "%v", s.settle())
}

func TestLevels(t *testing.T) {
	c := NewController(Config{})
	now := offer(c, simStart, time.Second, half, urgent, late)
	c.SetReports(now, "other", map[string]Report{testService: {Short: true, Offered: []ClassDemand{{Class: urgent, Work: 3}}}})
	now = now.Add(updateInterval)
	levels := c.Levels(now)
	assert.Equal(t, len(levels), 1)
	assert.Equal(t, levels[0].Service, testService)
	assert.Equal(t, levels[0].Entries, 2)
	assert.Equal(t, len(levels[0].Classes), 2)
	assert.Equal(t, levels[0].Classes[0].Class, urgent)
	assert.Assert(t, levels[0].Classes[0].Offered > 3)
	assert.Assert(t, levels[0].Classes[1].Fraction < 1)
}

func TestReportsAreForgotten(t *testing.T) {
	reports := map[string]Report{testService: {Short: true, Offered: []ClassDemand{{Class: urgent, Work: 3}}}}
	for name, forget := range map[string]func(*Controller) time.Time{
		"not repeated": func(*Controller) time.Time { return simStart.Add(reportLifetime + time.Second) },
		"entry gone":   func(c *Controller) time.Time { c.Forget("other"); return simStart.Add(updateInterval) },
		"withdrawn": func(c *Controller) time.Time {
			c.SetReports(simStart, "other", nil)
			return simStart.Add(updateInterval)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewController(Config{})
			c.Admit(simStart, request(late, Fresh))
			c.SetReports(simStart, "other", reports)
			assert.Equal(t, len(c.Reports(simStart)), 1, "an entry tells its demand when another one is short")
			now := forget(c)
			assert.Equal(t, len(c.Reports(now)), 0)
			s := c.services[testService]
			assert.Equal(t, len(s.heard.reports), 0)
			for _, class := range s.demand.list {
				assert.Equal(t, class.heard, 0.0)
			}
		})
	}
}

// TestReportsDoNotSustainEachOther checks that entries stop reporting once none is short.
func TestReportsDoNotSustainEachOther(t *testing.T) {
	a, b := NewController(Config{}), NewController(Config{})
	now := offer(a, simStart, 100*time.Millisecond, none, urgent, late)
	offer(b, simStart, 100*time.Millisecond, all, urgent, late)
	for range 20 {
		b.SetReports(now, "a", a.Reports(now))
		a.SetReports(now, "b", b.Reports(now))
		now = now.Add(simReports)
	}
	assert.Equal(t, len(a.Reports(now))+len(b.Reports(now)), 0)
}

func TestBadReports(t *testing.T) {
	c := NewController(Config{})
	now := offer(c, simStart, time.Second, half, urgent, late)
	var offered []ClassDemand
	for i := range 3 * maxClasses {
		offered = append(offered, ClassDemand{Class: Class{Rank: i % 7, Team: fmt.Sprint("x", i)}, Work: 0.001})
	}
	offered = append(offered, ClassDemand{Class: late, Work: math.NaN()}, ClassDemand{Class: late, Work: math.Inf(1)},
		ClassDemand{Class: late, Work: -5}, ClassDemand{Class: Class{Rank: -3}, Work: 1, Teams: -1})
	for i := range 100 {
		offered = append(offered, ClassDemand{Class: Class{Rank: (i - 50) << 40}, Work: 0.001, Teams: 1 << 40})
	}
	r := Report{Placed: math.NaN(), Unplaced: math.Inf(1), Refusals: -1, Level: 17, Offered: offered}
	for range 3 {
		c.SetReports(now, "other", map[string]Report{testService: r})
		now = offer(c, now, time.Second, half, urgent, late)
		s := c.services[testService]
		assert.Assert(t, len(s.demand.list) <= maxClasses && len(s.demand.rests) <= maxRank+1)
		assert.Assert(t, s.total > 0 && s.total < 1000, "demand %v", s.total)
		d := c.Admit(now, request(urgent, Fresh))
		assert.Assert(t, d.Fraction > 0 && d.Fraction <= 1, "%+v", d)
	}
}

func TestConcurrentUse(t *testing.T) {
	c := NewController(Config{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			now := offer(c, simStart, time.Second, half, urgent, late)
			c.SetUtilization(now, testService, 1)
			c.SetReports(now, fmt.Sprint(i), c.Reports(now))
			c.Levels(now)
			c.Forget(fmt.Sprint(i))
		})
	}
	wg.Wait()
	assert.Equal(t, len(c.services[testService].heard.reports), 0)
}

func TestIdleServicesAreDropped(t *testing.T) {
	c := NewController(Config{})
	now := offer(c, simStart, time.Second, half, urgent, late)
	c.Reports(now.Add(time.Minute))
	assert.Equal(t, len(c.services), 0)
}

func TestConfigDefaults(t *testing.T) {
	for keep, want := range map[float64]float64{0: defaultKeep, -1: 0, 0.2: 0.2, 3: maxKeep, math.Inf(1): maxKeep} {
		assert.Equal(t, Config{Keep: keep}.withDefaults().Keep, want)
	}
	assert.Equal(t, Config{Keep: math.NaN()}.withDefaults().Keep, defaultKeep)
}

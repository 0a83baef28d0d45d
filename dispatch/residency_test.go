package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/residency"
	"gotest.tools/v3/assert"
)

// newRegionalBalancer returns a balancer with two engines in each of the failure domains a, b
// and c, each in a region of its own.
func newRegionalBalancer(t *testing.T, evacuated ...string) *Balancer {
	t.Helper()
	var list []*fleet.Instance
	for i := range 6 {
		e := engine(i, 1)
		e.Domain = string(rune('a' + i%3))
		list = append(list, e)
	}
	b := newTestBalancer(engineModel(), Config{Regions: regions()}, list...)
	b.SetEvacuated(evacuated)
	return b
}

func regions() map[string]string { return map[string]string{"a": "A", "b": "B", "c": "C"} }

// domainsOf returns the failure domains that 30 consecutive requests are sent to.
func domainsOf(t *testing.T, b *Balancer, d Demand, avoid ...string) map[string]bool {
	t.Helper()
	got := map[string]bool{}
	for range 30 {
		c, v := b.Pick(start, testService, d, avoid)
		if v != Chosen {
			got[v.String()] = true
			continue
		}
		got[c.Instance.Domain] = true
		b.Finish(start, c.Target, Result{PendingPrefill: d.Prompt})
	}
	return got
}

func TestRequestStaysInHomeRegions(t *testing.T) {
	for _, standing := range []Standing{Fresh, Overdue, Resumed} {
		d := demand()
		d.Standing, d.HomeRegions = standing, residency.HomeRegions{Route: []string{"B", "C"}, Team: []string{"C", "A"}}
		b := newRegionalBalancer(t)
		assert.DeepEqual(t, domainsOf(t, b, d), map[string]bool{"c": true})
		// If the targets in the home region are avoided, no other domain replaces it.
		assert.DeepEqual(t, domainsOf(t, b, d, "i-2", "i-5"), map[string]bool{"no_target": true})
		// A target of last resort must be in a home region too.
		b.Finish(start, b.byID["i-2"], Result{ConnectFailed: true})
		assert.DeepEqual(t, domainsOf(t, b, d, "i-5"), map[string]bool{"c": true})
		d.HomeRegions.Team = []string{"A"}
		assert.DeepEqual(t, domainsOf(t, b, d), map[string]bool{"no_domain": true})
	}
}

func TestEvacuatedDomainIsNotChosen(t *testing.T) {
	b := newRegionalBalancer(t, "a", "nowhere")
	d := demand()
	assert.Assert(t, !domainsOf(t, b, d)["a"])
	assert.DeepEqual(t, domainsOf(t, b, d, "i-1", "i-2", "i-4", "i-5"), map[string]bool{"no_target": true})
	d.Standing = Resumed
	assert.Assert(t, !domainsOf(t, b, d)["a"])
	b.SetEvacuated([]string{"a", "b", "c"})
	assert.DeepEqual(t, domainsOf(t, b, d), map[string]bool{"no_domain": true})
	b.SetEvacuated(nil)
	assert.Assert(t, domainsOf(t, b, demand())["a"], "evacuation lifted")
}

// A home entry that knows that a failure domain is evacuated grants no reservation there to an
// entry that does not know.
func TestHomeDeniesReservationInEvacuatedDomain(t *testing.T) {
	b := newRegionalBalancer(t, "a")
	a := Admission{MaxWait: time.Hour}
	assert.Assert(t, !b.Reserve(start, "x", "i-0", 10, a).Granted)
	assert.Assert(t, b.Reserve(start, "x", "i-1", 10, a).Granted)
}

// Only targets that may run the request count towards the sample size.
func TestSampleCountsAllowedTargetsOnly(t *testing.T) {
	var list []*fleet.Instance
	for i := range 60 {
		e := engine(i, 1)
		e.Domain = "a"
		list = append(list, e)
	}
	home := engine(99, 1)
	home.Domain = "c"
	b := newTestBalancer(engineModel(), Config{SampleSize: 2, Regions: regions()}, append(list, home)...)
	d := demand()
	d.HomeRegions.Route = []string{"C"}
	assert.DeepEqual(t, domainsOf(t, b, d), map[string]bool{"c": true})
}

// A cold target gets no more requests per second than its cold rate, whichever entry sends
// them.
func TestColdTargetStaysBelowColdRate(t *testing.T) {
	const rate, coldFor = 3, 4 * time.Second
	e := engine(1, 1)
	e.ColdUntil = start.Add(coldFor)
	b := newTestBalancer(engineModel(), Config{}, e)
	b.Apply([]*fleet.Instance{e}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel(), ColdRate: rate}})
	var sent []time.Time
	const step = 20 * time.Millisecond
	for i := range int(2 * coldFor / step) {
		now := start.Add(time.Duration(i) * step)
		if i%2 == 0 {
			if b.Reserve(now, "x", "i-1", 1, Admission{MaxWait: time.Hour}).Granted {
				sent = append(sent, now)
			}
			b.SetLoads("x", nil)
			continue
		}
		c, v := b.Pick(now, testService, demand(), nil)
		if v == Chosen {
			sent = append(sent, now)
			b.Finish(now, c.Target, Result{PendingPrefill: 1000})
		} else {
			assert.Equal(t, v, Paced)
		}
	}
	cold := 0
	for i, at := range sent {
		if at.Before(e.ColdUntil) {
			cold++
		}
		if i >= rate && sent[i-rate].Before(e.ColdUntil) && at.Before(e.ColdUntil) {
			assert.Assert(t, at.Sub(sent[i-rate]) >= time.Second, "requests at %v and %v exceed the cold rate", sent[i-rate], at)
		}
	}
	assert.Equal(t, cold, rate*int(coldFor/time.Second), "the cold rate must be used up")
	assert.Assert(t, len(sent)-cold > 100, "a warm target has no rate limit")
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

const testService = "svc"

// engineModel is an engine of 16 slots that reads 19,100 tokens a second.
func engineModel() *fleet.EngineModel {
	return &fleet.EngineModel{Model: "m", Slots: 16, Step: 8870 * time.Microsecond, StepPerSeq: 39 * time.Microsecond,
		StepPerKilo: 23 * time.Microsecond, PrefillRate: 19100, Stride: 5, MeanPrompt: 977, MeanAnswer: 94, Layers: 16}
}

func engine(i, version int) *fleet.Instance {
	return &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: testService, Addr: fmt.Sprintf("10.0.0.%d:80", i), Domain: "a",
		Models: []fleet.ModelVersion{{Model: "m", Version: version, Layers: 16}}}
}

func plain(i int) *fleet.Instance {
	return &fleet.Instance{ID: fmt.Sprintf("p-%d", i), Service: testService, Addr: fmt.Sprintf("10.0.1.%d:80", i), Domain: "a", Slots: 6}
}

func book(m *fleet.EngineModel, cfg Config, instances ...*fleet.Instance) *Balancer {
	b := NewBalancer(cfg, rand.New(rand.NewPCG(1, 2)))
	b.Apply(instances, map[string]*fleet.Service{testService: {Name: testService, Engine: m}})
	return b
}

func demand() Demand {
	return Demand{Prompt: 1000, Objective: 400 * time.Millisecond, MaxGap: 400 * time.Millisecond, Domain: "a"}
}

// picked returns the id of the choice, or the verdict.
func picked(b *Balancer, now time.Time, avoid ...string) string {
	c, v := b.Pick(now, testService, demand(), avoid)
	if v != Chosen {
		return v.String()
	}
	return c.Target.ID
}

func TestForecastFollowsTheCostModel(t *testing.T) {
	m := engineModel()
	idle := forecastEngine(m, Load{}, demand())
	busy := forecastEngine(m, Load{Requests: 15}, demand())
	full := forecastEngine(m, Load{Requests: 16}, demand())
	reading := forecastEngine(m, Load{Requests: 8, PendingPrefill: 4000}, demand())
	assert.Assert(t, idle.FirstEvent < busy.FirstEvent)
	assert.Assert(t, busy.FirstEvent < full.FirstEvent, "a full engine makes it wait for a slot")
	assert.Assert(t, reading.Gap > 200*time.Millisecond, "4,000 tokens are read between two events of others")
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 5, PendingPrefill: 3000}})
	assert.Equal(t, picked(b, start), "i-2")
}

func TestPickLeavesOut(t *testing.T) {
	draining, empty := engine(1, 1), engine(2, 1)
	draining.Draining = true
	empty.Models = nil
	b := book(engineModel(), Config{}, draining, empty, engine(3, 1), engine(4, 1))
	b.SetState("10.0.0.3:80", EngineState{Version: 1, Loading: true})
	for range 3 {
		assert.Equal(t, picked(b, start), "i-4")
	}
	assert.Equal(t, picked(b, start, "i-4"), "no_target")
}

func TestAgentIsNewerThanTheList(t *testing.T) {
	empty := engine(1, 1)
	empty.Models = nil
	b := book(engineModel(), Config{}, empty)
	assert.Equal(t, picked(b, start), "no_target")
	b.SetState(empty.Addr, EngineState{Version: 1})
	assert.Equal(t, picked(b, start), "i-1")
	b.DeleteState(empty.Addr)
	assert.Equal(t, picked(b, start), "no_target")
}

// A second version must not put the time of the first off.
// An engine that started again under its ID knows nothing of before: neither what it
// served, nor what was in flight or failed there, nor what its agent said until then.
func TestNothingIsBelievedOfAnEarlierLife(t *testing.T) {
	first, second, other := engine(1, 1), engine(1, 0), engine(2, 1)
	first.Born, second.Born = 1000, 2000
	b := book(engineModel(), Config{}, first)
	b.SetState(first.Addr, EngineState{Version: 1, StartMs: 1000})
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 5, PendingPrefill: 3000}})
	c, v := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	b.Finish(start, c.Target, Result{Replaced: true})
	services := map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}}
	b.Apply([]*fleet.Instance{second}, services)
	assert.Equal(t, picked(b, start), "no_target", "it holds nothing yet, whatever its agent said before")
	b.SetState(second.Addr, EngineState{Version: 1, StartMs: 2000})
	c, v = b.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	assert.Equal(t, c.Load, Load{}, "no load of before")
	b.SetState(second.Addr, EngineState{Version: 0, StartMs: 3000})
	b.Apply([]*fleet.Instance{second, other}, services)
	assert.Equal(t, picked(b, start), "i-2", "the agent knows of a later life than the list")
}

// Targets that do not tell when they were started are known by their IDs alone.
func TestLifeThatIsNotToldIsTheSame(t *testing.T) {
	first, second := engine(1, 1), engine(1, 1)
	second.Born = 2000
	b := book(engineModel(), Config{}, first)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 5}})
	b.Apply([]*fleet.Instance{second}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}})
	c, _ := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, c.Load.Requests, 5)
}

func TestEachVersionKeepsItsTime(t *testing.T) {
	cfg := Config{VersionTimeout: 8 * time.Second, VersionMargin: time.Second}
	b := book(engineModel(), cfg, engine(1, 1), engine(2, 2), engine(3, 3))
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, start)
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 3}, start.Add(2*time.Second))
	assert.Equal(t, picked(b, start.Add(6*time.Second), "i-2", "i-3"), "i-1")
	assert.Equal(t, picked(b, start.Add(7*time.Second), "i-2", "i-3"), "no_target", "version 1 is over")
	assert.Equal(t, picked(b, start.Add(8*time.Second), "i-1", "i-3"), "i-2")
	assert.Equal(t, picked(b, start.Add(9*time.Second), "i-1", "i-3"), "no_target", "version 2 is over")
	assert.Equal(t, picked(b, start.Add(9*time.Second)), "i-3")
}

// A choice says until when the version that the target serves may be begun: the earliest
// end that a newer version brings.
func TestChoiceSaysUntilWhenItsVersionMayBeBegun(t *testing.T) {
	cfg := Config{VersionTimeout: 8 * time.Second, VersionMargin: time.Second}
	b := book(engineModel(), cfg, engine(1, 1), engine(2, 2), engine(3, 3))
	until := func(avoid ...string) time.Time {
		c, v := b.Pick(start.Add(3*time.Second), testService, demand(), avoid)
		assert.Equal(t, v, Chosen)
		return c.StartBy
	}
	assert.Assert(t, until("i-2", "i-3").IsZero(), "no newer version is named")
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, start)
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 3}, start.Add(2*time.Second))
	assert.Equal(t, until("i-2", "i-3"), start.Add(8*time.Second))
	assert.Equal(t, until("i-1", "i-3"), start.Add(10*time.Second))
	assert.Assert(t, until("i-1", "i-2").IsZero())
}

func TestVersionsNeverGoBack(t *testing.T) {
	b := book(engineModel(), Config{VersionTimeout: time.Second, VersionMargin: time.Millisecond}, engine(1, 1), engine(2, 2))
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, start)
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 1}, start.Add(time.Hour))
	assert.Equal(t, picked(b, start.Add(2*time.Hour), "i-2"), "no_target")
}

func TestSaturatedWhenTheForecastIsTooLate(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 30}})
	assert.Equal(t, picked(b, start), "saturated")
	b.SetLoads("other", nil)
	assert.Equal(t, picked(b, start), "i-1", "the other entry's load is forgotten")
}

func TestFailingTargetIsLeftAndTriedAgain(t *testing.T) {
	b := book(nil, Config{}, plain(1), plain(2))
	for range 6 {
		c, v := b.Pick(start, testService, demand(), []string{"p-2"})
		assert.Equal(t, v, Chosen)
		b.Finish(start, c.Target, Result{Failed: true})
	}
	for range 10 {
		assert.Equal(t, picked(b, start), "p-2")
	}
	assert.Equal(t, picked(b, start, "p-2"), "p-1", "an ejected target is better than none")
	later := start.Add(ejectMax)
	assert.Assert(t, !b.byID["p-1"].health.ejected(later))
}

func TestSilentTargetIsLeftUntilItSpeaks(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), []string{"i-2"})
	later := start.Add(silentAfter + time.Millisecond)
	assert.Assert(t, b.Silent(later, c.Target))
	assert.Equal(t, picked(b, later), "i-2")
	b.RecordActivity(later, c.Target, 1000)
	assert.Assert(t, !b.Silent(later, c.Target))
}

// Requests that are given up at a dead target do not make it look alive.
// An engine that reads slowly sends nothing for as long as it reads.
func TestSlowTargetsAreNotSilentTooSoon(t *testing.T) {
	m := engineModel()
	m.PrefillRate /= 20
	slow := book(m, Config{}, engine(1, 1))
	c, v := slow.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	assert.Assert(t, !slow.Silent(start.Add(1500*time.Millisecond), c.Target), "1,000 tokens are read in 1.05 s")
	assert.Assert(t, slow.Silent(start.Add(4*time.Second), c.Target))
	p := book(nil, Config{}, plain(1))
	for range 2 {
		c, _ = p.Pick(start, testService, demand(), nil)
		p.Finish(start, c.Target, Result{Latency: 500 * time.Millisecond})
	}
	c, _ = p.Pick(start, testService, demand(), nil)
	assert.Assert(t, !p.Silent(start.Add(time.Second), c.Target))
	assert.Assert(t, p.Silent(start.Add(2*time.Second), c.Target))
}

func TestGivingUpDoesNotEndTheSilence(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	first, _ := b.Pick(start, testService, demand(), nil)
	_, v := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	later := start.Add(silentAfter + time.Millisecond)
	b.Finish(later, first.Target, Result{Failed: true, Silent: true, PendingPrefill: 1000})
	assert.Assert(t, b.Silent(later, first.Target))
	b.RecordActivity(later, first.Target, 1000)
	assert.Assert(t, !b.Silent(later, first.Target))
}

// What one entry finds silent, the others need not find out by losing requests.
func TestSilenceIsShared(t *testing.T) {
	a := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := a.Pick(start, testService, demand(), []string{"i-2"})
	left := start.Add(700 * time.Millisecond)
	assert.DeepEqual(t, a.SilentTargets(left), []string{"i-1"})
	a.Finish(left, c.Target, Result{PendingPrefill: 1000, Failed: true, Silent: true})
	assert.DeepEqual(t, a.SilentTargets(left.Add(100*time.Millisecond)), []string{"i-1"}) // told for a while after it was left
	assert.Equal(t, len(a.SilentTargets(left.Add(silentSaid))), 0)

	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetLoads("x", map[string]Load{"i-2": {Requests: 8, PendingPrefill: 2000}})
	assert.Assert(t, b.Suspect(left, "i-1"))
	assert.Assert(t, !b.Suspect(left, "i-1"), "no news")
	assert.Equal(t, picked(b, left), "i-2", "though it has more load")
}

// Answers that get lost one by one are no silence: others hear the target.
func TestTargetThatOthersHearIsNotSilent(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), []string{"i-2"})
	b.SetLoads("x", map[string]Load{"i-1": {Requests: 1}, "i-2": {Requests: 8, PendingPrefill: 2000}})
	b.SetResponsive("x", "i-1", true)
	later := start.Add(700 * time.Millisecond)
	assert.Equal(t, len(b.SilentTargets(later)), 0)
	b.Finish(later, c.Target, Result{PendingPrefill: 1000, Failed: true, Silent: true})
	b.Suspect(later, "i-1")
	assert.Equal(t, picked(b, later), "i-1")
	b.SetLoads("x", nil)
	assert.Equal(t, len(b.byID["i-1"].heard), 0, "an entry that is gone vouches for nothing")
}

func TestHeardTargets(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, len(b.ResponsiveTargets(start)), 0)
	b.RecordActivity(start, c.Target, 1000)
	assert.Assert(t, b.ResponsiveTargets(start.Add(heardFor - 1))[c.Target.ID])
	assert.Equal(t, len(b.ResponsiveTargets(start.Add(heardFor))), 0)
}

// A target that was silent has no load and would draw more requests than all
// others: one tries it.
func TestSilentTargetIsTriedByOneRequest(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetLoads("x", map[string]Load{"i-2": {Requests: 8, PendingPrefill: 2000}})
	b.Suspect(start, "i-1")
	now := start.Add(suspectFor)
	c, _ := b.Pick(now, testService, demand(), nil)
	assert.Equal(t, c.Target.ID, "i-1")
	assert.Equal(t, picked(b, now), "i-2", "one is enough")
	b.RecordActivity(now.Add(50*time.Millisecond), c.Target, 1000)
	assert.Equal(t, picked(b, now.Add(60*time.Millisecond)), "i-1")
}

// An entry that hears a target believes its own ears.
func TestOwnEvidenceGoesBeforeSuspicion(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), []string{"i-2"})
	b.SetLoads("x", map[string]Load{"i-2": {Requests: 8, PendingPrefill: 2000}})
	b.Suspect(start, "i-1")
	b.RecordActivity(start.Add(10*time.Millisecond), c.Target, 1000)
	assert.Equal(t, picked(b, start.Add(20*time.Millisecond)), "i-1")
}

func TestDoubtfulTargetIsTheLastResort(t *testing.T) {
	doubtful := plain(1)
	doubtful.Doubtful = true
	b := book(nil, Config{}, doubtful, plain(2))
	for range 5 {
		assert.Equal(t, picked(b, start), "p-2")
	}
	assert.Equal(t, picked(b, start, "p-2"), "p-1")
}

func TestAnotherInstanceAtTheAddressEndsTheTarget(t *testing.T) {
	b := book(nil, Config{}, plain(1))
	c, _ := b.Pick(start, testService, demand(), nil)
	b.Finish(start, c.Target, Result{Replaced: true})
	assert.Equal(t, picked(b, start), "no_target")
}

// Entries that see the same free engine ask its home; the home counts each
// grant at once, so that only as many are let in as it can serve.
func TestHomeGrantsOnlyWhatTheTargetCanServe(t *testing.T) {
	home := book(engineModel(), Config{}, engine(1, 1))
	usual := Admission{MaxWait: 200 * time.Millisecond, MaxGap: 320 * time.Millisecond}
	granted := 0
	for i := range 14 {
		if home.Reserve(start, fmt.Sprintf("entry-%d", i), "i-1", demand().Prompt, usual).Granted {
			granted++
		}
	}
	assert.Assert(t, granted >= 3 && granted <= 6, "granted %d", granted)
	home.SetLoads("entry-0", nil)
	assert.Assert(t, home.Reserve(start, "entry-0", "i-1", demand().Prompt, usual).Granted, "an account replaces the grant")
	assert.Assert(t, home.Reserve(start, "entry-0", "unknown", demand().Prompt, usual).Granted)
}

func TestCancelTakesTheChoiceBack(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	c, _ := b.Pick(start, testService, demand(), nil)
	b.Cancel(c.Target, demand())
	assert.Equal(t, len(b.OwnLoads()), 0)
	assert.Assert(t, !b.Silent(start.Add(time.Hour), c.Target))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 4400} {
		var list []*fleet.Instance
		for i := range n {
			list = append(list, engine(i, 1))
		}
		bk := book(engineModel(), Config{}, list...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, v := bk.Pick(start, testService, demand(), nil)
				if v == Chosen {
					bk.Cancel(c.Target, demand())
				}
			}
		})
	}
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const testService = "svc"

// engineModel returns the model of an engine with 16 slots and a prefill rate of 19,100 tokens
// per second.
func engineModel() *fleet.EngineModel {
	return &fleet.EngineModel{Model: "m", Slots: 16, Step: 8870 * time.Microsecond, StepPerSeq: 39 * time.Microsecond,
		StepPer1kTokens: 23 * time.Microsecond, PrefillRate: 19100, StepsPerPass: 5, MeanPrompt: 977, MeanAnswer: 94, Layers: 16}
}

func engine(i, version int) *fleet.Instance {
	return &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: testService, Addr: fmt.Sprintf("10.0.0.%d:80", i), Domain: "a",
		Models: []fleet.ModelVersion{{Model: "m", Version: version, Layers: 16}}}
}

func plain(i int) *fleet.Instance {
	return &fleet.Instance{ID: fmt.Sprintf("p-%d", i), Service: testService, Addr: fmt.Sprintf("10.0.1.%d:80", i), Domain: "a", Slots: 6}
}

func newTestBalancer(m *fleet.EngineModel, cfg Config, instances ...*fleet.Instance) *Balancer {
	b := NewBalancer(cfg, rand.New(rand.NewPCG(1, 2)))
	b.Apply(instances, map[string]*fleet.Service{testService: {Name: testService, Engine: m}})
	return b
}

func demand() Demand {
	return Demand{Prompt: 1000, Objective: 400 * time.Millisecond, MaxGap: 400 * time.Millisecond, Domain: "a"}
}

// picked returns the ID of the chosen target, or the verdict.
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
	prefilling := forecastEngine(m, Load{Requests: 8, PendingPrefill: 4000}, demand())
	assert.Assert(t, idle.FirstEvent < busy.FirstEvent)
	assert.Assert(t, busy.FirstEvent < full.FirstEvent, "a full engine delays the request until a slot is free")
	assert.Assert(t, prefilling.Gap > 200*time.Millisecond, "4,000 tokens are prefilled between two events of other streams")
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 5, PendingPrefill: 3000}})
	assert.Equal(t, picked(b, start), "i-2")
}

func TestPickSkipsUnusableTargets(t *testing.T) {
	draining, empty := engine(1, 1), engine(2, 1)
	draining.Draining = true
	empty.Models = nil
	b := newTestBalancer(engineModel(), Config{}, draining, empty, engine(3, 1), engine(4, 1))
	b.SetState("10.0.0.3:80", EngineState{Version: 1, Loading: true})
	for range 3 {
		assert.Equal(t, picked(b, start), "i-4")
	}
	assert.Equal(t, picked(b, start, "i-4"), "no_target")
}

func TestAgentStateOverridesTheList(t *testing.T) {
	empty := engine(1, 1)
	empty.Models = nil
	b := newTestBalancer(engineModel(), Config{}, empty)
	assert.Equal(t, picked(b, start), "no_target")
	b.SetState(empty.Addr, EngineState{Version: 1})
	assert.Equal(t, picked(b, start), "i-1")
	b.DeleteState(empty.Addr)
	assert.Equal(t, picked(b, start), "no_target")
}

// A restarted engine with the same ID has none of the earlier incarnation's state: neither its
// versions, load and failures, nor what its agent reported before.
func TestStateIsNotKeptAcrossIncarnations(t *testing.T) {
	first, second, other := engine(1, 1), engine(1, 0), engine(2, 1)
	first.StartMs, second.StartMs = 1000, 2000
	b := newTestBalancer(engineModel(), Config{}, first)
	b.SetState(first.Addr, EngineState{Version: 1, StartMs: 1000})
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 5, PendingPrefill: 3000}})
	c, v := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	b.Finish(start, c.Target, Result{Misdirected: true})
	services := map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}}
	b.Apply([]*fleet.Instance{second}, services)
	assert.Equal(t, picked(b, start), "no_target", "the new incarnation has no version loaded, whatever the agent reported before")
	b.SetState(second.Addr, EngineState{Version: 1, StartMs: 2000})
	c, v = b.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	assert.Equal(t, c.Load, Load{}, "the load of the earlier incarnation must be dropped")
	b.SetState(second.Addr, EngineState{Version: 0, StartMs: 3000})
	b.Apply([]*fleet.Instance{second, other}, services)
	assert.Equal(t, picked(b, start), "i-2", "the agent reports a later incarnation than the list")
}

// Guards against requests to an engine whose new process was loaded before its agent has seen it.
func TestEngineIsNotUsedBeforeItsAgentHasSeenItsRestart(t *testing.T) {
	first, second := engine(1, 1), engine(1, 1)
	first.StartMs, second.StartMs = 1000, 2000
	b := newTestBalancer(engineModel(), Config{}, first)
	b.SetState(first.Addr, EngineState{Version: 1, StartMs: 1000})
	assert.Equal(t, picked(b, start), "i-1")
	b.Apply([]*fleet.Instance{second}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}})
	assert.Equal(t, picked(b, start), "no_target")
	b.DeleteState(second.Addr)
	assert.Equal(t, picked(b, start), "i-1", "no agent speaks for it")
}

// Guards against requests to an engine whose agent was lost before it had examined a load.
func TestEngineIsNotUsedIfItsAgentIsLostDuringALoad(t *testing.T) {
	for _, startMs := range []int64{0, 1000} {
		for _, last := range []EngineState{{Version: 1, Loading: true, StartMs: startMs}, {Version: 0, StartMs: startMs}} {
			first, second := engine(1, 2), engine(1, 2)
			first.StartMs, second.StartMs = 1000, 2000
			b := newTestBalancer(engineModel(), Config{}, first)
			b.SetState(first.Addr, last)
			b.DeleteState(first.Addr)
			assert.Equal(t, picked(b, start), "no_target", "%+v", last)
			b.SetState(first.Addr, EngineState{Version: 2, StartMs: startMs})
			assert.Equal(t, picked(b, start), "i-1")
			b.SetState(first.Addr, last)
			b.DeleteState(first.Addr)
			b.Apply([]*fleet.Instance{second}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}})
			assert.Equal(t, picked(b, start), "no_target", "an order of the lost agent may have reached the next incarnation")
		}
	}
}

// Targets that do not report their start time are identified by their ID alone.
func TestUnknownStartTimeMatchesAnyIncarnation(t *testing.T) {
	first, second := engine(1, 1), engine(1, 1)
	second.StartMs = 2000
	b := newTestBalancer(engineModel(), Config{}, first)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 5}})
	b.Apply([]*fleet.Instance{second}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}})
	c, _ := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, c.Load.Requests, 5)
}

// A second version must not postpone the deadline of the first.
func TestEachVersionKeepsItsDeadline(t *testing.T) {
	cfg := Config{VersionTimeout: 8 * time.Second, VersionMargin: time.Second}
	b := newTestBalancer(engineModel(), cfg, engine(1, 1), engine(2, 2), engine(3, 3))
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, start)
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 3}, start.Add(2*time.Second))
	assert.Equal(t, picked(b, start.Add(6*time.Second), "i-2", "i-3"), "i-1")
	assert.Equal(t, picked(b, start.Add(7*time.Second), "i-2", "i-3"), "no_target", "version 1 has expired")
	assert.Equal(t, picked(b, start.Add(8*time.Second), "i-1", "i-3"), "i-2")
	assert.Equal(t, picked(b, start.Add(9*time.Second), "i-1", "i-3"), "no_target", "version 2 has expired")
	assert.Equal(t, picked(b, start.Add(9*time.Second)), "i-3")
}

// A choice carries the time by which the request must have started on the target's version: the
// earliest expiry that a newer version causes.
func TestChoiceCarriesVersionExpiry(t *testing.T) {
	cfg := Config{VersionTimeout: 8 * time.Second, VersionMargin: time.Second}
	b := newTestBalancer(engineModel(), cfg, engine(1, 1), engine(2, 2), engine(3, 3))
	until := func(avoid ...string) time.Time {
		c, v := b.Pick(start.Add(3*time.Second), testService, demand(), avoid)
		assert.Equal(t, v, Chosen)
		return c.StartBy
	}
	assert.Assert(t, until("i-2", "i-3").IsZero(), "no newer version is wanted")
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, start)
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 3}, start.Add(2*time.Second))
	assert.Equal(t, until("i-2", "i-3"), start.Add(8*time.Second))
	assert.Equal(t, until("i-1", "i-3"), start.Add(10*time.Second))
	assert.Assert(t, until("i-1", "i-2").IsZero())
}

func TestOlderVersionNeverReplacesNewer(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{VersionTimeout: time.Second, VersionMargin: time.Millisecond}, engine(1, 1), engine(2, 2))
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, start)
	b.SetVersion(fleet.VersionTarget{Model: "m", Version: 1}, start.Add(time.Hour))
	assert.Equal(t, picked(b, start.Add(2*time.Hour), "i-2"), "no_target")
}

func TestSaturatedWhenTheForecastIsTooLate(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 30}})
	assert.Equal(t, picked(b, start), "saturated")
	b.SetLoads("other", nil)
	assert.Equal(t, picked(b, start), "i-1", "the other entry's load is removed")
}

func TestFailingTargetIsEjectedAndRetried(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1), plain(2))
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

func TestSilentTargetIsSkippedUntilItResponds(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), []string{"i-2"})
	later := start.Add(minSilence + time.Millisecond)
	assert.Assert(t, b.Silent(later, c.Target))
	assert.Equal(t, picked(b, later), "i-2")
	b.RecordActivity(later, c.Target, 1000)
	assert.Assert(t, !b.Silent(later, c.Target))
}

// An engine with slow prefill sends nothing while it processes prompts. A plain target with a
// high latency sends nothing until its response is ready. Neither is silent.
func TestSlowTargetsAreNotReportedSilentTooEarly(t *testing.T) {
	m := engineModel()
	m.PrefillRate /= 20
	slow := newTestBalancer(m, Config{}, engine(1, 1))
	c, v := slow.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	assert.Assert(t, !slow.Silent(start.Add(1500*time.Millisecond), c.Target), "1,000 tokens take 1.05 s to prefill")
	assert.Assert(t, slow.Silent(start.Add(4*time.Second), c.Target))
	p := newTestBalancer(nil, Config{}, plain(1))
	for range 2 {
		c, _ = p.Pick(start, testService, demand(), nil)
		p.Finish(start, c.Target, Result{Latency: 500 * time.Millisecond})
	}
	c, _ = p.Pick(start, testService, demand(), nil)
	assert.Assert(t, !p.Silent(start.Add(time.Second), c.Target))
	assert.Assert(t, p.Silent(start.Add(2*time.Second), c.Target))
}

// Abandoning requests at a target that does not respond must not make it look responsive.
func TestAbandonedRequestDoesNotEndSilence(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	first, _ := b.Pick(start, testService, demand(), nil)
	_, v := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	later := start.Add(minSilence + time.Millisecond)
	b.Finish(later, first.Target, Result{Failed: true, Silent: true, PendingPrefill: 1000})
	assert.Assert(t, b.Silent(later, first.Target))
	b.RecordActivity(later, first.Target, 1000)
	assert.Assert(t, !b.Silent(later, first.Target))
}

// A target that one entry finds silent is avoided by the others, without each of them losing
// requests to it.
func TestSilenceIsShared(t *testing.T) {
	a := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := a.Pick(start, testService, demand(), []string{"i-2"})
	abandoned := start.Add(700 * time.Millisecond)
	assert.DeepEqual(t, a.SilentTargets(abandoned), []string{"i-1"})
	a.Finish(abandoned, c.Target, Result{PendingPrefill: 1000, Failed: true, Silent: true})
	assert.DeepEqual(t, a.SilentTargets(abandoned.Add(100*time.Millisecond)), []string{"i-1"}) // reported for a while after entry a abandoned the request
	assert.Equal(t, len(a.SilentTargets(abandoned.Add(silenceReportDuration))), 0)

	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetLoads("x", map[string]Load{"i-2": {Requests: 8, PendingPrefill: 2000}})
	assert.Assert(t, b.Suspect(abandoned, "i-1"))
	assert.Assert(t, !b.Suspect(abandoned, "i-1"), "already suspected")
	assert.Equal(t, picked(b, abandoned), "i-2", "despite its higher load")
}

// Single lost responses do not make a target silent while other entries receive data from it.
func TestTargetResponsiveToOthersIsNotSilent(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), []string{"i-2"})
	b.SetLoads("x", map[string]Load{"i-1": {Requests: 1}, "i-2": {Requests: 8, PendingPrefill: 2000}})
	b.SetResponsive("x", "i-1", true)
	later := start.Add(700 * time.Millisecond)
	assert.Equal(t, len(b.SilentTargets(later)), 0)
	b.Finish(later, c.Target, Result{PendingPrefill: 1000, Failed: true, Silent: true})
	b.Suspect(later, "i-1")
	assert.Equal(t, picked(b, later), "i-1")
	b.SetLoads("x", nil)
	assert.Equal(t, len(b.byID["i-1"].responsiveTo), 0, "a departed entry must not count as receiving data")
}

func TestResponsiveTargets(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, len(b.ResponsiveTargets(start)), 0)
	b.RecordActivity(start, c.Target, 1000)
	assert.Assert(t, b.ResponsiveTargets(start.Add(activityWindow - 1))[c.Target.ID])
	assert.Equal(t, len(b.ResponsiveTargets(start.Add(activityWindow))), 0)
}

// A target that was silent has no load and would attract more requests than all others, so it
// is probed with a single request.
func TestSilentTargetIsProbedByOneRequest(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetLoads("x", map[string]Load{"i-2": {Requests: 8, PendingPrefill: 2000}})
	b.Suspect(start, "i-1")
	now := start.Add(suspectDuration)
	c, _ := b.Pick(now, testService, demand(), nil)
	assert.Equal(t, c.Target.ID, "i-1")
	assert.Equal(t, picked(b, now), "i-2", "a single probe is enough")
	b.RecordActivity(now.Add(50*time.Millisecond), c.Target, 1000)
	assert.Equal(t, picked(b, now.Add(60*time.Millisecond)), "i-1")
}

// Data that this entry receives from a target overrides another entry's report that it is
// silent.
func TestOwnActivityOverridesSuspicion(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	c, _ := b.Pick(start, testService, demand(), []string{"i-2"})
	b.SetLoads("x", map[string]Load{"i-2": {Requests: 8, PendingPrefill: 2000}})
	b.Suspect(start, "i-1")
	b.RecordActivity(start.Add(10*time.Millisecond), c.Target, 1000)
	assert.Equal(t, picked(b, start.Add(20*time.Millisecond)), "i-1")
}

func TestUnlistedTargetIsTheLastResort(t *testing.T) {
	unlisted := plain(1)
	unlisted.Unlisted = true
	b := newTestBalancer(nil, Config{}, unlisted, plain(2))
	for range 5 {
		assert.Equal(t, picked(b, start), "p-2")
	}
	assert.Equal(t, picked(b, start, "p-2"), "p-1")
}

func TestReplacedTargetIsNotChosen(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1))
	c, _ := b.Pick(start, testService, demand(), nil)
	b.Finish(start, c.Target, Result{Misdirected: true})
	assert.Equal(t, picked(b, start), "no_target")
}

// Entries that see the same idle engine request reservations from its home entry, which counts
// each grant at once, so that it admits only as many requests as the engine can serve.
func TestHomeGrantsOnlyWhatTheTargetCanServe(t *testing.T) {
	home := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	limits := Admission{MaxWait: 200 * time.Millisecond, MaxGap: 320 * time.Millisecond}
	granted := 0
	for i := range 14 {
		if home.Reserve(start, fmt.Sprintf("entry-%d", i), "i-1", demand().Prompt, limits).Granted {
			granted++
		}
	}
	assert.Assert(t, granted >= 3 && granted <= 6, "granted %d reservations", granted)
	home.SetLoads("entry-0", nil)
	assert.Assert(t, home.Reserve(start, "entry-0", "i-1", demand().Prompt, limits).Granted, "a load report replaces the grant")
	assert.Assert(t, home.Reserve(start, "entry-0", "unknown", demand().Prompt, limits).Granted)
}

func TestCancelUndoesTheChoice(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
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
		balancer := newTestBalancer(engineModel(), Config{}, list...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, v := balancer.Pick(start, testService, demand(), nil)
				if v == Chosen {
					balancer.Cancel(c.Target, demand())
				}
			}
		})
	}
}

// The cost of a full load report grows with the targets that it lists, not with those of the fleet.
func BenchmarkSetLoads(b *testing.B) {
	for _, targets := range []int{100, 700, 4400} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			all := make([]*fleet.Instance, targets)
			for i := range all {
				all[i] = &fleet.Instance{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("a-", i)}
			}
			balancer := NewBalancer(Config{}, rand.New(rand.NewPCG(1, 2)))
			balancer.Apply(all, map[string]*fleet.Service{"s": {Name: "s"}})
			for i := 0; b.Loop(); i++ {
				balancer.SetLoads("e", map[string]Load{fmt.Sprint("i-", i%targets): {Requests: 1}})
			}
		})
	}
}

// A full report removes the loads that it does not list any more, also those that were granted
// since the last one.
func TestFullReportReplacesAllLoadsOfAnEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer := NewBalancer(Config{}, rand.New(rand.NewPCG(1, 2)))
		var all []*fleet.Instance
		for i := range 5 {
			all = append(all, &fleet.Instance{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("a-", i), Slots: 99})
		}
		balancer.Apply(all, map[string]*fleet.Service{"s": {Name: "s"}})
		want := map[string]map[string]int{"e": {}, "f": {}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from, id := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "from"), all[rapid.IntRange(0, 4).Draw(t, "target")].ID
			n := rapid.IntRange(0, 3).Draw(t, "requests")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				balancer.SetLoads(from, map[string]Load{id: {Requests: n}})
				want[from] = map[string]int{id: n}
			case 1:
				balancer.UpdateLoads(from, map[string]Load{id: {Requests: n}})
				want[from][id] = n
			default:
				balancer.Reserve(start, from, id, 0, Admission{MaxWait: time.Hour})
				want[from][id]++
			}
			for _, i := range all {
				if got := balancer.byID[i.ID].load.Requests; got != want["e"][i.ID]+want["f"][i.ID] {
					t.Fatalf("%d requests at %s, want %v", got, i.ID, want)
				}
			}
		}
	})
}

// A target that pauses is ejected while it is silent, and used again as soon as it goes on. Other
// failures, and silence that lasts, eject it as before.
func TestEjectionForSilenceEndsWithTheNextData(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1), plain(2))
	for pause := range 4 {
		now := start.Add(time.Duration(pause) * 3 * time.Second)
		c, v := b.Pick(now, testService, demand(), []string{"p-2"})
		assert.Equal(t, v, Chosen)
		b.RecordSilence(now.Add(700*time.Millisecond), c.Target)
		assert.Equal(t, picked(b, now.Add(800*time.Millisecond)), "p-2")
		b.RecordActivity(now.Add(1300*time.Millisecond), c.Target, 0)
		assert.Assert(t, !c.Target.health.ejected(now.Add(1301*time.Millisecond)))
		b.Finish(now.Add(1400*time.Millisecond), c.Target, Result{Latency: 1400 * time.Millisecond})
	}
	now := start.Add(20 * time.Second)
	c, v := b.Pick(now, testService, demand(), []string{"p-2"})
	assert.Equal(t, v, Chosen)
	b.Finish(now, c.Target, Result{ConnectFailed: true})
	b.RecordActivity(now.Add(time.Millisecond), c.Target, 0)
	assert.Assert(t, c.Target.health.ejected(now.Add(2*time.Millisecond)), "data does not end an ejection for other reasons")
	b.RecordSilence(now.Add(3*time.Second), c.Target)
	assert.Assert(t, c.Target.health.ejected(now.Add(3*time.Second+ejectBase/2)))
}

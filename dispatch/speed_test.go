package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// slowFactor is the slowdown of the slow targets of these tests: 0.4 of their speed.
const slowFactor = 2.5

// observingEntry is an entry that tells its balancer of all events.
type observingEntry struct{ oneEntry }

func (o observingEntry) event(now time.Time, j *job) {
	e := Event{First: j.pendingPrefill, Prompt: j.demand.Prompt, Pending: j.pending}
	if j.eventAt.IsZero() {
		e.Delay = now.Sub(j.sentAt)
		e.Forecast = j.choice.CostModelForecast()
	} else {
		e.Delay = now.Sub(j.eventAt)
	}
	j.pending = o.balancer.RecordEvent(now, j.target, e)
}

// simulateSpeeds serves requests for 10 s at a rate that is a fraction of what the engines can do
// at full speed. It returns the fraction in time of those that arrived after the first second.
func simulateSpeeds(seed uint64, engines int, load float64, off mechanism.Off, slowdown func(at time.Duration, engine string) (passes, prompts float64)) (float64, *Balancer) {
	const perEngine = 9 // requests per second that an engine can do
	s := newFleetSim(seed, engines, []callerKind{{400 * time.Millisecond, 977, 94, load * perEngine * float64(engines)}})
	var list []*fleet.Instance
	for i := range engines {
		list = append(list, engine(i, 1))
	}
	b := newTestBalancer(s.model, Config{Off: off}, list...)
	s.placer = observingEntry{oneEntry{b}}
	s.maxGap = 400 * time.Millisecond
	s.slowdown = func(now time.Time, engine string) (float64, float64) { return slowdown(now.Sub(start), engine) }
	s.window = func(at time.Time) int { return min(int(at.Sub(start)/time.Second), 1) }
	s.run(10 * time.Second)
	_, all := s.shares(1)
	return all, b
}

// slowSpan makes an engine slow for a time.
func slowSpan(id string, from, to time.Duration) func(time.Duration, string) (float64, float64) {
	return func(at time.Duration, engine string) (float64, float64) {
		if engine == id && at >= from && at < to {
			return slowFactor, slowFactor
		}
		return 1, 1
	}
}

// byTurns makes one of n engines slow for 600 ms after the other.
func byTurns(n int) func(time.Duration, string) (float64, float64) {
	return func(at time.Duration, engine string) (float64, float64) {
		if engine == fmt.Sprintf("i-%d", int(at/(600*time.Millisecond))%n) {
			return slowFactor, slowFactor
		}
		return 1, 1
	}
}

func TestSlowTargetsCostFewRequests(t *testing.T) {
	const seeds = 10
	tests := map[string]struct {
		engines  int
		load     float64
		slowdown func(time.Duration, string) (float64, float64)
		least    float64 // fraction in time, mean of the seeds
		gain     float64 // least gain over targets that are all forecast alike
	}{
		"sound":      {6, 0.7, slowSpan("", 0, 0), 0.97, 0},
		"for 600 ms": {6, 0.7, slowSpan("i-2", 3*time.Second, 3600*time.Millisecond), 0.97, 0},
		"for 5 s":    {6, 0.7, slowSpan("i-2", 3*time.Second, 8*time.Second), 0.97, 0.01},
		"for good":   {6, 0.7, slowSpan("i-2", 0, time.Hour), 0.97, 0.015},
		"by turns":   {7, 0.5, byTurns(7), 0.97, 0.005},
		// More load on engines that are slow by turns: 0.985 without any slow engine.
		"by turns, loaded": {7, 0.6, byTurns(7), 0.96, 0.005},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			with, without := 0.0, 0.0
			for seed := range uint64(seeds) {
				a, _ := simulateSpeeds(seed, tc.engines, tc.load, 0, tc.slowdown)
				b, _ := simulateSpeeds(seed, tc.engines, tc.load, mechanism.Off(0).With(mechanism.TargetSpeed), tc.slowdown)
				with, without = with+a/seeds, without+b/seeds
			}
			t.Logf("%.3f in time, %.3f without", with, without)
			assert.Assert(t, with >= tc.least && with >= without+tc.gain, "%.3f in time, %.3f without", with, without)
		})
	}
}

// TestAllSlowServeAsBefore checks that a slowdown that all targets share is not held against them.
func TestAllSlowServeAsBefore(t *testing.T) {
	const seeds = 10
	all := func(time.Duration, string) (float64, float64) { return 1.8, 1.8 }
	for _, load := range []float64{0.5, 0.7, 0.9} {
		with, without := 0.0, 0.0
		for seed := range uint64(seeds) {
			a, _ := simulateSpeeds(seed, 6, load, 0, all)
			b, _ := simulateSpeeds(seed, 6, load, mechanism.Off(0).With(mechanism.TargetSpeed), all)
			with, without = with+a/seeds, without+b/seeds
		}
		t.Logf("load %.1f: %.3f in time, %.3f without", load, with, without)
		assert.Check(t, with >= without-0.02, "load %.1f: %.3f in time, %.3f without", load, with, without)
	}
}

// TestSoundTargetsAreNotBelievedSlow checks that load alone makes no target slow.
func TestSoundTargetsAreNotBelievedSlow(t *testing.T) {
	for _, load := range []float64{0.3, 0.7, 1, 1.4} {
		sound := func(time.Duration, string) (float64, float64) { return 1, 1 }
		_, b := simulateSpeeds(5, 6, load, 0, sound)
		assert.Equal(t, len(b.SlowTargets(start.Add(10*time.Second))), 0, "load %.1f", load)
	}
}

// pass returns a usual gap between the events of one stream of an idle engine.
func pass() time.Duration { return passTime(engineModel(), 1) }

// slowBalancer returns a balancer of n engines whose states are reported, without paces.
func slowBalancer(n int, cfg Config) *Balancer {
	var list []*fleet.Instance
	for i := range n {
		list = append(list, engine(i, 1))
	}
	return newTestBalancer(engineModel(), cfg, list...)
}

func statePace(b *Balancer, i int, pace float64) {
	b.SetState(engine(i, 1).Addr, EngineState{Version: 1, Pace: pace})
}

func slowIDs(b *Balancer, now time.Time) []string {
	ids := []string{}
	for _, s := range b.SlowTargets(now) {
		ids = append(ids, s.ID)
	}
	return ids
}

func TestIdleTargetThatIsNotSlowIsPreferred(t *testing.T) {
	b := slowBalancer(3, Config{})
	statePace(b, 0, 2.5)
	statePace(b, 1, 2.5)
	for range 20 {
		c, v := b.Pick(start, testService, demand(), nil)
		assert.Equal(t, v, Chosen)
		assert.Equal(t, c.Instance.ID, "i-2")
		b.Cancel(c.Target, demand())
	}
}

func TestSlowTargetGetsWhatItCanDoInTime(t *testing.T) {
	b := slowBalancer(3, Config{})
	statePace(b, 0, 2.5)
	counts := map[string]int{}
	for {
		c, v := b.Pick(start, testService, Demand{Prompt: 300, Objective: 400 * time.Millisecond, MaxGap: 300 * time.Millisecond, Domain: "a"}, nil)
		if v != Chosen {
			break
		}
		counts[c.Instance.ID]++
	}
	assert.Assert(t, counts["i-0"] > 0 && counts["i-0"] < counts["i-1"]/2, "%v", counts)
}

func TestOneSlowStreamIsNoSlowTarget(t *testing.T) {
	b := slowBalancer(1, Config{})
	target := b.byID["i-0"]
	b.recordSend(start, target, Demand{})
	now := start
	for range 20 {
		now = now.Add(pass())
		b.RecordEvent(now, target, Event{Delay: 4 * pass()})
		b.RecordEvent(now, target, Event{Delay: pass()})
		b.RecordEvent(now, target, Event{Delay: pass()})
		assert.DeepEqual(t, slowIDs(b, now), []string{})
	}
}

func TestOneLateEventIsNoSlowTarget(t *testing.T) {
	b := slowBalancer(1, Config{})
	target := b.byID["i-0"]
	for _, delay := range []time.Duration{pass(), 10 * pass(), 10 * pass()} {
		b.RecordEvent(start, target, Event{Delay: delay})
	}
	assert.Equal(t, len(slowIDs(b, start)), 1, "repeated evidence")
	b = slowBalancer(1, Config{})
	target = b.byID["i-0"]
	for _, delay := range []time.Duration{pass(), 10 * pass(), pass(), pass()} {
		b.RecordEvent(start, target, Event{Delay: delay})
		assert.Equal(t, len(slowIDs(b, start)), 0)
	}
}

func TestSlowAtOnceAndFastAgainCautiously(t *testing.T) {
	b := slowBalancer(1, Config{})
	target := b.byID["i-0"]
	observe := func(n int, delay time.Duration) int {
		for range n {
			b.RecordEvent(start, target, Event{Delay: delay})
		}
		return len(slowIDs(b, start))
	}
	assert.Equal(t, observe(5, pass()), 0)
	assert.Equal(t, observe(2, 5*pass()/2), 1)
	assert.Equal(t, observe(2, pass()), 1)
	assert.Equal(t, observe(3, pass()), 0)
}

func TestObservedSpeedIsForgotten(t *testing.T) {
	b := slowBalancer(2, Config{})
	target := b.byID["i-0"]
	now := start
	slow := func(n int) {
		for range n {
			now = now.Add(3 * pass())
			b.RecordEvent(now, target, Event{Delay: 3 * pass()})
		}
	}
	slow(3)
	assert.Equal(t, len(slowIDs(b, now.Add(eventMemory))), 1)
	assert.Equal(t, len(slowIDs(b, now.Add(eventMemory+1))), 0)
	slow(100) // slow for longer than requestMemory
	assert.Equal(t, len(slowIDs(b, now.Add(requestMemory))), 1)
	assert.Equal(t, len(slowIDs(b, now.Add(requestMemory+1))), 0)
}

func TestSpeedEndsWithTheIncarnation(t *testing.T) {
	first := engine(0, 1)
	first.StartMs = 1000
	b := newTestBalancer(engineModel(), Config{}, first)
	for range 5 {
		b.RecordEvent(start, b.byID["i-0"], Event{Delay: 3 * pass()})
	}
	b.SetState(engine(0, 1).Addr, EngineState{Version: 1, StartMs: 1000, Pace: 2.5})
	assert.Equal(t, len(slowIDs(b, start)), 1)
	restarted := engine(0, 1)
	restarted.StartMs = 2000
	b.Apply([]*fleet.Instance{restarted}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}})
	assert.Equal(t, len(slowIDs(b, start)), 0)
}

func TestObservationCountsWhenTheAgentIsGone(t *testing.T) {
	b := slowBalancer(3, Config{})
	statePace(b, 0, 2.5)
	statePace(b, 1, 2.5)
	for range 5 {
		b.RecordEvent(start, b.byID["i-0"], Event{Delay: 2 * pass()})
	}
	assert.Equal(t, b.SlowTargets(start)[0].Source, SpeedStated)
	b.DeleteState(engine(0, 1).Addr)
	b.DeleteState(engine(1, 1).Addr)
	slow := b.SlowTargets(start)
	assert.Equal(t, len(slow), 1)
	assert.Equal(t, slow[0].ID, "i-0")
	assert.Equal(t, slow[0].Source, SpeedEvents)
}

func TestSlowForLongPromptsOnly(t *testing.T) {
	b := slowBalancer(2, Config{})
	target := b.byID["i-0"]
	first := func(prompt int, factor float64) {
		f := b.forecast(start, target, Demand{Prompt: prompt})
		b.RecordEvent(start, target, Event{Prompt: prompt, Forecast: f, Delay: time.Duration(factor * float64(f.FirstEvent+f.IdleWait))})
	}
	for range 5 {
		first(300, 1)
		first(3000, 3)
	}
	short, _ := b.slowdownOf(start, target, 300)
	long, from := b.slowdownOf(start, target, 3000)
	assert.Equal(t, short, 1.0)
	assert.Assert(t, long > 2.9, "%.2f", long)
	assert.Equal(t, from, SpeedFirst)
}

func TestTargetSpeedCanBeDisabled(t *testing.T) {
	b := slowBalancer(2, Config{Off: mechanism.Off(0).With(mechanism.TargetSpeed)})
	statePace(b, 0, 2.5)
	for range 5 {
		b.RecordEvent(start, b.byID["i-1"], Event{Delay: 3 * pass()})
	}
	assert.Equal(t, len(slowIDs(b, start)), 0)
}

// TestHomeAppliesItsOwnKnowledge checks that the home entry of a slow target denies what an entry
// that does not know of the slowness would send.
func TestHomeAppliesItsOwnKnowledge(t *testing.T) {
	granted := func(pace float64) int {
		home := slowBalancer(3, Config{})
		statePace(home, 0, pace)
		n := 0
		for home.Reserve(start, "other", "i-0", 500, Admission{MaxWait: 200 * time.Millisecond, MaxGap: 300 * time.Millisecond}).Granted {
			n++
		}
		return n
	}
	assert.Assert(t, granted(2.5) >= 1 && granted(2.5) < granted(1), "%d, %d", granted(2.5), granted(1))
}

// TestNotMostTargetsAreDistrusted checks for any paces that at least half of the targets are held to
// the limits of targets that are not slow.
func TestNotMostTargetsAreDistrusted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		b := slowBalancer(n, Config{})
		for i := range n {
			statePace(b, i, rapid.Float64Range(0, 10).Draw(t, "pace"))
		}
		trusted := 0
		for _, target := range b.byID {
			s, _ := b.slowdownOf(start, target, 0)
			if b.relative(start, target, s) == 1 {
				trusted++
			}
		}
		assert.Assert(t, 2*trusted >= n, "%d of %d", trusted, n)
	})
}

func TestSilenceLimitOfSlowTarget(t *testing.T) {
	b := slowBalancer(2, Config{})
	target := b.byID["i-0"]
	target.load.PendingPrefill = 8000
	usual := b.silenceLimit(start, target)
	statePace(b, 0, 2)
	assert.Equal(t, b.silenceLimit(start, target), 2*usual)
}

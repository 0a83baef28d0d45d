package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Event is an event of a stream as this entry received it.
type Event struct {
	First int // prompt tokens if the event is the request's first, else zero
	// Delay is the time since the previous event of the stream or, of a first event, since the
	// request was sent; zero if it does not tell how fast the target is.
	Delay time.Duration
	// Prompt is the number of prompt tokens, and Expected the delay of a first event by the cost
	// model.
	Prompt   int
	Expected time.Duration
	// Pending is what RecordEvent returned for the stream's previous event.
	Pending int
}

// RecordEvent records an event of a stream. It returns the prompt tokens that are pending at the
// target.
func (b *Balancer) RecordEvent(now time.Time, t *Target, e Event) (pending int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.model != nil && !b.speedOff() {
		t.observeEvent(now, e)
	}
	t.health.recordActivity(now)
	b.addOwn(t, Load{PendingPrefill: -e.First})
	return t.load.PendingPrefill
}

// observeEvent compares the delay of an event with what the cost model says of it.
func (t *Target) observeEvent(now time.Time, e Event) {
	if e.Expected > 0 {
		t.speed.first(e.Prompt, t.model.MeanPrompt).observe(now, e.Delay, e.Expected, requestMemory)
		return
	}
	expected := passTime(t.model, t.load.Requests) + prefillTime(t.model, max(e.Pending, t.load.PendingPrefill))
	t.speed.events.observe(now, e.Delay, expected, eventMemory)
}

func (b *Balancer) speedOff() bool { return b.cfg.Off.Has(mechanism.TargetSpeed) }

// statedPace returns the pace that a target's engine states, by its agent's report; 0 if unknown.
func (b *Balancer) statedPace(t *Target) float64 {
	if s, reported := b.reportOf(t); reported {
		return s.Pace
	}
	return 0
}

// SpeedSource is what a target's slowdown is based on.
type SpeedSource string

// Sources of a slowdown.
const (
	SpeedStated  SpeedSource = "stated"       // the engine's statement
	SpeedEvents  SpeedSource = "events"       // the spacing of events
	SpeedFirst   SpeedSource = "first_events" // the delay of first events
	SpeedLatency SpeedSource = "latency"      // the latency of plain responses
)

// slowdownOf returns the slowdown of a target for prompts of a size and its source. What the
// engine states and what this entry observes are both lower bounds: a statement may be late, and
// without requests there is nothing to observe.
func (b *Balancer) slowdownOf(now time.Time, t *Target, prompt int) (slowdown float64, from SpeedSource) {
	slowdown = 1
	if b.speedOff() {
		return slowdown, ""
	}
	if t.model == nil {
		return t.plain.slowdown(now), SpeedLatency
	}
	if p := b.statedPace(t); p > slowdown {
		slowdown, from = min(p, maxSlowdown), SpeedStated
	}
	if e := t.speed.events.slowdown(now, eventMemory); e > slowdown {
		slowdown, from = e, SpeedEvents
	}
	if f := t.speed.first(prompt, t.model.MeanPrompt).slowdown(now, requestMemory); f > slowdown {
		slowdown, from = f, SpeedFirst
	}
	return slowdown, from
}

// commonInterval is how long the slowdown common to the targets of a service holds.
const commonInterval = 100 * time.Millisecond

// commonSlowdown is the slowdown that most targets of a service share.
type commonSlowdown struct {
	at    time.Time
	value float64
}

// commonOf returns the slowdown that at least half of the targets of a service have. It is load
// or a wrong cost model, and admission does not hold it against any of them: otherwise all would
// be refused requests that have no better target.
func (b *Balancer) commonOf(now time.Time, service string) float64 {
	c := b.common[service]
	if c.value > 0 && now.Sub(c.at) < commonInterval {
		return c.value
	}
	c = commonSlowdown{now, 1}
	if list := b.services[service]; len(list) > 1 {
		all := make([]float64, 0, len(list))
		for _, t := range list {
			s, _ := b.slowdownOf(now, t, 0)
			all = append(all, s)
		}
		c.value = median(all)
	}
	b.common[service] = c
	return c.value
}

// relative returns by how much a target is slower than most targets of its service.
func (b *Balancer) relative(now time.Time, t *Target, slowdown float64) float64 {
	if slowdown == 1 {
		return 1
	}
	return max(slowdown/b.commonOf(now, t.Service), 1)
}

// SlowTarget is a target that is believed slow.
type SlowTarget struct {
	ID, Service string
	Slowdown    float64
	Source      SpeedSource
}

// SlowTargets returns the targets that are believed slow for requests of mean size, sorted by ID.
func (b *Balancer) SlowTargets(now time.Time) []SlowTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []SlowTarget
	for _, t := range b.byID {
		if s, from := b.slowdownOf(now, t, 0); s >= recoveredRatio {
			out = append(out, SlowTarget{t.ID, t.Service, s, from})
		}
	}
	slices.SortFunc(out, func(x, y SlowTarget) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

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
	Delay  time.Duration
	Prompt int // tokens of the request
	// Forecast is that of the request at a target that is not slow, if the event is the first.
	Forecast Forecast
	// Pending is what RecordEvent returned for the stream's previous event.
	Pending Pending
}

// Pending is the number of prompt tokens that are pending at a target.
type Pending struct{ own, others int }

// RecordEvent records an event of a stream. It returns the prompt tokens that are pending at the
// target.
func (b *Balancer) RecordEvent(now time.Time, t *Target, e Event) Pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.model != nil && !b.speedOff() {
		t.observeEvent(now, e)
	}
	t.health.recordActivity(now)
	b.addOwn(t, Load{PendingPrefill: -e.First})
	return t.pending()
}

func (t *Target) pending() Pending {
	return Pending{own: t.own.PendingPrefill, others: t.load.PendingPrefill - t.own.PendingPrefill}
}

// observeEvent compares the delay of an event with what the cost model says of it. The engine may
// have processed all prompts that were pending at the previous event. Those of other entries are
// known late.
func (t *Target) observeEvent(now time.Time, e Event) {
	if f := e.Forecast; f.FirstEvent > 0 {
		x := expectation{f.FirstEvent - f.Wait, f.FirstEvent + f.IdleWait} // the forecast has the mean wait for the end of a pass
		t.speed.first(e.Prompt, t.model.MeanPrompt).observe(now, e.Delay, x, requestMemory, slowFirstRatio)
		return
	}
	pass := passTime(t.model, t.load.Requests)
	x := expectation{pass, pass + prefillTime(t.model, e.Pending.own+max(e.Pending.others, t.pending().others))}
	t.speed.events.observe(now, e.Delay, x, eventMemory, slowRatio)
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

// slowdownOf returns the slowdown of a target for prompts of a size and its source. The spacing of
// events counts beside what the engine states, which may be late. First events depend more on the
// load of other entries, so that they count only where nothing else is known of prompts like this.
func (b *Balancer) slowdownOf(now time.Time, t *Target, prompt int) (slowdown float64, from SpeedSource) {
	slowdown = 1
	if b.speedOff() {
		return slowdown, ""
	}
	if t.model == nil {
		return t.plain.slowdown(now), SpeedLatency
	}
	stated := b.statedPace(t)
	if stated > slowdown {
		slowdown, from = min(stated, maxSlowdown), SpeedStated
	}
	if e := t.speed.events.slowdown(now, eventMemory); e > slowdown {
		slowdown, from = e, SpeedEvents
	}
	f := t.speed.first(prompt, t.model.MeanPrompt)
	if stated > 0 || f == &t.speed.short && t.speed.events.known(now, eventMemory) {
		return slowdown, from
	}
	if f := f.slowdown(now, requestMemory); f > slowdown {
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
	if list := b.services[service]; len(list) > 0 {
		all := make([]float64, 0, len(list))
		for _, t := range list {
			s, _ := b.slowdownOf(now, t, 0)
			all = append(all, max(s, t.speed.events.latest(now, eventMemory)))
		}
		slices.Sort(all)
		c.value = all[len(all)/2]
	}
	b.common[service] = c
	return c.value
}

// relative returns by how much a target is slower than most targets of its service; 1 if that is
// little.
func (b *Balancer) relative(now time.Time, t *Target, slowdown float64) float64 {
	if slowdown == 1 {
		return 1
	}
	if r := slowdown / b.commonOf(now, t.Service); r >= recoveredRatio {
		return r
	}
	return 1
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

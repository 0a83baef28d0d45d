package dispatch

import (
	"cmp"
	"github.com/springgate/springgate/revision"
	"slices"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/notice"
)

// Verdict is the outcome of a choice.
type Verdict uint8

// Verdicts of a choice.
const (
	Chosen    Verdict = iota
	Saturated         // all usable targets are too loaded for the objective
	NoTarget          // no target is usable now
	NoDomain          // all targets are in failure domains that must not run the request
	Paced             // all usable targets are rate-limited or in back-off until a later time
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"chosen", "saturated", "no_target", "no_domain", "paced"}[v]
}

// Choice is the target chosen for a request.
type Choice struct {
	Target *Target
	// Instance is a copy of Target.Instance at the time of the choice; Target.Instance changes
	// with the list.
	Instance      fleet.Instance
	EntryRevision revision.Revision // revision of the target's list entry at the time of the choice
	Basis         Basis
	Unlisted      bool // the target's list entry had recently disappeared
	LastResort    bool // no other target is expected to answer
	// StartBy is when the request must have started at the target, because the version that it
	// serves expires then; zero for no limit.
	StartBy   time.Time
	Forecast  Forecast
	Slowdown  float64 // of the target, included in Forecast; 1 is as its cost model says
	Admission Admission
	Load      Load         // at the target before the request
	Limit     notice.Limit // declared by the target
	Paced     bool         // the target has a limited rate, so its home entry must grant a reservation
	FreeAt    time.Time    // if the verdict is Paced: when a target accepts the next request
}

// CostModelForecast returns the forecast for a target that is not slow.
func (c *Choice) CostModelForecast() Forecast { return c.Forecast.scale(1 / c.Slowdown) }

// Pick chooses a target of service and counts the request there; the caller must call Finish or
// Cancel. Instances whose IDs are in avoid are skipped.
func (b *Balancer) Pick(now time.Time, service string, d Demand, avoid []string) (Choice, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireHomeLoads(now)
	targets := b.services[service]
	n := len(targets)
	if n == 0 {
		return Choice{}, NoTarget
	}
	var best, fastest, fallback candidate
	start := b.rng.IntN(n)
	allowed := 0
	var freeAt time.Time
	for k := 0; k < n && allowed < b.cfg.SampleSize; k++ {
		t := targets[(start+k)%n]
		if !b.policy.Allows(t.Domain, d.HomeRegions) {
			continue
		}
		allowed++
		state := b.stateOf(t)
		if state.Leaving || !b.usable(now, t) || slices.Contains(avoid, t.ID) {
			continue
		}
		r := t.rate(now, state.Limit)
		if at := latest(t.pace.next(now, r), b.backoffOf(t).Next(now)); at.After(now) {
			freeAt = earliest(freeAt, at)
			continue
		}
		c := candidate{Choice: Choice{Target: t, Instance: t.Instance, EntryRevision: t.Revision, Basis: b.basisOf(t), Unlisted: t.Unlisted, Load: t.load,
			Limit: state.Limit, Paced: r.bounded}}
		c.Slowdown, _ = b.slowdownOf(now, t, d.Prompt)
		c.Forecast = b.forecast(now, t, d).scale(c.Slowdown)
		c.cost = c.Forecast.FirstEvent
		if t.Domain != d.Domain && !b.cfg.Off.Has(mechanism.RemoteCost) {
			c.cost += b.cfg.RemoteCost
		}
		if b.lastResort(now, t) {
			fallback.improve(c)
		} else {
			best.improve(c)
			c.cost = c.Forecast.FirstEvent
			fastest.improve(c)
		}
	}
	if best.Target == nil {
		best, fastest = fallback, fallback
		best.LastResort, fastest.LastResort = true, true
	}
	switch {
	case allowed == 0:
		return Choice{}, NoDomain
	case best.Target == nil && !freeAt.IsZero():
		return Choice{FreeAt: freeAt}, Paced
	case best.Target == nil:
		return Choice{}, NoTarget
	}
	for _, c := range [...]candidate{best, fastest} {
		slow := b.relative(now, c.Target, c.Slowdown)
		c.Admission = b.admission(now, c.Target, b.objectives[service], d, slow)
		best = c
		if c.Admission.admits(c.Load, c.Forecast.scale(slow/c.Slowdown), slow) {
			b.recordSend(now, c.Target, d)
			c.StartBy = b.servesUntil(c.Target)
			return c.Choice, Chosen
		}
	}
	return best.Choice, Saturated
}

// lastResort reports whether the target gets requests only if no other can. A target that was
// silent is probed by one request at a time across all entries: with no load, it would
// otherwise attract more requests than all others.
func (b *Balancer) lastResort(now time.Time, t *Target) bool {
	h := &t.health
	if t.Unlisted || h.ejected(now) || h.silent(now, b.silenceLimit(now, t)) {
		return true
	}
	if len(t.responsiveTo) > 0 {
		return false
	}
	return h.suspected(now) || h.unconfirmed() && t.load.Requests > 0
}

// earliest returns the earlier of two times; a may be zero for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// candidate is a choice and its cost.
type candidate struct {
	Choice
	cost time.Duration
}

func (c *candidate) improve(o candidate) {
	if c.Target == nil || o.cost < c.cost {
		*c = o
	}
}

// usable reports whether a target may get requests: an engine must hold all layers of a version
// of its model that has not expired, and must not be loading another.
func (b *Balancer) usable(now time.Time, t *Target) bool {
	if t.Draining || b.misdirected(t) {
		return false
	}
	if t.model == nil {
		return true
	}
	loaded, loading := b.serving(t)
	if loaded == 0 || loading {
		return false
	}
	if b.cfg.VersionTimeout == 0 {
		return true
	}
	due := b.versions[t.model.Model].due(now, b.cfg.VersionTimeout-b.cfg.VersionMargin)
	return loaded >= due
}

// serving returns the version that an engine has fully loaded and whether it is loading one, as
// reported by its agent or, without such a report, by the instance list.
func (b *Balancer) serving(t *Target) (version int, loading bool) {
	if s, reported := b.reportOf(t); reported {
		return s.Version, s.Loading
	}
	return t.LoadedVersion(t.model), false
}

// reportOf returns the state of a target's engine as reported by its agent. An incarnation that the
// agent has not seen yet holds nothing that can be used, whatever the instance list says: only the
// agent knows whether its load is whole.
func (b *Balancer) reportOf(t *Target) (s EngineState, reported bool) {
	s, reported = b.states[t.Addr]
	if s.StartMs != 0 && s.StartMs < t.StartMs {
		return EngineState{}, reported
	}
	return s, reported
}

// servesUntil returns when the version that a target serves expires; zero if no newer version
// is wanted.
func (b *Balancer) servesUntil(t *Target) time.Time {
	if t.model == nil || b.cfg.VersionTimeout == 0 {
		return time.Time{}
	}
	version, _ := b.serving(t)
	return b.versions[t.model.Model].expiresAt(version, b.cfg.VersionTimeout)
}

// forecast predicts the timing of a request at a target that is not slow.
func (b *Balancer) forecast(now time.Time, t *Target, d Demand) Forecast {
	if t.model != nil {
		return forecastEngine(t.model, t.load, d)
	}
	return forecastPlain(t.Slots, b.plainLatency(now, t, d.Kind), t.load)
}

// plainLatency returns the expected latency of a kind of requests at a plain target that is not
// slow. The kind may be empty if it is not known.
func (b *Balancer) plainLatency(now time.Time, t *Target, kind string) time.Duration {
	if kind != "" && !b.speedOff() {
		if l := b.kindLatencyOf(now, t.Service, kind); l > 0 {
			return l
		}
	}
	own := time.Duration(float64(t.health.latency) / t.plain.slowdown(now))
	return cmp.Or(own, b.cfg.PlainLatency)
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/notice"
)

// Verdict says why no target was chosen.
type Verdict uint8

// Verdicts of a choice.
const (
	Chosen    Verdict = iota
	Saturated         // all that could serve are too loaded for the objective
	NoTarget          // none could serve now
	NoDomain          // all are in failure domains that must not run the request
	Paced             // all that could serve take no more before a time
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"chosen", "saturated", "no_target", "no_domain", "paced"}[v]
}

// Choice is the target that a request goes to.
type Choice struct {
	Target *Target
	// Instance is the target as the list had it at the choice; that of Target changes with
	// the list.
	Instance fleet.Instance
	EntryRevision    int64 // revision of the target's entry in the list, as the choice knew it
	Unlisted bool  // its entry had vanished from the list
	// StartBy is when the request must have begun at the target, because the time of the
	// version that it serves is over; zero if it may begin at any time.
	StartBy     time.Time
	Forecast  Forecast
	Admission Admission
	Load      Load         // at the target before the request
	Limit     notice.Limit // that the target is believed to have named
	Paced     bool         // the target takes a bounded rate, so that its home must grant a place
	FreeAt    time.Time    // of a verdict that it is Paced: when a target takes one more
}

// Pick chooses a target of service and counts the request there; Finish must
// follow. Instances in avoid are left out.
func (b *Balancer) Pick(now time.Time, service string, d Demand, avoid []string) (Choice, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := b.services[service]
	n := len(targets)
	if n == 0 {
		return Choice{}, NoTarget
	}
	var best, lightest, spare candidate
	start := b.rng.IntN(n)
	allowed := 0
	var freeAt time.Time
	for k := 0; k < n && allowed < b.cfg.SampleSize; k++ {
		t := targets[(start+k)%n]
		if !b.policy.Allows(t.Domain, d.HomeRegions) {
			continue
		}
		allowed++
		said := b.said(t)
		if said.Leaving || !b.usable(now, t) || slices.Contains(avoid, t.ID) {
			continue
		}
		r := t.rate(now, said.Limit)
		if at := latest(t.pace.next(now, r), b.rest(t).Next(now)); at.After(now) {
			freeAt = earliest(freeAt, at)
			continue
		}
		c := candidate{Choice: Choice{Target: t, Instance: t.Instance, EntryRevision: t.Revision, Unlisted: t.Doubtful, Forecast: b.forecast(t, d), Load: t.load,
			Limit: said.Limit, Paced: r.bounded}}
		c.cost = c.Forecast.FirstEvent
		if t.Domain != d.Domain && !b.cfg.Off.Has(mechanism.RemoteCost) {
			c.cost += b.cfg.RemoteCost
		}
		if t.lastResort(now) {
			spare.improve(c)
		} else {
			best.improve(c)
			c.cost = c.Forecast.FirstEvent
			lightest.improve(c)
		}
	}
	if best.Target == nil {
		best, lightest = spare, spare
	}
	switch {
	case allowed == 0:
		return Choice{}, NoDomain
	case best.Target == nil && !freeAt.IsZero():
		return Choice{FreeAt: freeAt}, Paced
	case best.Target == nil:
		return Choice{}, NoTarget
	}
	for _, c := range [...]candidate{best, lightest} {
		c.Admission = b.admission(now, c.Target, b.demands[service], d)
		best = c
		if c.Admission.admits(c.Load, c.Forecast) {
			b.start(now, c.Target, d)
			c.StartBy = b.servesUntil(c.Target)
			return c.Choice, Chosen
		}
	}
	return best.Choice, Saturated
}

// lastResort reports whether the target gets requests only if no other can. One
// that was silent is tried by a single request of all entries: it has no load, so
// that it would draw more than all others.
func (t *Target) lastResort(now time.Time) bool {
	h := &t.health
	if t.Doubtful || h.ejected(now) || h.silent(now, t.silenceLimit()) {
		return true
	}
	if len(t.heard) > 0 {
		return false
	}
	return h.suspected(now) || h.unproven() && t.load.Requests > 0
}

// earliest returns the earlier of two times, of which the first may be zero for none.
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

// usable reports whether a target may get requests: an engine must hold all
// layers of a version whose time is not over.
func (b *Balancer) usable(now time.Time, t *Target) bool {
	if t.Draining || t.gone {
		return false
	}
	if t.model == nil {
		return true
	}
	holds, loading := b.serving(t)
	if holds == 0 || loading {
		return false
	}
	if b.cfg.VersionTimeout == 0 {
		return true
	}
	due := b.versions[t.model.Model].due(now, b.cfg.VersionTimeout-b.cfg.VersionMargin)
	return holds >= due
}

// serving returns the version that an engine serves whole, and whether it loads one, by
// its agent or else by the list.
func (b *Balancer) serving(t *Target) (version int, loading bool) {
	if s, said := b.states[t.Addr]; said && (s.StartMs >= t.Born || s.StartMs == 0) { // else of an earlier life
		return s.Version, s.Loading
	}
	return t.Holds(t.model), false
}

// servesUntil returns when the time of the version that a target serves is over; zero
// if no newer one is named.
func (b *Balancer) servesUntil(t *Target) time.Time {
	if t.model == nil || b.cfg.VersionTimeout == 0 {
		return time.Time{}
	}
	version, _ := b.serving(t)
	return b.versions[t.model.Model].overAt(version, b.cfg.VersionTimeout)
}

func (b *Balancer) forecast(t *Target, d Demand) Forecast {
	if t.model != nil {
		return forecastEngine(t.model, t.load, d)
	}
	return forecastPlain(t.Slots, b.plainLatency(t), t.load)
}

func (b *Balancer) plainLatency(t *Target) time.Duration {
	return cmp.Or(t.health.latency, b.cfg.PlainLatency)
}

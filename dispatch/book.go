package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
)

// Config holds the constants of the choice.
type Config struct {
	// Off are mechanisms that are switched off.
	Off mechanism.Off
	// Admit is the part of the tightest objective of a service that the
	// forecast of a mean request may take. The rest covers the way to the
	// caller and what the forecast does not see. Default 0.75.
	Admit float64
	// AdmitGap is the part of the longest pause that the forecast may take.
	// Default 0.8.
	AdmitGap float64
	// RemoteCost is added to the forecast at targets of other failure
	// domains: the longer way, and bytes that are paid for. Default 15 ms.
	RemoteCost time.Duration
	// Sample is how many targets are looked at for one choice. Default 64.
	Sample int
	// VersionTimeout is the time in which a new version must be served
	// everywhere; zero is no limit. VersionMargin is how much sooner engines
	// with an older one get no more requests, since those may wait there
	// before they begin. Default 1 s.
	VersionTimeout, VersionMargin time.Duration
	// PlainLatency is assumed of a plain target that has not answered yet.
	// Default 50 ms.
	PlainLatency time.Duration
}

func (c Config) applyDefaults() Config {
	c.Admit = cmp.Or(c.Admit, 0.75)
	c.AdmitGap = cmp.Or(c.AdmitGap, 0.8)
	c.RemoteCost = cmp.Or(c.RemoteCost, 15*time.Millisecond)
	c.Sample = cmp.Or(c.Sample, 64)
	c.VersionMargin = cmp.Or(c.VersionMargin, time.Second)
	c.PlainLatency = cmp.Or(c.PlainLatency, 50*time.Millisecond)
	return c
}

// EngineState is what the agent beside an engine says about it.
type EngineState struct {
	Version int // served whole; 0 is none
	Loading bool
}

// Target is one instance with what an entry knows of it. Its fields are
// guarded by the Book.
type Target struct {
	fleet.Instance
	model  *fleet.EngineModel
	own    Load
	others map[string]Load // by entry
	heard  map[string]bool // entries that hear it now
	load   Load            // own and others
	health health
	gone   bool
}

// Verdict says why no target was chosen.
type Verdict uint8

// Verdicts of a choice.
const (
	Chosen    Verdict = iota
	Saturated         // all that could serve are too loaded for the objective
	NoTarget          // none could serve now
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"chosen", "saturated", "no_target"}[v] }

// Choice is the target that a request goes to.
type Choice struct {
	Target    *Target
	Forecast  Forecast
	Admission Admission
	Load      Load // at the target before the request
}

// Book holds the targets of all services. Its methods may be called
// concurrently.
type Book struct {
	cfg Config

	mu       sync.Mutex
	services map[string][]*Target
	byID     map[string]*Target
	addrs    map[string]bool           // of all targets
	demands  map[string]*demands       // by service
	states   map[string]EngineState    // by address, from agents
	versions map[string]wantedVersions // by model
	rng      *rand.Rand
	changed  chan struct{} // closed when a target may have become free
}

// NewBook returns an empty book.
func NewBook(cfg Config, rng *rand.Rand) *Book {
	return &Book{cfg: cfg.applyDefaults(), services: map[string][]*Target{}, byID: map[string]*Target{},
		demands: map[string]*demands{}, states: map[string]EngineState{}, versions: map[string]wantedVersions{}, rng: rng, changed: make(chan struct{})}
}

// Apply takes the list of instances and the services' cost models. Loads and
// health of instances that remain are kept.
func (b *Book) Apply(instances []*fleet.Instance, services map[string]*fleet.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byID := make(map[string]*Target, len(instances))
	lists := map[string][]*Target{}
	addrs := make(map[string]bool, len(instances))
	for _, i := range instances {
		t := b.byID[i.ID]
		if t == nil {
			t = &Target{others: map[string]Load{}, heard: map[string]bool{}}
		}
		t.Instance = *i
		if s := services[i.Service]; s != nil {
			t.model = s.Engine
		}
		byID[i.ID] = t
		addrs[i.Addr] = true
		lists[i.Service] = append(lists[i.Service], t)
	}
	for _, l := range lists {
		slices.SortFunc(l, func(x, y *Target) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.byID, b.services, b.addrs = byID, lists, addrs
	b.wake()
}

// SetState takes what the agent beside an engine says.
func (b *Book) SetState(addr string, s EngineState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[addr] = s
	b.wake()
}

// ForgetState drops what an agent said, because it is not heard any more.
func (b *Book) ForgetState(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, addr)
}

// Changed returns a channel that is closed when a target may have become free.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Book) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Pick chooses a target of service and counts the request there; Finish must
// follow. Instances in avoid are left out.
func (b *Book) Pick(now time.Time, service string, d Demand, avoid []string) (Choice, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := b.services[service]
	n := len(targets)
	if n == 0 {
		return Choice{}, NoTarget
	}
	var best, spare candidate
	start := b.rng.IntN(n)
	for k := range min(n, b.cfg.Sample) {
		t := targets[(start+k)%n]
		if !b.usable(now, t) || slices.Contains(avoid, t.ID) {
			continue
		}
		c := candidate{Choice: Choice{Target: t, Forecast: b.forecast(t, d), Load: t.load}}
		c.cost = c.Forecast.FirstEvent
		if t.Domain != d.Domain && !b.cfg.Off.Has(mechanism.RemoteCost) {
			c.cost += b.cfg.RemoteCost
		}
		if t.lastResort(now) {
			spare.improve(c)
		} else {
			best.improve(c)
		}
	}
	if best.Target == nil {
		best = spare
	}
	if best.Target == nil {
		return Choice{}, NoTarget
	}
	best.Admission = b.admission(now, best.Target, b.demands[service], d)
	if !best.Admission.admits(best.Load, best.Forecast) {
		return best.Choice, Saturated
	}
	b.start(now, best.Target, d)
	return best.Choice, Chosen
}

// lastResort reports whether the target gets requests only if no other can. One
// that was silent is tried by a single request of all entries: it has no load, so
// that it would draw more than all others.
func (t *Target) lastResort(now time.Time) bool {
	h := &t.health
	if t.Doubtful || h.ejected(now) || h.silent(now) {
		return true
	}
	if len(t.heard) > 0 {
		return false
	}
	return h.suspected(now) || h.unproven() && t.load.Requests > 0
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
func (b *Book) usable(now time.Time, t *Target) bool {
	if t.Draining || t.gone {
		return false
	}
	if t.model == nil {
		return true
	}
	holds := t.Holds(t.model)
	if s, said := b.states[t.Addr]; said {
		if s.Loading {
			return false
		}
		holds = s.Version
	}
	if holds == 0 {
		return false
	}
	if b.cfg.VersionTimeout == 0 {
		return true
	}
	due := b.versions[t.model.Model].due(now, b.cfg.VersionTimeout-b.cfg.VersionMargin)
	return holds >= due
}

func (b *Book) forecast(t *Target, d Demand) Forecast {
	if t.model != nil {
		return forecastEngine(t.model, t.load, d)
	}
	return forecastPlain(t.Slots, b.plainLatency(t), t.load)
}

func (b *Book) plainLatency(t *Target) time.Duration {
	return cmp.Or(t.health.latency, b.cfg.PlainLatency)
}

func (b *Book) start(now time.Time, t *Target, d Demand) {
	l := Load{Requests: 1, Unread: d.Prompt}
	t.own, t.load = t.own.add(l), t.load.add(l)
	if t.health.waitingSince.IsZero() {
		t.health.waitingSince = now
	}
}

// Reserve decides for another entry whether one more request with so long a
// prompt may go to a target, on the terms that the entry states. The grant counts
// as that entry's load until its next account. A target that is not known here is
// granted: the asker may know better.
func (b *Book) Reserve(from, instance string, prompt int, a Admission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return true
	}
	if !a.admits(t.load, b.forecast(t, Demand{Prompt: prompt})) {
		return false
	}
	l := Load{Requests: 1, Unread: prompt}
	t.others[from] = t.others[from].add(l)
	t.load = t.load.add(l)
	return true
}

// Cancel takes a choice back that was not followed.
func (b *Book) Cancel(t *Target, d Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Requests: -1, Unread: -d.Prompt}
	t.own, t.load = t.own.add(l), t.load.add(l)
	if t.own.Requests == 0 {
		t.health.waitingSince = time.Time{}
	}
}

// Silent reports whether a target with work has sent nothing for too long.
func (b *Book) Silent(now time.Time, t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return t.health.silent(now)
}

// Heard notes that a target sent something. first is the prompt whose first
// event came, or zero.
func (b *Book) Heard(now time.Time, t *Target, first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.health.heard(now)
	l := Load{Unread: -first}
	t.own, t.load = t.own.add(l), t.load.add(l)
}

// Result is how a request ended at a target.
type Result struct {
	Unread  int           // prompt tokens, if no first event came
	Failed  bool          // the target failed it
	Down    bool          // no connection could be made
	Gone    bool          // another instance has the address
	Silent  bool          // the target sent nothing at the end
	Latency time.Duration // of a whole answer; zero if there was none
}

// Finish counts the end of a request.
func (b *Book) Finish(now time.Time, t *Target, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Requests: -1, Unread: -r.Unread}
	t.own, t.load = t.own.add(l), t.load.add(l)
	switch {
	case t.own.Requests == 0:
		t.health.waitingSince = time.Time{}
	case !r.Silent:
		t.health.waitingSince = now
	}
	if r.Latency > 0 {
		t.health.heardAt = now
	}
	switch {
	case r.Gone:
		t.gone = true
	case r.Down:
		t.health.eject(now)
	case r.Failed && r.Silent && len(t.heard) == 0:
		t.health.leftSilent(now)
	case !b.cfg.Off.Has(mechanism.Ejection):
		t.health.observe(now, !r.Failed)
	}
	if r.Latency > 0 && t.model == nil {
		t.health.measured(r.Latency)
	}
	b.wake()
}

// Knows reports whether a target has the address.
func (b *Book) Knows(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[addr]
}

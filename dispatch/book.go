package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/notice"
	"github.com/springgate/springgate/residency"
)

// EngineState is what the agent beside an engine says about it.
type EngineState struct {
	Version int // served whole; 0 is none
	Loading bool
	StartMs    int64 // of the engine that it is about; 0 if not known
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
	lost   int // requests of this entry whose connection broke there
	pace   pace
	// coldPerS is how many requests a second it bears while it is cold; 0 for any number.
	coldPerS float64
}

// Balancer holds the targets of all services. Its methods may be called
// concurrently.
type Balancer struct {
	cfg Config

	mu       sync.Mutex
	policy   *residency.Policy
	services map[string][]*Target
	byID     map[string]*Target
	addrs    map[string]bool           // of all targets
	demands  map[string]*demands       // by service
	states   map[string]EngineState    // by address, from agents
	versions map[string]wantedVersions // by model
	notices  *notice.Table
	rng      *rand.Rand
	changed  chan struct{} // closed when a target may have become free
}

// NewBalancer returns an empty book.
func NewBalancer(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{cfg: cfg.applyDefaults(), policy: residency.New(cfg.Regions, nil), services: map[string][]*Target{}, byID: map[string]*Target{},
		demands: map[string]*demands{}, states: map[string]EngineState{}, versions: map[string]wantedVersions{}, notices: notice.NewTable(), rng: rng, changed: make(chan struct{})}
}

// Apply takes the list of instances and the services' cost models. Loads and
// health of instances that remain are kept, but not from one life of a target to the
// next under the same ID.
func (b *Balancer) Apply(instances []*fleet.Instance, services map[string]*fleet.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byID := make(map[string]*Target, len(instances))
	lists := map[string][]*Target{}
	addrs := make(map[string]bool, len(instances))
	for _, i := range instances {
		t := b.byID[i.ID]
		isNew := t == nil || !fleet.SameLife(t.Born, i.Born)
		if isNew {
			t = &Target{others: map[string]Load{}, heard: map[string]bool{}}
		}
		t.Instance = *i
		if s := services[i.Service]; s != nil {
			t.model = s.Engine
			t.coldPerS = s.ColdRate
		}
		if isNew {
			t.found()
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

// SetEvacuated replaces the failure domains that are evacuated. It returns how many of
// them are in no region that is known.
func (b *Balancer) SetEvacuated(domains []string) (unknown int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = residency.New(b.cfg.Regions, domains)
	b.wake()
	for _, d := range domains {
		if b.cfg.Regions[d] == "" {
			unknown++
		}
	}
	return unknown
}

// SetState takes what the agent beside an engine says.
func (b *Balancer) SetState(addr string, s EngineState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[addr] = s
	b.wake()
}

// DeleteState drops what an agent said, because it is not heard any more.
func (b *Balancer) DeleteState(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, addr)
}

// Changed returns a channel that is closed when a target may have become free.
func (b *Balancer) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Balancer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Balancer) start(now time.Time, t *Target, d Demand) {
	l := Load{Requests: 1, PendingPrefill: d.Prompt}
	t.own, t.load = t.own.add(l), t.load.add(l)
	t.pace.count(now, t.rate(now, b.said(t).Limit))
	b.notices.Sent(now, notice.LifeOf(&t.Instance))
	if t.health.waitingSince.IsZero() {
		t.health.waitingSince = now
	}
}

// Silent reports whether a target with work has sent nothing for too long.
func (b *Balancer) Silent(now time.Time, t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return t.health.silent(now, t.silenceLimit())
}

// RecordActivity notes that a target sent something. first is the prompt whose first
// event came, or zero.
func (b *Balancer) RecordActivity(now time.Time, t *Target, first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.health.heard(now)
	l := Load{PendingPrefill: -first}
	t.own, t.load = t.own.add(l), t.load.add(l)
}

// Result is how a request ended at a target.
type Result struct {
	PendingPrefill  int           // prompt tokens, if no first event came
	Failed  bool          // the target failed it
	ConnectFailed    bool          // no connection could be made
	Replaced    bool          // another instance has the address
	Silent  bool          // the target sent nothing at the end
	ConnectionLost    bool          // the connection broke before the answer was whole
	Latency time.Duration // of a whole answer; zero if there was none
}

// Finish counts the end of a request.
func (b *Balancer) Finish(now time.Time, t *Target, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Requests: -1, PendingPrefill: -r.PendingPrefill}
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
	if r.ConnectionLost {
		t.lost++
	}
	switch {
	case r.Replaced:
		t.gone = true
	case r.ConnectFailed:
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

// HasAddr reports whether a target has the address.
func (b *Balancer) HasAddr(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[addr]
}

// ConnectionsLost returns how many requests of this entry lost their connection at a target. With
// the end of the target they were lost because it ended, else the connection alone broke.
func (b *Balancer) ConnectionsLost(instance string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return 0
	}
	return t.lost
}

// Serving reports whether a target is listed and not leaving: one that leaves, or has
// vanished from the list, ends by plan.
func (b *Balancer) Serving(t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[t.ID] == t && !b.leaving(t) && !t.Doubtful
}

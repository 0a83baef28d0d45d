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

// EngineState is the state of an engine as reported by its agent, the process that supplies the
// engine with weights and orders it to load them.
type EngineState struct {
	Version int // fully loaded version; 0 if none
	Loading bool
	StartMs int64 // start time of the engine in Unix milliseconds; 0 if unknown
	// Pace is how many times as long as by its cost model the engine takes, as it states; 0 if
	// unknown.
	Pace   float64
	serial uint64 // of the report; see Basis
}

// usable reports whether the engine holds a version and is not loading another.
func (s EngineState) usable() bool { return s.Version != 0 && !s.Loading }

// Target is an instance together with this entry's view of it. Its fields are guarded by the
// Balancer's mutex.
type Target struct {
	fleet.Instance
	model           *fleet.EngineModel
	own             Load
	entryLoads      map[string]Load // by entry
	homeLoadAt      time.Time       // when the target's home entry last told its load
	responsiveTo    map[string]bool // other entries that currently receive data from the target
	load            Load            // own plus entryLoads
	health          health
	misdirected     bool // the target did not accept a request that was chosen on misdirectedOn
	misdirectedOn   Basis
	connectionsLost int // requests of this entry whose connection to the target was lost
	pace            pacer
	speed           engineSpeed // of a model engine
	plain           plainSpeed  // of a plain target
	// coldRate is the number of requests per second that the target can sustain while it is
	// cold, that is, until Instance.ColdUntil; 0 for no limit.
	coldRate float64
}

// Balancer chooses among the targets of all services. Its methods may be called concurrently.
type Balancer struct {
	cfg Config

	mu          sync.Mutex
	policy      *residency.Policy
	services    map[string][]*Target
	byID        map[string]*Target
	used        map[*Target]bool           // targets of which OwnLoads, SilentTargets or ResponsiveTargets may tell
	addrs       map[string]bool            // of all targets
	reported    map[string]map[string]bool // targets at which other entries reported loads, by entry and target ID
	homeLoads   []homeLoad                 // loads told by home entries, oldest first
	objectives  map[string]*objectiveStats // by service
	states      map[string]EngineState     // by address, as reported by agents
	stateSerial uint64                     // of the latest change of a state
	versions    map[string]wantedVersions  // by model
	common      map[string]commonSlowdown  // by service
	latencies   map[kindKey]kindLatency    // of plain targets
	notices     *notice.Table
	rng         *rand.Rand
	changed     chan struct{} // closed when a target may have become available
}

// NewBalancer returns a Balancer without targets.
func NewBalancer(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{cfg: cfg.applyDefaults(), policy: residency.New(cfg.Regions, nil), services: map[string][]*Target{}, byID: map[string]*Target{}, reported: map[string]map[string]bool{}, used: map[*Target]bool{},
		objectives: map[string]*objectiveStats{}, states: map[string]EngineState{}, versions: map[string]wantedVersions{}, common: map[string]commonSlowdown{}, latencies: map[kindKey]kindLatency{}, notices: notice.NewTable(), rng: rng, changed: make(chan struct{})}
}

// Apply replaces the list of instances and the services' cost models. The load and health of an
// instance are kept while it stays listed, but not across a restart under the same ID.
func (b *Balancer) Apply(instances []*fleet.Instance, services map[string]*fleet.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byID := make(map[string]*Target, len(instances))
	lists := map[string][]*Target{}
	addrs := make(map[string]bool, len(instances))
	for _, i := range instances {
		t := b.byID[i.ID]
		isNew := t == nil || !fleet.SameIncarnation(t.StartMs, i.StartMs)
		if isNew {
			t = &Target{entryLoads: map[string]Load{}, responsiveTo: map[string]bool{}}
		}
		t.Instance = *i
		if s := services[i.Service]; s != nil {
			t.model = s.Engine
			t.coldRate = s.ColdRate
		}
		if isNew {
			t.initPace()
		}
		byID[i.ID] = t
		addrs[i.Addr] = true
		lists[i.Service] = append(lists[i.Service], t)
	}
	for _, l := range lists {
		slices.SortFunc(l, func(x, y *Target) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.byID, b.services, b.addrs = byID, lists, addrs
	b.common, b.latencies = map[string]commonSlowdown{}, map[kindKey]kindLatency{}
	b.notifyChanged()
}

// SetEvacuated replaces the set of evacuated failure domains, to which operators want no requests
// sent. It returns how many of the given domains have no known region.
func (b *Balancer) SetEvacuated(domains []string) (unknown int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = residency.New(b.cfg.Regions, domains)
	b.notifyChanged()
	for _, d := range domains {
		if b.cfg.Regions[d] == "" {
			unknown++
		}
	}
	return unknown
}

// SetState records the state of an engine as reported by its agent.
func (b *Balancer) SetState(addr string, s EngineState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[addr] = b.numbered(s, b.states[addr])
	b.notifyChanged()
}

// DeleteState removes an engine's state because its agent no longer reports it. The instance list
// applies then, unless the engine was last reported to be unusable: the list does not tell whether
// a load that the agent has not examined is whole, and an order of the agent may still reach the
// next incarnation. Such a state is kept until an agent reports the engine again.
func (b *Balancer) DeleteState(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.states[addr].usable() {
		delete(b.states, addr)
	}
}

// Changed returns a channel that is closed when a target may have become available.
func (b *Balancer) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Balancer) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Balancer) recordSend(now time.Time, t *Target, d Demand) {
	l := Load{Requests: 1, PendingPrefill: d.Prompt}
	b.addOwn(t, l)
	t.pace.count(now, t.rate(now, b.stateOf(t).Limit))
	b.notices.RecordSend(now, notice.IncarnationOf(&t.Instance))
	if t.health.waitingSince.IsZero() {
		t.health.waitingSince = now
	}
}

// Silent reports whether a target with requests in flight has sent nothing for longer than its
// silenceLimit.
func (b *Balancer) Silent(now time.Time, t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return t.health.silent(now, b.silenceLimit(now, t))
}

// RecordSilence records that a target with requests in flight was found silent, unless other
// entries receive data from it. It gets no requests for a time, and one at a time after that
// until it has answered.
func (b *Balancer) RecordSilence(now time.Time, t *Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(t.responsiveTo) == 0 {
		t.health.recordSilence(now)
	}
}

// RecordActivity records that a target sent data. If the data was the first event of a request,
// first is the number of prompt tokens of that request, and zero otherwise.
func (b *Balancer) RecordActivity(now time.Time, t *Target, first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.health.recordActivity(now)
	l := Load{PendingPrefill: -first}
	b.addOwn(t, l)
}

// Result describes how a request ended at a target.
type Result struct {
	PendingPrefill int           // prompt tokens of the request if no first event arrived, else zero
	Failed         bool          // the target failed the request
	ConnectFailed  bool          // no connection could be established
	Misdirected    bool          // the target's address did not accept a request for this target
	Basis          Basis         // on which the target was chosen
	Silent         bool          // the request was abandoned because the target sent nothing
	ConnectionLost bool          // the connection broke before the response was complete
	Latency        time.Duration // until the complete response; zero if there was none
	Kind           string        // kind of the request; responses of a kind take about as long as each other
}

// Finish records the end of a request.
func (b *Balancer) Finish(now time.Time, t *Target, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Requests: -1, PendingPrefill: -r.PendingPrefill}
	b.addOwn(t, l)
	switch {
	case t.own.Requests == 0:
		t.health.waitingSince = time.Time{}
	case !r.Silent:
		t.health.waitingSince = now
	}
	if r.Latency > 0 {
		t.health.endSilence(now)
	}
	if r.ConnectionLost {
		t.connectionsLost++
	}
	switch {
	case r.Misdirected:
		b.recordMisdirected(t, r.Basis)
	case r.ConnectFailed:
		t.health.eject(now)
	case r.Failed && r.Silent && len(t.responsiveTo) == 0:
		t.health.recordSilence(now)
	case !b.cfg.Off.Has(mechanism.Ejection):
		t.health.observe(now, !r.Failed)
	}
	if r.Latency > 0 && t.model == nil {
		b.recordPlain(now, t, r.Kind, r.Latency)
	}
	b.notifyChanged()
}

// HasAddr reports whether a target has the address.
func (b *Balancer) HasAddr(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[addr]
}

// ConnectionsLost returns how many requests of this entry lost their connection to a target. If
// the target's process has ended, the requests were lost with it; otherwise only their
// connections broke.
func (b *Balancer) ConnectionsLost(instance string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return 0
	}
	return t.connectionsLost
}

// Serving reports whether a target is listed and not leaving, that is, not about to shut down.
// That the process of a leaving or unlisted target ends is expected and no crash.
func (b *Balancer) Serving(t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[t.ID] == t && !b.leaving(t) && !t.Unlisted
}

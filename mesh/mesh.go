package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/quarantine"
)

// Listener is told what others say. Its methods must not block.
type Listener interface {
	// Loads is what the entry at an address has in flight.
	Loads(from string, l *peer.Loads)
	// Lost says that an entry is not heard any more.
	Lost(addr string)
	// EngineState is what an agent says; nil when it is not heard any more.
	EngineState(agent peer.Presence, s *peer.EngineState)
	// Assignment returns what the engine beside an agent is to serve, or nil,
	// and a channel that is closed when that may have changed.
	Assignment(agent peer.Presence) (*peer.Assignment, <-chan struct{})
	// Announced returns the versions that were seen named lately.
	Announced(now time.Time) []peer.ObservedVersion
	// Notices returns what is believed of targets by what they say of themselves.
	Notices() []peer.TargetNotice
}

// Mesh is this process's part of the network.
type Mesh struct {
	cfg        Config
	self       peer.Presence
	pool       *peer.Pool
	log        logrus.FieldLogger
	listener   Listener
	assigned   func(peer.Assignment)
	unassigned func(addr string)
	table      *mirror.Table // nil at agents
	metrics    metrics.Registry
	made       time.Time         // zero of the clock that is told to others
	moves      metrics.Counter   // changes of the source of the own copy
	store      *mirror.Contact   // set by Follow
	crashes    *quarantine.Table // of requests; nil for none
	engines    *reportRegistry
	seed       bool // others begin with this entry

	mu            sync.Mutex
	members       *Members
	links         map[string]*link
	live          []peer.Presence
	changed       chan struct{} // closed when live changes
	leaving       bool
	said          *peer.EngineState    // an agent's newest report, for links that open later
	forwarder     string               // address of the entry that passes it on
	forwarded     map[string]forwarded // reports that this entry passes on, by engine
	behindSince   time.Time
	catchingUp    bool
	role          role
	crashesDiffer map[string]time.Time // since when other entries know other crashes, by address
	differing     differences          // copies of others that are not as the own one
	repairAt      time.Time            // when the own copy may be read again for that
	differed      metrics.Counter
	repairs       metrics.Counter
	moved         chan struct{} // closed when role changes its source
	movedAt       time.Time     // of the last line about that
}

// Options are what a Mesh is made of.
type Options struct {
	Config   Config
	Self     peer.Presence
	Seeds    []string
	Pool     *peer.Pool
	Listener Listener              // nil at agents
	Assigned func(peer.Assignment) // at agents
	// Unassigned is told, at agents, that an entry is not heard any more; nil for none.
	Unassigned func(addr string)
	Table      *mirror.Table // own copy of the store; nil at agents
	Log        logrus.FieldLogger
	Metrics    metrics.Registry // nil for none
	// Crashes is kept in step with the others'; nil for none.
	Crashes *quarantine.Table
}

// New returns a mesh that is not running.
func New(o Options) *Mesh {
	cfg := o.Config.applyDefaults()
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Mesh{cfg: cfg, self: o.Self, pool: o.Pool, log: o.Log, listener: o.Listener, assigned: o.Assigned, unassigned: o.Unassigned, table: o.Table,
		metrics: o.Metrics, made: clock.Now(), moves: metrics.NewRegisteredCounter("mesh.source_changes", o.Metrics),
		members: NewMembers(o.Self.Addr, o.Seeds, cfg.ExpireAfter), links: map[string]*link{},
		engines: newReportRegistry(o.Listener), seed: slices.Contains(o.Seeds, o.Self.Addr), forwarded: map[string]forwarded{},
		crashes: o.Crashes, crashesDiffer: map[string]time.Time{},
		differing: differences{}, differed: metrics.NewRegisteredCounter("mesh.copies_differed", o.Metrics),
		repairs: metrics.NewRegisteredCounter("mesh.copy_repairs", o.Metrics), changed: make(chan struct{}), moved: make(chan struct{})}
}

// Leave tells the others that this process is leaving.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.signalChange()
}

// Entries returns the live entries, without this process.
func (m *Mesh) Entries() []peer.Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

func (m *Mesh) presence() peer.Presence {
	p := m.self
	p.Leaving = m.leaving
	if m.table != nil {
		p.Revision, p.Store = m.storeContact(clock.Now())
	}
	return p
}

// storeContact returns the revision of the own copy, and what the own calls to
// the store say of it.
func (m *Mesh) storeContact(now time.Time) (int64, peer.StoreStatus) {
	at, revision := m.table.Read()
	c := peer.StoreStatus{Known: !at.IsZero(), Failing: m.failing(), UptimeMs: now.Sub(m.made).Milliseconds()}
	if c.Known {
		c.AgeMs = milliseconds(now.Sub(at))
	}
	return revision, c
}

// milliseconds rounds up, so that no age grows less on its way.
func milliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// stamped returns an account with the state of the store and the ages as they are
// when the account leaves; it may have waited for the link.
func (m *Mesh) stamped(msg peer.Message) peer.Message {
	loads, ok := msg.(*peer.Loads)
	if !ok {
		return msg
	}
	out := *loads
	out.Revision, out.Store = m.storeContact(clock.Now())
	if out.Full {
		if m.crashes != nil {
			out.CrashDigest = m.crashes.Digest()
		}
		out.Versions, out.Notices = m.listener.Announced(clock.Now()), m.listener.Notices()
		if digest, revision := m.table.Digest(); revision == out.Revision {
			out.Digest = digest
		}
	}
	return &out
}

// Run keeps links to all entries and refreshes the members until ctx ends.
// loads returns what this process has in flight; nil at agents.
func (m *Mesh) Run(ctx context.Context, loads func() []peer.TargetLoad) {
	ticker := time.NewTicker(m.cfg.Interval)
	defer ticker.Stop()
	account := newAccount(m.cfg.Heartbeat)
	for {
		now := clock.Now()
		m.refresh(ctx, now)
		if loads != nil {
			m.tellLoads(now, account, loads)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh opens links to entries that have none, and notes who is live.
func (m *Mesh) refresh(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.linkTo(ctx, m.wantedLinks(now))
	m.setLive(m.members.Live(now))
	if m.table == nil {
		m.chooseForwarder()
		return
	}
	m.table.Confirm(m.members.Confirmed(m.table.Revision()))
	m.choose(now)
	m.compare(ctx, now)
	m.repair(ctx, now)
}

// wantedLinks returns the addresses of the entries that this process is linked to:
// all of them for an entry, a few for an agent.
func (m *Mesh) wantedLinks(now time.Time) []string {
	if m.self.EngineAddr == "" {
		return m.members.Addrs()
	}
	return chooseLinks(m.self, m.members.Candidates(now))
}

// linkTo opens links that are missing and ends those that are not wanted.
func (m *Mesh) linkTo(ctx context.Context, addrs []string) {
	wanted := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		wanted[addr] = true
		if m.links[addr] == nil {
			linkCtx, end := context.WithCancel(ctx)
			l := &link{mesh: m, addr: addr, end: end, state: m.reportFor(addr), wake: make(chan struct{}, 1)}
			m.links[addr] = l
			go l.run(linkCtx)
		}
	}
	for addr, l := range m.links {
		if !wanted[addr] {
			l.end()
			delete(m.links, addr)
			m.members.Lost(addr)
		}
	}
}

func (m *Mesh) setLive(live []peer.Presence) {
	if sameAddrs(live, m.live) {
		m.live = live
		return
	}
	for _, old := range m.live {
		if !hasAddr(live, old.Addr) {
			m.log.WithField("peer", old.Addr).Warn("Entry lost.")
			delete(m.differing, old.Addr)
			delete(m.crashesDiffer, old.Addr)
			if m.listener != nil {
				m.listener.Lost(old.Addr)
			}
		}
	}
	for _, p := range live {
		if !hasAddr(m.live, p.Addr) {
			m.log.WithFields(logrus.Fields{"peer": p.Addr, "host": p.Host, "incarnation": p.Incarnation}).Info("Entry found.")
		}
	}
	m.live = live
	m.signalChange()
}

// signalChange wakes those that wait for a change of the members; the lock is held.
func (m *Mesh) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func sameAddrs(a, b []peer.Presence) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Addr != b[i].Addr || a[i].Incarnation != b[i].Incarnation {
			return false
		}
	}
	return true
}

func hasAddr(list []peer.Presence, addr string) bool {
	for _, p := range list {
		if p.Addr == addr {
			return true
		}
	}
	return false
}

// tellLoads hands an account to all links, if one is due or the store has news.
func (m *Mesh) tellLoads(now time.Time, a *account, loads func() []peer.TargetLoad) {
	storeAt, _ := m.table.Read()
	urgent := a.urgent(now, storeAt, m.failing())
	if !urgent && !a.due(now, m.cfg.accountInterval(len(m.Entries()))) {
		return
	}
	msg := a.next(now, loads())
	if msg == nil && urgent {
		msg = &peer.Loads{}
	}
	if msg == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg.Leaving = m.leaving
	for _, l := range m.links {
		l.offer(msg)
	}
}

// heard notes what an entry says of itself.
func (m *Mesh) heard(p peer.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Heard(clock.Now(), p)
}

// told notes what an entry tells of others.
func (m *Mesh) told(msg *peer.Presences) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range msg.Entries {
		m.members.ToldOf(p)
	}
	for _, addr := range msg.EntryAddrs {
		m.members.Told(addr)
	}
}

func (m *Mesh) lost(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Lost(addr)
}

// Nearest returns up to n live entries that this process should ask for key, in
// order: those of the own failure domain by rendezvous hashing, then others.
// Entries with slow links are left out.
func (m *Mesh) Nearest(key string, n int) []string {
	var near, far []peer.Presence
	for _, p := range m.Entries() {
		if p.Domain == m.self.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	out := membership.Rank(key, addrsOf(peer.FastLinks(near)), n)
	return append(out, membership.Rank(key, addrsOf(peer.FastLinks(far)), n-len(out))...)
}

func addrsOf(list []peer.Presence) []string {
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = p.Addr
	}
	return out
}

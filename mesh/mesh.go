package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
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
	Announced(now time.Time) []peer.SeenVersion
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
	made       time.Time       // zero of the clock that is told to others
	moves      metrics.Counter // changes of the source of the own copy
	store      *mirror.Contact // set by Follow
	engines    *engineBoard
	seed       bool // others begin with this entry

	mu          sync.Mutex
	members     *Members
	links       map[string]*link
	live        []peer.Presence
	changed     chan struct{} // closed when live changes
	leaving     bool
	said        *peer.EngineState // an agent's newest word, for links that open later
	speaker     string            // address of the entry that passes it on
	spoken      map[string]spoken // words that this entry passes on, by engine
	behindSince time.Time
	catchingUp  bool
	role        role
	moved       chan struct{} // closed when role changes its source
	movedAt     time.Time     // of the last line about that
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
}

// New returns a mesh that is not running.
func New(o Options) *Mesh {
	cfg := o.Config.applyDefaults()
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Mesh{cfg: cfg, self: o.Self, pool: o.Pool, log: o.Log, listener: o.Listener, assigned: o.Assigned, unassigned: o.Unassigned, table: o.Table,
		metrics: o.Metrics, made: time.Now(), moves: metrics.NewRegisteredCounter("mesh.source_changes", o.Metrics),
		members: NewMembers(o.Self.Addr, o.Seeds, cfg.ExpireAfter), links: map[string]*link{},
		engines: newEngineBoard(o.Listener), seed: slices.Contains(o.Seeds, o.Self.Addr), spoken: map[string]spoken{},
		changed: make(chan struct{}), moved: make(chan struct{})}
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
		p.Revision, p.Store = m.storeContact(time.Now())
	}
	return p
}

// storeContact returns the revision of the own copy, and what the own calls to
// the store say of it.
func (m *Mesh) storeContact(now time.Time) (int64, peer.StoreContact) {
	at, revision := m.table.Read()
	c := peer.StoreContact{Known: !at.IsZero(), Failing: m.failing(), ClockMs: now.Sub(m.made).Milliseconds()}
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
	out.Revision, out.Store = m.storeContact(time.Now())
	if out.Full {
		out.Versions = m.listener.Announced(time.Now())
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
		now := time.Now()
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
		m.chooseSpeaker()
		return
	}
	m.table.Confirm(m.members.Confirmed(m.table.Revision()))
	m.choose(now)
	m.compare(ctx, now)
}

// wantedLinks returns the addresses of the entries that this process is linked to:
// all of them for an entry, a few for an agent.
func (m *Mesh) wantedLinks(now time.Time) []string {
	if m.self.Engine == "" {
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
			l := &link{mesh: m, addr: addr, end: end, state: m.wordFor(addr), wake: make(chan struct{}, 1)}
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

// compare reads from a peer what its copy of the store has and the own has not.
func (m *Mesh) compare(ctx context.Context, now time.Time) {
	addr, ahead := m.members.Ahead(now, m.table.Revision(), m.self.Domain)
	if !ahead {
		m.behindSince = time.Time{}
		return
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	if now.Sub(m.behindSince) < m.patienceBehind(now) || m.catchingUp {
		return
	}
	m.catchingUp = true
	go m.catchUp(ctx, addr)
}

// patienceBehind is how long the own copy may be behind. No watch is to be waited
// for when nobody has confirmed the copy for longer than one takes; an entry
// without a copy reads it from its source.
func (m *Mesh) patienceBehind(now time.Time) time.Duration {
	if at := m.table.ContactAt(); !at.IsZero() && now.Sub(at) > m.cfg.UnconfirmedAfter {
		return 0
	}
	return m.cfg.BehindAfter
}

func (m *Mesh) catchUp(ctx context.Context, addr string) {
	before := m.table.Revision()
	err := mirror.CatchUp(ctx, &peerSource{mesh: m, addr: addr}, m.table)
	m.mu.Lock()
	m.catchingUp, m.behindSince = false, time.Time{}
	m.mu.Unlock()
	fields := logrus.Fields{"peer": addr, "from_revision": before, "to_revision": m.table.Revision()}
	if err != nil {
		m.log.WithFields(fields).WithError(err).Info("Could not catch up from a peer.")
		return
	}
	m.log.WithFields(fields).Info("Caught up from a peer.")
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

// Say tells the entries that this agent is linked to the state of its engine; links
// that open later tell it first. One of them passes it on to all others.
func (m *Mesh) Say(s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.said != nil {
		s.Seq = m.said.Seq + 1
	}
	m.said = &s
	for addr, l := range m.links {
		l.say(m.wordFor(addr))
	}
}

// wordFor returns an agent's newest word as an entry is to be told, or nil; the lock
// is held.
func (m *Mesh) wordFor(addr string) *peer.EngineState {
	if m.said == nil {
		return nil
	}
	s := *m.said
	s.Speak = addr == m.speaker
	return &s
}

// chooseSpeaker names another entry as speaker if the link to the last one is lost;
// the lock is held.
func (m *Mesh) chooseSpeaker() {
	if hasAddr(m.live, m.speaker) && m.links[m.speaker] != nil || len(m.live) == 0 {
		return
	}
	old := m.speaker
	m.speaker = m.nearestLive()
	m.log.WithFields(logrus.Fields{"from": old, "speaker": m.speaker}).Debug("Speaker changed.")
	for _, addr := range []string{old, m.speaker} {
		if l := m.links[addr]; l != nil && m.said != nil {
			l.say(m.wordFor(addr))
		}
	}
}

// nearestLive returns a live entry, of the own failure domain if there is one; the
// lock is held.
func (m *Mesh) nearestLive() string {
	var live []candidate
	for _, p := range m.live {
		live = append(live, candidate{p, true})
	}
	return chooseLinks(m.self, live)[0]
}

// heard notes what an entry says of itself.
func (m *Mesh) heard(p peer.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Heard(time.Now(), p)
}

// told notes what an entry tells of others.
func (m *Mesh) told(msg *peer.Presences) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range msg.Others {
		m.members.ToldOf(p)
	}
	for _, addr := range msg.Addrs {
		m.members.Told(addr)
	}
}

func (m *Mesh) lost(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Lost(addr)
}

// known returns this entry and the live others, for those who ask, and a channel that
// is closed when they change.
func (m *Mesh) known() (self peer.Presence, live []peer.Presence, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.presence(), m.live, m.changed
}

// Serve handles a stream that another process opened with its Presence.
func (m *Mesh) Serve(ctx context.Context, s *peer.Stream, first *peer.Presence) {
	if first.Addr != "" {
		m.heard(*first)
	}
	go m.tellNews(ctx, s, *first)
	if first.Engine != "" {
		go m.tellAssignments(ctx, s, *first)
	}
	id := m.engines.open()
	for {
		msg, err := s.Recv(ctx)
		if err != nil {
			break
		}
		m.take(id, first, msg)
	}
	m.agentGone(id, first.Engine)
	m.engines.end(id)
}

// take handles one message of a stream that another process opened.
func (m *Mesh) take(id streamID, first *peer.Presence, msg peer.Message) {
	switch v := msg.(type) {
	case *peer.Loads:
		from := *first
		from.Leaving, from.Revision, from.Store = v.Leaving, v.Revision, v.Store
		m.heard(from)
		m.listener.Loads(from.Addr, v)
	case *peer.EngineState:
		m.engines.hear(id, engineWord{*first, *v})
		m.passOn(id, *first, *v)
	case *peer.EngineStates:
		m.statesHeard(id, v)
	}
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
	out := membership.Rank(key, addrsOf(peer.Fast(near)), n)
	return append(out, membership.Rank(key, addrsOf(peer.Fast(far)), n-len(out))...)
}

func addrsOf(list []peer.Presence) []string {
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = p.Addr
	}
	return out
}

package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/gossip"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overlay"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/quarantine"
)

// Listener is notified of messages from other processes. Its methods must not block.
type Listener interface {
	// Loads receives the load report of the entry at address from.
	Loads(from string, l *peer.Loads)
	// EntryLost is called when an entry is no longer live, or does not report its loads to this
	// one any more.
	EntryLost(addr string)
	// EngineState receives the state of an agent's engine; s is nil once no report of
	// that engine is left.
	EngineState(agent peer.Presence, s *peer.EngineState)
	// Assignment returns what the engine beside an agent must serve, or nil, and a
	// channel that is closed when that may have changed.
	Assignment(agent peer.Presence) (*peer.Assignment, <-chan struct{})
	// Announced returns the model versions that operators have recently announced.
	Announced(now time.Time) []peer.ObservedVersion
	// Notices returns the current notices of targets about themselves.
	Notices() []peer.TargetNotice
	// Shortages returns the reports about services that are short of targets, by service.
	Shortages(now time.Time) map[string]overload.Report
}

// Mesh is this process's end of the links to all other processes.
type Mesh struct {
	cfg           Config
	self          peer.Presence
	pool          *peer.Pool
	log           logrus.FieldLogger
	listener      Listener
	onAssignment  func(peer.Assignment)
	onEntryLost   func(addr string)
	table         *mirror.Table // nil at agents
	metrics       metrics.Registry
	startedAt     time.Time              // zero of this process's uptime clock, whose readings are sent to others
	sourceChanges metrics.Counter        // changes of the source from which the own copy of the store is read
	store         *mirror.MonitoredStore // set by NewFollower
	crashes       *quarantine.Table      // crash records; nil for none
	engines       *reportRegistry
	told          confirmationsTold
	packedCopy    packedCopy
	firstCopies   firstCopyCounters
	isSeed        bool // other processes start discovery at this entry
	seeds         []string
	targetDomain  func(target string) string

	mu              sync.Mutex
	members         *Members
	overlay         *overlay.Overlay // links of the entries
	records         *gossip.Table    // what entries of a large fleet tell each other
	gossipTimes     gossipTimes
	lateness        lateness
	probe           string         // a lost entry or a seed that is contacted now, in a large fleet
	inbound         map[string]int // open streams of other entries, by address
	links           map[string]*link
	accounts        map[string]*link // to homes of targets that are not in links
	reportsDue      map[string]bool  // homes that may have granted a place since the last report to them
	live            []peer.Presence
	liveChanged     chan struct{} // closed when live changes
	leaving         bool
	latestReport    *peer.EngineState          // latest report, at agents; sent on links that open later
	forwarder       string                     // address of the entry that forwards latestReport to the other entries
	forwarded       map[string]forwardedReport // reports that this entry forwards, by engine
	behindSince     time.Time
	catchingUp      bool
	startHeld       bool      // see startHold
	holdEndedAt     time.Time // when the start hold ended
	introduced      bool      // another entry has told addresses of members
	role            role
	roleBasis       roleBasis
	crashMismatches map[string]time.Time // since when the crash digests of other entries differ, by address
	copyDifferences differences          // copies of other entries that differ from the own one
	nextRepairAt    time.Time            // earliest time of the next full read because of a difference
	copiesDiffered  metrics.Counter
	repairs         metrics.Counter
	sourceChanged   chan struct{} // closed when the source changes
	sourceLoggedAt  time.Time     // when a change of the source was last logged at level info

	refreshedVersion uint64        // version of the members at the last refresh
	membersChanged   chan struct{} // signals Run that the members may have changed
}

// Options are the dependencies and settings of a Mesh.
type Options struct {
	Config       Config
	Self         peer.Presence
	Seeds        []string
	Pool         *peer.Pool
	Listener     Listener              // nil at agents
	OnAssignment func(peer.Assignment) // at agents
	// OnEntryLost is called, at agents, when the link to an entry is lost; nil for none.
	OnEntryLost func(addr string)
	Table       *mirror.Table // own copy of the store; nil at agents
	Log         logrus.FieldLogger
	Metrics     metrics.Registry // nil for none
	// TargetDomain returns the failure domain of a target by its ID, or "" if it is not known; nil
	// for none.
	TargetDomain func(target string) string
	// Crashes holds the crash records, which are replicated to the other processes (see
	// crashes.go); nil for none.
	Crashes *quarantine.Table
}

// New returns a mesh that is not running.
func New(o Options) *Mesh {
	cfg := o.Config.applyDefaults()
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.TargetDomain == nil {
		o.TargetDomain = func(string) string { return "" }
	}
	m := &Mesh{cfg: cfg, seeds: o.Seeds, targetDomain: o.TargetDomain, overlay: overlay.New([]peer.Presence{o.Self}, true),
		records: gossip.NewTable(clock.Now(), o.Self), inbound: map[string]int{}, accounts: map[string]*link{}, reportsDue: map[string]bool{}, self: o.Self, pool: o.Pool, log: o.Log, listener: o.Listener, onAssignment: o.OnAssignment, onEntryLost: o.OnEntryLost, table: o.Table,
		metrics: o.Metrics, startedAt: clock.Now(), sourceChanges: metrics.NewRegisteredCounter("mesh.source_changes", o.Metrics),
		members: NewMembers(o.Self.Addr, o.Seeds, cfg.ExpireAfter), links: map[string]*link{},
		engines: newReportRegistry(o.Listener), isSeed: slices.Contains(o.Seeds, o.Self.Addr), forwarded: map[string]forwardedReport{},
		crashes: o.Crashes, crashMismatches: map[string]time.Time{},
		copyDifferences: differences{}, copiesDiffered: metrics.NewRegisteredCounter("mesh.copies_differed", o.Metrics),
		repairs: metrics.NewRegisteredCounter("mesh.copy_repairs", o.Metrics), liveChanged: make(chan struct{}), sourceChanged: make(chan struct{}), membersChanged: make(chan struct{}, 1)}
	m.firstCopies = newFirstCopyCounters(o.Metrics)
	if m.isEntry() {
		m.registerGauges()
	}
	return m
}

// Leave announces to the other processes that this one is leaving.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.signalChange()
	m.wake()
}

// Entries returns the live entries except this process.
func (m *Mesh) Entries() []peer.Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// BudgetShares returns the number of entries among which a budget of all entries is divided, or 0
// if it is not known yet.
func (m *Mesh) BudgetShares() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.BudgetShares(clock.Now())
}

func (m *Mesh) presence() peer.Presence {
	p := m.self
	p.Leaving = m.leaving
	if m.table != nil {
		p.Revision, p.Store = m.storeStatus(clock.Now())
	}
	return p
}

// storeStatus returns the revision of the own copy of the store, and what this process's own
// calls to the store show about the store.
func (m *Mesh) storeStatus(now time.Time) (mirror.Revision, peer.StoreStatus) {
	at, revision := m.table.LastStoreRead()
	c := peer.StoreStatus{Known: !at.IsZero(), Failing: m.failing(), UptimeMs: now.Sub(m.startedAt).Milliseconds()}
	if c.Known {
		c.AgeMs = milliseconds(now.Sub(at))
	}
	return revision, c
}

// milliseconds rounds up, so that an age is never understated.
func milliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// stamped returns a load report in which all but the loads is as of now, such as the state and
// the age of the copy of the store, because the report may have been queued for some time.
// Other messages are returned unchanged.
func (m *Mesh) stamped(msg peer.Message) peer.Message {
	loads, ok := msg.(*peer.Loads)
	if !ok {
		return msg
	}
	out := *loads
	out.Revision, out.Store = m.storeStatus(clock.Now())
	if out.Full {
		if m.crashes != nil {
			out.CrashDigest = m.crashes.Digest()
		}
		out.Versions, out.Notices = m.listener.Announced(clock.Now()), m.listener.Notices()
		out.Added.Shortages = m.listener.Shortages(clock.Now())
		if digest, revision := m.table.Digest(); revision == out.Revision {
			out.Digest = digest
		}
	}
	return &out
}

// Run maintains links to other entries and refreshes the members until ctx ends. loads
// returns the requests that this process has in flight at each target; it is nil at agents.
func (m *Mesh) Run(ctx context.Context, loads func() []peer.TargetLoad) {
	reporter := newLoadReporter(m.cfg.Heartbeat)
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := clock.Now()
	for {
		now := clock.Now()
		m.recordRound(now, due)
		m.refresh(ctx, now)
		if loads != nil {
			m.sendLoads(ctx, now, reporter, loads)
		}
		interval := m.cfg.roundInterval(len(m.Entries()), loads != nil)
		due = now.Add(max(interval, m.minRoundGap()))
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-m.membersChanged:
			loop.Sleep(ctx, m.minRoundGap()-clock.Since(now))
		case <-ctx.Done():
			return
		}
	}
}

// recordRound notes how late a round begins.
func (m *Mesh) recordRound(now, due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasLate, by := m.lateness.late(now), now.Sub(due)
	if !m.lateness.record(now, by) {
		return
	}
	m.records.Postpone(by)
	if !wasLate {
		m.log.WithField("ms", by.Milliseconds()).Info("Late: this process gets too little processor time.")
	}
}

// refresh updates the links, the live members and, at entries, the role (see role)
// and the copy of the store.
func (m *Mesh) refresh(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isEntry() {
		m.refreshRecords(now)
	}
	if version := m.members.Version(now); version != m.refreshedVersion {
		m.applyMembers(ctx, now)
	}
	if m.table == nil {
		m.chooseForwarder()
		return
	}
	m.closeUnwanted(now)
	m.gossipRound(now)
	m.table.Confirm(m.members.ConfirmedAt(m.table.Revision()))
	m.updateRole(now, m.refreshedVersion)
	m.endStartHold(now)
	m.catchUpIfBehind(ctx, now)
	m.repair(ctx, now)
}

// applyMembers updates the links and the live members to what is known of the members. The lock
// must be held.
func (m *Mesh) applyMembers(ctx context.Context, now time.Time) {
	if m.isEntry() {
		m.updateOverlay(now)
	}
	live := m.members.Live(now)
	m.refreshedVersion = m.members.Version(now)
	m.updateLinks(ctx, m.wantedLinks(now))
	m.setLive(live)
}

func (m *Mesh) isEntry() bool { return m.self.EngineAddr == "" }

// wantedLinks returns the addresses of the entries that this process links to: for an entry those
// of the overlay, for an agent a few.
func (m *Mesh) wantedLinks(now time.Time) []string {
	if m.isEntry() {
		return m.entryLinks()
	}
	return chooseLinks(m.self, m.members.Candidates(now))
}

// updateLinks opens missing links and closes those that are not wanted any more.
func (m *Mesh) updateLinks(ctx context.Context, addrs []string) {
	wanted := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		wanted[addr] = true
		if m.links[addr] == nil {
			m.links[addr] = m.openLink(ctx, &link{addr: addr, class: peer.Control, report: m.reportFor(addr)})
		}
	}
	for addr, l := range m.links {
		switch {
		case wanted[addr]:
			l.unwantedSince = time.Time{}
		case m.isEntry():
			if l.unwantedSince.IsZero() {
				l.unwantedSince = clock.Now()
			}
		default:
			l.cancel()
			delete(m.links, addr)
			m.members.MarkUnreachable(addr)
		}
	}
}

func (m *Mesh) setLive(live []peer.Presence) {
	if sameAddrs(live, m.live) {
		m.live = live
		return
	}
	lost, found := differingMembers(m.live, live)
	for _, old := range lost {
		m.logMember(old, "Entry lost.", logrus.WarnLevel)
		delete(m.copyDifferences, old.Addr)
		delete(m.crashMismatches, old.Addr)
		m.engines.removeSource(reportSource{forwarder: old.Addr})
		if m.listener != nil {
			m.listener.EntryLost(old.Addr)
		}
	}
	m.live = live
	for _, p := range found {
		m.logMember(p, "Entry found.", logrus.InfoLevel)
		m.applyReports(m.records.ReportsOf(p.Addr))
	}
	if m.large() {
		m.log.WithFields(logrus.Fields{"found": len(found), "lost": len(lost), "entries": len(live)}).Info("Members changed.")
	}
	m.signalChange()
}

// logMember logs a change of one member. In a large fleet, single changes are logged for
// debugging only.
func (m *Mesh) logMember(p peer.Presence, text string, level logrus.Level) {
	if m.large() {
		level = logrus.DebugLevel
	}
	m.log.WithFields(logrus.Fields{"peer": p.Addr, "host": p.Host, "incarnation": p.Incarnation}).Log(level, text)
}

// differingMembers returns the members that are only in the first and only in the second of two
// lists ordered by address.
func differingMembers(a, b []peer.Presence) (onlyA, onlyB []peer.Presence) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Addr < b[0].Addr:
			onlyA, a = append(onlyA, a[0]), a[1:]
		case len(a) == 0 || b[0].Addr < a[0].Addr:
			onlyB, b = append(onlyB, b[0]), b[1:]
		default:
			a, b = a[1:], b[1:]
		}
	}
	return onlyA, onlyB
}

// signalChange wakes goroutines that wait for a change of the members. The lock must be
// held.
func (m *Mesh) signalChange() {
	close(m.liveChanged)
	m.liveChanged = make(chan struct{})
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

// sendLoads queues a load report on all links if one is due or the store state changed.
func (m *Mesh) sendLoads(ctx context.Context, now time.Time, r *loadReporter, loads func() []peer.TargetLoad) {
	storeAt, _ := m.table.LastStoreRead()
	urgent, required := r.urgent(now, storeAt, m.failing()), m.hasDueReports()
	if !urgent && !required && !r.due(now, m.cfg.roundInterval(len(m.Entries()), true)) {
		return
	}
	current := loads()
	r.noteShortages(now, m.listener.Shortages(now))
	msg := r.next(now, current)
	if msg == nil && (urgent || required) {
		msg = &peer.Loads{}
	}
	if msg == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg.Leaving = m.leaving
	if m.large() {
		m.sendAccounts(ctx, now, msg, current, urgent)
		return
	}
	clear(m.reportsDue) // all reports go to all entries
	for _, l := range m.links {
		l.queueLoads(msg)
	}
}

// observe records a message from the entry itself.
func (m *Mesh) observe(p peer.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	m.members.Observe(now, p)
	m.applyUpdate(now, m.records.Introduce(now, p))
	m.wakeIfMembersChanged()
}

// wakeIfMembersChanged makes Run refresh at once if the members have changed since it did. The
// lock must be held.
func (m *Mesh) wakeIfMembersChanged() {
	if m.members.version != m.refreshedVersion {
		m.wake()
	}
}

// wake makes Run refresh at once.
func (m *Mesh) wake() {
	select {
	case m.membersChanged <- struct{}{}:
	default:
	}
}

// addMembers adds the members that another entry reported.
func (m *Mesh) addMembers(msg *peer.Presences) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range msg.Entries {
		m.members.AddFromPeer(p)
	}
	for _, addr := range msg.EntryAddrs {
		m.members.AddAddr(addr)
	}
	m.introduced = m.introduced || len(msg.EntryAddrs) > 0
	m.wakeIfMembersChanged()
}

func (m *Mesh) markUnreachable(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.MarkUnreachable(addr)
	if m.large() {
		m.members.Distrust(clock.Now(), addr)
	}
	m.wakeIfMembersChanged()
}

// Nearest returns up to n live entries from which this process should request key, in order:
// those of the own failure domain by rendezvous hashing, then others. Entries with slow
// links are left out.
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

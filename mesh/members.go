// Package mesh connects the processes of `springgate gateway`, called entries, and the agents,
// each of which runs beside an engine (a model server). Entries discover each other from a few
// configured addresses, the seeds, exchange how many requests they have in flight at each target,
// and receive the state of each engine from the agent beside it. Each entry keeps a copy of the
// store, the key-value store of the configuration and the targets, which it reads from the store
// itself or from another entry (a peer). There is no leader and no shared state; what a process
// has reported is discarded once that process is no longer reachable.
package mesh

import (
	"cmp"
	"github.com/springgate/springgate/revision"
	"maps"
	"slices"
	"time"

	"github.com/springgate/springgate/peer"
)

// Config holds the intervals and timeouts of a Mesh.
type Config struct {
	// Interval is the time between two rounds of load reports; one is sent only if the
	// load changed. Between two reports an entry does not see what other entries send
	// to an engine: at 12 requests/s the engine gets 0.6 requests in 50 ms. Default 15 ms.
	Interval time.Duration
	// IntervalPerEntry, times the number of live entries, is a lower bound of the
	// interval, so that an entry does not send more messages in larger fleets. The reports
	// are older then; the home entry of a target, which grants places at it (see
	// Reserver), makes up for that. Default 1.5 ms: 15 ms at 10 entries, 0.6 s at 390.
	IntervalPerEntry time.Duration
	// Heartbeat is the maximum time between two messages. Default 500 ms.
	Heartbeat time.Duration
	// ExpireAfter is how long an entry counts as live after its last message. Default
	// 1.6 s, three heartbeats.
	ExpireAfter time.Duration
	// CatchUpAfter is how long the own copy of the store may be behind a peer's before
	// the changes are read from that peer. While the store is reachable, a watch of it
	// delivers them sooner. Default 300 ms.
	CatchUpAfter time.Duration
	// StaleAfter is the time since the own copy was last confirmed to agree with the
	// store, above which changes are read from a peer without waiting for CatchUpAfter.
	// Watches of the store confirm the copy every 1 s, or after up to 1.2 s in a burst
	// of changes, because watches start at least 200 ms apart. Default 1.2 s.
	StaleAfter time.Duration
	// RetryAfter is the pause before a broken link is opened again; while the entry is
	// unreachable, the pause doubles with every other attempt, up to MaxRetryAfter. When all
	// processes start together, agents are up some 100 ms before the entries. Defaults
	// 50 ms and 400 ms.
	RetryAfter, MaxRetryAfter time.Duration
	// FirstDialTimeout bounds the first attempts to dial an entry; the timeout doubles in the same
	// way, up to DialTimeout. A SYN to a host without power is lost and retransmitted
	// after 1 s, so a new attempt succeeds sooner. Defaults 60 ms, ten times the longest
	// round trip, and 250 ms, for saturated links. If the entries are powered on up to
	// 0.4 s after an agent, the agent is linked 0.1 s after they are up; with a timeout of
	// 250 ms from the first attempt on, that took 0.3 s.
	FirstDialTimeout, DialTimeout time.Duration
}

func (c Config) applyDefaults() Config {
	c.Interval = cmp.Or(c.Interval, 15*time.Millisecond)
	c.IntervalPerEntry = cmp.Or(c.IntervalPerEntry, 1500*time.Microsecond)
	c.Heartbeat = cmp.Or(c.Heartbeat, 500*time.Millisecond)
	c.ExpireAfter = cmp.Or(c.ExpireAfter, 1600*time.Millisecond)
	c.CatchUpAfter = cmp.Or(c.CatchUpAfter, 300*time.Millisecond)
	c.StaleAfter = cmp.Or(c.StaleAfter, 1200*time.Millisecond)
	c.RetryAfter = cmp.Or(c.RetryAfter, 50*time.Millisecond)
	c.FirstDialTimeout = cmp.Or(c.FirstDialTimeout, 60*time.Millisecond)
	c.DialTimeout = cmp.Or(c.DialTimeout, 250*time.Millisecond)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, 400*time.Millisecond)
	return c
}

// dialAttempt returns the timeout of the n-th consecutive attempt to dial an entry, and the
// pause after it if it fails.
func (c Config) dialAttempt(n int) (timeout, pause time.Duration) {
	doublings := min(n/2, 16) // avoids overflow; the bounds are reached earlier
	return min(c.FirstDialTimeout<<doublings, c.DialTimeout), min(c.RetryAfter<<doublings, c.MaxRetryAfter)
}

// loadInterval returns the minimum time between two load reports to that many entries.
func (c Config) loadInterval(entries int) time.Duration {
	return max(c.Interval, time.Duration(entries)*c.IntervalPerEntry)
}

// maxRoundInterval is the longest time between two rounds of Mesh.Run. In each, a suspension of
// the machine is noticed (see package clock), and members that sent nothing expire.
const maxRoundInterval = 100 * time.Millisecond

// roundInterval returns the time between two rounds of Mesh.Run while the members do not change:
// at entries that of the load reports, at agents, which send none, the longest.
func (c Config) roundInterval(entries int, reports bool) time.Duration {
	if !reports {
		return maxRoundInterval
	}
	return min(c.loadInterval(entries), maxRoundInterval)
}

// member is an entry that sent a message, or that another entry reported.
type member struct {
	peer.Presence
	receivedAt time.Time // zero if only reported by others
	// storeSeenAt is when the entry's own calls last showed that the store had nothing
	// beyond its Revision; zero if they never did.
	storeSeenAt time.Time
	clock       peerClock

	// vouched is true if other entries count the entry as live (see package gossip). That does
	// not hold here before distrustedUntil: this process could not reach the entry.
	vouched         bool
	distrustedUntil time.Time
	lastLiveAt      time.Time // last message or last time vouched for; zero for never
}

// clockWindow is how long a reading of a peer's clock is used to bound the transit time of
// its reports. It is longer than a network cut or a process pause lasts, and short enough
// that clocks 500 ppm apart, the maximum slew rate, drift by only 30 ms in two windows.
const clockWindow = 30 * time.Second

// peerClock maps values of a peer's clock to local time, using the report with the shortest
// transit time in the last one to two windows; the zero value has no readings. The transit
// time of that report is not measured and remains as an error. It performs no I/O and reads
// no clock.
type peerClock struct {
	windowStart       time.Time // start of the current window
	prevZero, minZero time.Time // earliest estimate, in the previous and the current window, of the local time at which the peer's clock was zero
}

// observe returns the clock updated with a reading of the peer's clock that arrived at now.
func (c peerClock) observe(now time.Time, reading time.Duration) peerClock {
	zero := now.Add(-reading)
	if c.windowStart.IsZero() {
		return peerClock{windowStart: now, prevZero: zero, minZero: zero}
	}
	if now.Sub(c.windowStart) >= clockWindow {
		return peerClock{windowStart: now, prevZero: c.minZero, minZero: zero}
	}
	c.minZero = earlier(c.minZero, zero)
	return c
}

// at returns when the peer's clock was at value, or a slightly later time.
func (c peerClock) at(value time.Duration) time.Time {
	return earlier(c.prevZero, c.minZero).Add(value)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Members is the set of entries that a process knows. It performs no I/O and reads no clock.
type Members struct {
	self        string // own address; never a member
	expireAfter time.Duration
	byAddr      map[string]*member
	// version is raised by each change of the set, of which members are live, or of what a
	// member reports about itself, other than its copy of the store.
	version uint64
	live    liveList
	addrs   []string // all addresses, in order; nil if they must be listed again
}

// liveList is a list of the live members that is kept until it may have changed.
type liveList struct {
	version            uint64 // of the Members when it was made
	madeAt, validUntil time.Time
	list               []peer.Presence
}

func (l liveList) valid(version uint64, now time.Time) bool {
	return l.version == version && !now.Before(l.madeAt) && !now.After(l.validUntil)
}

// NewMembers returns a set in which only the addresses of the seeds are known.
func NewMembers(self string, seeds []string, expireAfter time.Duration) *Members {
	m := &Members{self: self, expireAfter: expireAfter, byAddr: map[string]*member{}}
	for _, s := range seeds {
		m.AddAddr(s)
	}
	return m
}

// AddAddr adds an address that may belong to an entry.
func (m *Members) AddAddr(addr string) { m.AddFromPeer(peer.Presence{Addr: addr}) }

// AddFromPeer adds an entry as reported by another one. What the entry has reported about
// itself takes precedence.
func (m *Members) AddFromPeer(p peer.Presence) {
	if p.Addr == "" || p.Addr == m.self {
		return
	}
	if old := m.byAddr[p.Addr]; old != nil && (old.Domain != "" || p.Domain == "") {
		return
	}
	m.byAddr[p.Addr] = &member{Presence: p}
	m.addrs = nil
	m.version++
}

// Observe records a message from the entry itself. It reports whether the entry was not live
// before. Messages of an earlier incarnation are ignored while the later one is live; after
// that they are accepted, because a process that starts after its host's clock was set back
// has a lower incarnation.
func (m *Members) Observe(now time.Time, p peer.Presence) bool {
	if p.Addr == "" || p.Addr == m.self {
		return false
	}
	old := m.byAddr[p.Addr]
	if old != nil && old.Incarnation > p.Incarnation && m.isLive(now, old) {
		return false
	}
	isNew := old == nil || !m.isLive(now, old) || old.Incarnation != p.Incarnation
	x := &member{Presence: p, receivedAt: now, lastLiveAt: now}
	if old != nil && old.Incarnation == p.Incarnation {
		x.clock, x.vouched, x.distrustedUntil = old.clock, old.vouched, old.distrustedUntil
	}
	x.clock = x.clock.observe(now, fromMilliseconds(p.Store.UptimeMs))
	if p.Store.Known {
		x.storeSeenAt = x.clock.at(fromMilliseconds(p.Store.UptimeMs - p.Store.AgeMs))
	}
	m.byAddr[p.Addr] = x
	if old == nil {
		m.addrs = nil
	}
	if isNew || withoutCopy(old.Presence) != withoutCopy(p) {
		m.version++
	}
	return isNew && !p.Leaving
}

// withoutCopy returns what an entry reports about itself without the state of its copy of the
// store, which changes with each report.
func withoutCopy(p peer.Presence) peer.Presence {
	p.Revision, p.Store = 0, peer.StoreStatus{Failing: p.Store.Failing}
	return p
}

func fromMilliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// MarkUnreachable records that an entry cannot be reached.
func (m *Members) MarkUnreachable(addr string) {
	if old := m.byAddr[addr]; old != nil {
		if !old.receivedAt.IsZero() {
			m.version++
		}
		old.receivedAt = time.Time{}
	}
}

// Vouch records whether other entries count an entry as live, and what it reported to them.
func (m *Members) Vouch(now time.Time, p peer.Presence, live bool) {
	old := m.byAddr[p.Addr]
	if p.Addr == m.self || old == nil && !live {
		return
	}
	before, x := member{}, &member{Presence: p, vouched: live}
	if old != nil {
		before = *old
	}
	if old != nil && (old.Incarnation == p.Incarnation || m.heardRecently(now, old)) {
		x = old
		if !m.heardRecently(now, old) {
			x.Host, x.Domain, x.LinkMbps, x.Leaving, x.Store.Failing = p.Host, p.Domain, p.LinkMbps, p.Leaving, p.Store.Failing
		}
		x.vouched = live
	}
	if live {
		x.lastLiveAt = now
	}
	m.byAddr[p.Addr] = x
	if old == nil {
		m.addrs = nil
	}
	if before.vouched != x.vouched || withoutCopy(before.Presence) != withoutCopy(x.Presence) {
		m.version++
	}
}

// distrustFor is how long an entry that this process could not reach does not count as live here
// although others vouch for it.
const distrustFor = 2 * time.Second

// Distrust records that this process could not reach an entry.
func (m *Members) Distrust(now time.Time, addr string) {
	if x := m.byAddr[addr]; x != nil {
		x.distrustedUntil = now.Add(distrustFor)
		m.version++
	}
}

// heardRecently reports whether the entry itself has sent something within expireAfter.
func (m *Members) heardRecently(now time.Time, x *member) bool {
	return !x.receivedAt.IsZero() && now.Sub(x.receivedAt) <= m.expireAfter
}

// Silent reports whether an entry that has sent something before has sent nothing for expireAfter.
func (m *Members) Silent(now time.Time, addr string) bool {
	x := m.byAddr[addr]
	return x != nil && !x.receivedAt.IsZero() && !m.heardRecently(now, x)
}

func (m *Members) isLive(now time.Time, x *member) bool {
	return !x.Leaving && (m.heardRecently(now, x) || x.vouched && !now.Before(x.distrustedUntil))
}

// mayChangeAt returns until when the result of isLive stays the same unless something is recorded.
func (m *Members) mayChangeAt(now time.Time, x *member) time.Time {
	at := now.Add(m.expireAfter)
	if m.heardRecently(now, x) {
		at = earlier(at, x.receivedAt.Add(m.expireAfter))
	}
	if x.vouched && now.Before(x.distrustedUntil) {
		at = earlier(at, x.distrustedUntil.Add(-1))
	}
	return at
}

// sizeMemory is how long an entry counts in Size after it was last live.
const sizeMemory = time.Minute

// Size returns the size of the fleet, including this process: members that are live, were live
// lately, or are known by address only.
func (m *Members) Size(now time.Time) int {
	n := 1
	for _, x := range m.byAddr {
		if x.lastLiveAt.IsZero() || now.Sub(x.lastLiveAt) < sizeMemory || m.isLive(now, x) {
			n++
		}
	}
	return n
}

// budgetMemory is how long a silent entry keeps its share of a budget: it may be cut off from this
// process and serve. It is longer than network partitions last.
const budgetMemory = time.Hour

// BudgetShares returns the number of entries among which a budget of all entries is divided,
// including this process. It does not fall when entries can no longer be reached, since those may
// go on to serve. It is 0 if it is not known: other entries exist, and none has been heard yet.
func (m *Members) BudgetShares(now time.Time) int {
	n, heard := 1, len(m.byAddr) == 0
	for _, x := range m.byAddr {
		heard = heard || !x.lastLiveAt.IsZero()
		if x.keepsBudgetShare(now) {
			n++
		}
	}
	if !heard {
		return 0
	}
	return n
}

// keepsBudgetShare reports whether an entry may still serve. One that has announced that it leaves
// is gone by the time that Size forgets it.
func (x *member) keepsBudgetShare(now time.Time) bool {
	memory := budgetMemory
	if x.Leaving {
		memory = sizeMemory
	}
	return x.lastLiveAt.IsZero() || now.Sub(x.lastLiveAt) < memory
}

// Live returns the live entries, ordered by address. The states of their copies may be older
// than the latest reports. The caller must not modify the list.
func (m *Members) Live(now time.Time) []peer.Presence {
	if m.live.valid(m.version, now) {
		return m.live.list
	}
	next := liveList{madeAt: now, validUntil: now.Add(m.expireAfter), list: make([]peer.Presence, 0, len(m.live.list)+1)}
	for _, x := range m.byAddr {
		if m.isLive(now, x) {
			next.list = append(next.list, x.Presence)
		}
		next.validUntil = earlier(next.validUntil, m.mayChangeAt(now, x))
	}
	slices.SortFunc(next.list, func(a, b peer.Presence) int { return cmp.Compare(a.Addr, b.Addr) })
	next.list = slices.Clip(next.list)
	if !sameAddrs(next.list, m.live.list) {
		m.version++
	}
	next.version = m.version
	m.live = next
	return next.list
}

// Reports returns what the live entries last reported about themselves, ordered by address.
func (m *Members) Reports(now time.Time) []peer.Presence {
	var out []peer.Presence
	for _, addr := range m.Addrs() {
		if x := m.byAddr[addr]; m.isLive(now, x) {
			out = append(out, x.Presence)
		}
	}
	return out
}

// Version returns a number that is raised whenever members, or which of them are live, change.
func (m *Members) Version(now time.Time) uint64 {
	m.Live(now) // notices members that expired
	return m.version
}

// Addrs returns all addresses that may belong to entries, in order. The caller must not modify
// the list.
func (m *Members) Addrs() []string {
	if m.addrs == nil {
		m.addrs = slices.Sorted(maps.Keys(m.byAddr))
	}
	return m.addrs
}

// Candidates returns all known entries, ordered by address.
func (m *Members) Candidates(now time.Time) []candidate {
	var out []candidate
	for _, addr := range m.Addrs() {
		x := m.byAddr[addr]
		out = append(out, candidate{&x.Presence, m.isLive(now, x)})
	}
	return out
}

// MostAdvanced returns the live entry whose copy of the store has the highest revision
// beyond revision, preferring entries in domain among equals; ok is false if there is none.
func (m *Members) MostAdvanced(now time.Time, revision revision.Revision, domain string) (addr string, ok bool) {
	near := false
	for _, x := range m.byAddr {
		if x.Revision < revision || !ok && x.Revision == revision || !m.isLive(now, x) {
			continue
		}
		xNear := x.Domain == domain
		if x.Revision > revision || xNear && !near || xNear == near && x.Addr < addr {
			addr, revision, ok, near = x.Addr, x.Revision, true, xNear
		}
	}
	return addr, ok
}

// ConfirmedAt returns when an entry last saw by its own calls that the store had nothing
// beyond revision, or zero. Confirmations that entries received from others do not count: if
// they were passed around a cycle of entries, the error of the transit time would make them
// seem younger after each round. Nor does what was seen in an earlier era of the store.
func (m *Members) ConfirmedAt(revision revision.Revision) (at time.Time) {
	for _, x := range m.byAddr {
		if x.Revision <= revision && x.Revision.Era() == revision.Era() && x.storeSeenAt.After(at) {
			at = x.storeSeenAt
		}
	}
	return at
}

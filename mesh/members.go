// Package mesh connects the processes of `springgate gateway` and its agents: entries find each other
// from a few seeds, tell each other what they have in flight, and hear from the
// agents what the engines beside them serve. There is no leader and no shared
// state; what a process says is forgotten when it is not heard any more.
package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/springgate/springgate/peer"
)

// Config holds the times of a Mesh.
type Config struct {
	// Interval is the time between two rounds of load messages; one is sent
	// only if the load changed. At 12 requests/s an engine gets 0.6 requests
	// in 50 ms, and what other entries sent meanwhile is not seen. Default 15 ms.
	Interval time.Duration
	// IntervalPerEntry is the least interval for each live entry, so that the
	// messages of one entry do not grow with their number; homes make up for
	// older accounts. Default 1.5 ms: 15 ms at 10 entries, 0.6 s at 390.
	IntervalPerEntry time.Duration
	// Heartbeat is the longest time without a message. Default 500 ms.
	Heartbeat time.Duration
	// ExpireAfter is how long an entry that is not heard counts as live.
	// Default 1.6 s, three heartbeats.
	ExpireAfter time.Duration
	// BehindAfter is how long the own copy of the store may be behind a
	// peer's before it is read from there. A watch at the store is quicker
	// unless it is cut. Default 300 ms.
	BehindAfter time.Duration
	// UnconfirmedAfter is the age of the own copy from which on BehindAfter is
	// not waited for: a watch at the store ends each 1 s, and 1.2 s after the
	// last one in a burst. Default 1.2 s.
	UnconfirmedAfter time.Duration
	// RetryAfter is the pause before a link that broke is opened again; it
	// doubles with every other attempt up to MaxRetryAfter while the entry cannot be
	// reached. When all processes start at once, agents are up some 100 ms before the
	// entries. Defaults 50 ms and 400 ms.
	RetryAfter, MaxRetryAfter time.Duration
	// FirstDialTimeout bounds the first attempts to reach an entry, and doubles
	// likewise up to DialTimeout. The opening packet to a host without power is lost
	// and sent again after 1 s; a new attempt comes sooner. Defaults 60 ms, ten times
	// the longest way there and back, and 250 ms, for links that are full. After a
	// loss of power that ends up to 0.4 s later at the entries than at an agent, it
	// is linked 0.1 s after they are back, where 250 ms from the start made it 0.3 s.
	FirstDialTimeout, DialTimeout time.Duration
}

func (c Config) applyDefaults() Config {
	c.Interval = cmp.Or(c.Interval, 15*time.Millisecond)
	c.IntervalPerEntry = cmp.Or(c.IntervalPerEntry, 1500*time.Microsecond)
	c.Heartbeat = cmp.Or(c.Heartbeat, 500*time.Millisecond)
	c.ExpireAfter = cmp.Or(c.ExpireAfter, 1600*time.Millisecond)
	c.BehindAfter = cmp.Or(c.BehindAfter, 300*time.Millisecond)
	c.UnconfirmedAfter = cmp.Or(c.UnconfirmedAfter, 1200*time.Millisecond)
	c.RetryAfter = cmp.Or(c.RetryAfter, 50*time.Millisecond)
	c.FirstDialTimeout = cmp.Or(c.FirstDialTimeout, 60*time.Millisecond)
	c.DialTimeout = cmp.Or(c.DialTimeout, 250*time.Millisecond)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, 400*time.Millisecond)
	return c
}

// attempt returns how long the n-th attempt in a row to reach an entry may take, and
// the pause after it if it fails.
func (c Config) attempt(n int) (timeout, pause time.Duration) {
	doubled := min(n/2, 16) // far beyond the bounds
	return min(c.FirstDialTimeout<<doubled, c.DialTimeout), min(c.RetryAfter<<doubled, c.MaxRetryAfter)
}

// accountInterval is the least time between two accounts to so many entries.
func (c Config) accountInterval(entries int) time.Duration {
	return max(c.Interval, time.Duration(entries)*c.IntervalPerEntry)
}

// member is an entry that was heard, or of which another one told.
type member struct {
	peer.Presence
	heardAt time.Time // zero if only told of
	// storeAt is when it saw by its own call that the store had nothing beyond
	// its Revision; zero if it has not.
	storeAt time.Time
	clock   peerClock
}

// clockWindow is how long a reading of a peer's clock bounds the way of its
// accounts: longer than a link is cut or a process stands still, and so short
// that clocks 500 ppm apart, the most that one is slewed by, differ by 30 ms in two
// of them.
const clockWindow = 30 * time.Second

// peerClock tells when a peer's clock was at a value, by the quickest of the accounts
// of the last one to two windows; it has no readings when it is new. The time that
// the quickest took is not seen. It is pure.
type peerClock struct {
	since       time.Time // begin of the window
	last, least time.Time // earliest zero of the peer's clock in the window before and in this
}

// heard returns the clock after a reading.
func (c peerClock) heard(now time.Time, reading time.Duration) peerClock {
	zero := now.Add(-reading)
	if c.since.IsZero() {
		return peerClock{since: now, last: zero, least: zero}
	}
	if now.Sub(c.since) >= clockWindow {
		return peerClock{since: now, last: c.least, least: zero}
	}
	c.least = earlier(c.least, zero)
	return c
}

// at returns when the clock was at a value, or somewhat later.
func (c peerClock) at(value time.Duration) time.Time { return earlier(c.last, c.least).Add(value) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Members is the set of entries that one process knows. It is pure.
type Members struct {
	self        string // address; never a member
	expireAfter time.Duration
	byAddr      map[string]*member
}

// NewMembers returns a set that knows the seeds by address only.
func NewMembers(self string, seeds []string, expireAfter time.Duration) *Members {
	m := &Members{self: self, expireAfter: expireAfter, byAddr: map[string]*member{}}
	for _, s := range seeds {
		m.Told(s)
	}
	return m
}

// Told adds an address that may be an entry's.
func (m *Members) Told(addr string) { m.ToldOf(peer.Presence{Addr: addr}) }

// ToldOf adds an entry of which another one told. What an entry says of itself goes
// before that.
func (m *Members) ToldOf(p peer.Presence) {
	if p.Addr == "" || p.Addr == m.self {
		return
	}
	if old := m.byAddr[p.Addr]; old != nil && (old.Domain != "" || p.Domain == "") {
		return
	}
	m.byAddr[p.Addr] = &member{Presence: p}
}

// Heard takes what an entry says of itself. It reports whether the entry was
// not live before. Words of an earlier incarnation are ignored while the later one
// is live; after that they are of a process that was started when its host's clock
// had been set back.
func (m *Members) Heard(now time.Time, p peer.Presence) bool {
	if p.Addr == "" || p.Addr == m.self {
		return false
	}
	old := m.byAddr[p.Addr]
	if old != nil && old.Incarnation > p.Incarnation && m.live(now, old) {
		return false
	}
	isNew := old == nil || !m.live(now, old) || old.Incarnation != p.Incarnation
	x := &member{Presence: p, heardAt: now}
	if old != nil && old.Incarnation == p.Incarnation {
		x.clock = old.clock
	}
	x.clock = x.clock.heard(now, fromMilliseconds(p.Store.UptimeMs))
	if p.Store.Known {
		x.storeAt = x.clock.at(fromMilliseconds(p.Store.UptimeMs - p.Store.AgeMs))
	}
	m.byAddr[p.Addr] = x
	return isNew && !p.Leaving
}

func fromMilliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Lost notes that an entry cannot be reached.
func (m *Members) Lost(addr string) {
	if old := m.byAddr[addr]; old != nil {
		old.heardAt = time.Time{}
	}
}

func (m *Members) live(now time.Time, x *member) bool {
	return !x.heardAt.IsZero() && now.Sub(x.heardAt) <= m.expireAfter && !x.Leaving
}

// Live returns the entries heard lately, ordered by address.
func (m *Members) Live(now time.Time) []peer.Presence {
	var out []peer.Presence
	for _, x := range m.byAddr {
		if m.live(now, x) {
			out = append(out, x.Presence)
		}
	}
	slices.SortFunc(out, func(a, b peer.Presence) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// Addrs returns all addresses that may be entries, in order.
func (m *Members) Addrs() []string {
	out := make([]string, 0, len(m.byAddr))
	for a := range m.byAddr {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// Candidates returns all entries that are known of, in order of their addresses.
func (m *Members) Candidates(now time.Time) []candidate {
	var out []candidate
	for _, addr := range m.Addrs() {
		x := m.byAddr[addr]
		out = append(out, candidate{x.Presence, m.live(now, x)})
	}
	return out
}

// Ahead returns the live entry whose copy of the store reaches furthest beyond
// revision, of a failure domain if one of those is as far, or false.
func (m *Members) Ahead(now time.Time, revision int64, domain string) (addr string, ok bool) {
	near := false
	for _, x := range m.Live(now) {
		if x.Revision > revision || ok && x.Revision == revision && !near && x.Domain == domain {
			addr, revision, ok, near = x.Addr, x.Revision, true, x.Domain == domain
		}
	}
	return addr, ok
}

// Confirmed returns when an entry last saw that the store had nothing beyond
// revision; zero if none tells so. What entries heard from others does not
// count: in a circle, the time on the way would make it newer with each round.
func (m *Members) Confirmed(revision int64) (at time.Time) {
	for _, x := range m.byAddr {
		if x.Revision <= revision && x.storeAt.After(at) {
			at = x.storeAt
		}
	}
	return at
}

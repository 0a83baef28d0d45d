package mesh

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// readerCount is how many entries watch the store itself; the others follow them. With
// three, most failure domains have a reader.
const readerCount = 3

// readerKey is the rendezvous hashing key for choosing the readers.
const readerKey = "store readers"

// domainRelayKey is the rendezvous hashing key for choosing the domain relay: the entry that
// follows a reader on behalf of its failure domain.
const domainRelayKey = "store of a failure domain"

// Entries whose copies are old read the store in three groups, so that the reads of the first
// group confirm the copies of the others. Entries are ranked by rendezvous hashing of readerKey.
// Ranks below firstGroupRanks, the readers and as many again, read at once; those below
// secondGroupRanks read after groupReadDelay, in case the first group is cut off from the store,
// and so do the relays of a large fleet, which others follow; the rest after twice that time. An answer of the store and the load report about it take some
// 10 ms.
const (
	firstGroupRanks  = 2 * readerCount
	secondGroupRanks = 8 * readerCount
	groupReadDelay   = 150 * time.Millisecond
)

// sourceLogInterval is the minimum time between two records at level info about a changed
// source; further ones are logged at level debug.
const sourceLogInterval = time.Second

// role is an entry's part in reading the store.
type role struct {
	follows    string        // address of the entry that it follows; empty for the store itself
	readDelay  time.Duration // additional delay before it reads the store because its copy is old
	backup     bool          // enough other entries probe the store during an outage
	reason     string        // basis of the choice, for logs
	candidates []readerCandidate
}

// roleBasis identifies the state from which a role was chosen.
type roleBasis struct {
	members uint64 // version of the members
	failing bool   // own calls to the store fail
}

// readerCandidate is an entry that may become a reader.
type readerCandidate struct {
	addr     string
	domain   string
	linkMbps float64
	failing  bool
}

func readerCandidateOf(p peer.Presence, failing bool) readerCandidate {
	return readerCandidate{p.Addr, p.Domain, p.LinkMbps, failing}
}

// NewFollower returns a follower, not running, that keeps this entry's copy of the store up
// to date, from the store or from other entries. It must be called once, before Run.
func (m *Mesh) NewFollower(cfg mirror.Config, store mirror.Source, log logrus.FieldLogger) *mirror.Follower {
	m.store = mirror.NewMonitoredStore(store, log)
	m.startHeld, m.holdEndedAt = len(m.otherSeeds()) > 0, clock.Now()
	return mirror.NewFollower(mirror.Options{Config: cfg, Table: m.table, Store: m.store, Route: m, Log: log,
		Stats: mirror.NewStats(m.metrics)})
}

// failing reports whether this process's calls to the store fail.
func (m *Mesh) failing() bool { return m.store != nil && m.store.Failing() }

// Source implements mirror.Route: readers follow the store, other entries follow a reader
// or the relay of their failure domain.
func (m *Mesh) Source() (mirror.Source, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startHeld {
		return undecided{}, m.sourceChanged
	}
	if m.racesFirstCopy() {
		return &firstCopySource{m}, nil // which sources it asks follows the members
	}
	if m.role.follows == "" {
		return nil, m.sourceChanged
	}
	return &peerSource{mesh: m, addr: m.role.follows}, m.sourceChanged
}

// StoreReadDelay implements mirror.Route.
func (m *Mesh) StoreReadDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role.readDelay
}

// Backup implements mirror.Route.
func (m *Mesh) Backup() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role.backup
}

// updateRole chooses this entry's role from the state of all live entries, if that has changed;
// version is that of the members.
func (m *Mesh) updateRole(now time.Time, version uint64) {
	basis := roleBasis{version, m.failing()}
	if basis == m.roleBasis {
		return
	}
	m.roleBasis = basis
	candidates := append(make([]readerCandidate, 0, len(m.live)+1), readerCandidateOf(m.self, m.failing()))
	for _, p := range m.live {
		candidates = append(candidates, readerCandidateOf(p, p.Store.Failing))
	}
	if slices.Equal(candidates, m.role.candidates) {
		return
	}
	old := m.role
	m.role = chooseRole(m.self, candidates, m.storeRelays())
	if old.follows == m.role.follows {
		return
	}
	m.signalSourceChanged()
	m.sourceChanges.Inc(1)
	m.logSourceChange(now, old)
}

// signalSourceChanged ends calls to the former source. The lock must be held.
func (m *Mesh) signalSourceChanged() {
	close(m.sourceChanged)
	m.sourceChanged = make(chan struct{})
}

func (m *Mesh) logSourceChange(now time.Time, old role) {
	level := logrus.InfoLevel
	if now.Sub(m.sourceLoggedAt) < sourceLogInterval {
		level = logrus.DebugLevel
	} else {
		m.sourceLoggedAt = now
	}
	m.log.WithFields(logrus.Fields{"from": sourceName(old.follows), "source": sourceName(m.role.follows), "reason": m.role.reason,
		"entries": len(m.role.candidates)}).Log(level, "Source of the store copy changed.")
}

func sourceName(addr string) string {
	if addr == "" {
		return "store"
	}
	return addr
}

// storeRelays returns the entries of the own failure domain that pass the copy of the store on to
// the others there, or nil if those follow one entry.
func (m *Mesh) storeRelays() []string {
	if !m.large() {
		return nil
	}
	return m.overlay.Relays(m.self.Domain)
}

// chooseRole returns the role of self, the first of candidates; relays are those of storeRelays.
// Readers are chosen among the entries that reach the store: a reader that does not reach it would still answer its followers,
// and so keep them from the changes that other readers receive. Entries with the same view of the
// candidates make the same choice.
func chooseRole(self peer.Presence, candidates []readerCandidate, relays []string) role {
	all := readerCandidateAddrs(candidates, func(readerCandidate) bool { return true })
	reaching := readerCandidateAddrs(candidates, func(c readerCandidate) bool { return !c.failing })
	r := role{candidates: candidates, reason: "entries that reach the store"}
	noneReaches := len(reaching) == 0
	if noneReaches {
		reaching, r.reason = all, "no entry reaches the store"
	} else if candidates[0].failing {
		r.reason = "own calls to the store fail"
	}
	ranked := membership.Rank(readerKey, reaching, secondGroupRanks)
	readers := ranked[:min(readerCount, len(ranked))]
	if !slices.Contains(readers, self.Addr) {
		r.follows = chooseSource(self, candidates, readers, relays)
	}
	switch rank := slices.Index(ranked, self.Addr); {
	case rank >= firstGroupRanks, rank < 0 && slices.Contains(relays, self.Addr):
		r.readDelay = groupReadDelay
	case rank < 0:
		r.readDelay, r.backup = 2*groupReadDelay, noneReaches
	}
	return r
}

func readerCandidateAddrs(candidates []readerCandidate, want func(readerCandidate) bool) []string {
	var out []string
	for _, c := range candidates {
		if want(c) {
			out = append(out, c.addr)
		}
	}
	return out
}

// chooseSource returns the entry that a non-reader follows: a reader of its failure domain
// or, if there is none, the domain relay, so that the store's data crosses to the domain
// only once. A configuration of 1,400 routes has about 300 kB, and a link between failure
// domains carries 3.4 MB/s in total. In a large fleet only relays follow these, and the other
// entries follow a relay, so that none has more followers than the square root of the domain's
// entries, about.
func chooseSource(self peer.Presence, candidates []readerCandidate, readers, relays []string) string {
	inDomain := func(c readerCandidate) bool { return c.domain == self.Domain }
	if !slices.Contains(relays, self.Addr) {
		usable := readerCandidateAddrs(candidates, func(c readerCandidate) bool { return !c.failing && slices.Contains(relays, c.addr) })
		if len(usable) > 0 {
			return membership.First(self.Host, usable)
		}
	}
	near := readerCandidateAddrs(candidates, func(c readerCandidate) bool { return inDomain(c) && slices.Contains(readers, c.addr) })
	if len(near) > 0 {
		return membership.First(self.Host, near)
	}
	if relay := chooseDomainRelay(candidates, inDomain); relay != "" && relay != self.Addr {
		return relay
	}
	return membership.First(self.Host, readers)
}

// chooseDomainRelay returns the entry that follows a reader on behalf of its failure domain.
// It has a fast link and reaches the store, which shows that its links are up.
func chooseDomainRelay(candidates []readerCandidate, inDomain func(readerCandidate) bool) string {
	fastest := 0.0
	for _, c := range candidates {
		if inDomain(c) && !c.failing {
			fastest = max(fastest, c.linkMbps)
		}
	}
	return membership.First(domainRelayKey, readerCandidateAddrs(candidates, func(c readerCandidate) bool {
		return inDomain(c) && !c.failing && c.linkMbps >= peer.FastLinkRatio*fastest
	}))
}

package mesh

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// readerCount is how many entries watch the store itself; the others follow
// these. Three stand in most failure domains.
const readerCount = 3

// readerKey is what the readers are chosen by.
const readerKey = "store readers"

// headKey is what the entry is chosen by that follows a reader for a failure domain.
const headKey = "store of a failure domain"

// Entries whose copies have grown old read the store in three groups, so that
// the reads of the first confirm the copies of the rest: ranksFirst are the
// readers and as many again, ranksNext a few more, for the case that the first
// are cut off. An answer and its account take some 10 ms.
const (
	ranksFirst   = 2 * readerCount
	ranksNext    = 8 * readerCount
	patienceStep = 150 * time.Millisecond
)

// moveLogEvery is the least time between two lines about the source at level
// info; the others are at level debug.
const moveLogEvery = time.Second

// role is an entry's part in reading the store.
type role struct {
	follows  string        // address of the reader that it follows; empty for the store itself
	patience time.Duration // before it reads the store because its copy is old
	backup   bool          // others find out that the store answers again
	why      string        // what it was chosen from
	from     []voter
}

// voter is an entry that may be a reader.
type voter struct {
	addr     string
	domain   string
	linkMbps float64
	failing  bool
}

func voterOf(p peer.Presence, failing bool) voter {
	return voter{p.Addr, p.Domain, p.LinkMbps, failing}
}

// Follow returns the follower, not running, that keeps this entry's copy of the
// store up to date, from the store or from other entries. It is called once,
// before Run.
func (m *Mesh) Follow(cfg mirror.Config, store mirror.Source, log logrus.FieldLogger) *mirror.Follower {
	m.store = mirror.NewContact(store, log)
	return mirror.NewFollower(mirror.Options{Config: cfg, Table: m.table, Store: m.store, Route: m, Log: log,
		Stats: mirror.NewStats(m.metrics)})
}

// failing reports whether the own calls to the store fail.
func (m *Mesh) failing() bool { return m.store != nil && m.store.Failing() }

// Source implements mirror.Route: readers follow the store, others a reader.
func (m *Mesh) Source() (mirror.Source, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role.follows == "" {
		return nil, m.moved
	}
	return &peerSource{mesh: m, addr: m.role.follows}, m.moved
}

// Patience implements mirror.Route.
func (m *Mesh) Patience() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role.patience
}

// Backup implements mirror.Route.
func (m *Mesh) Backup() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role.backup
}

// choose finds this entry's role from what it knows of the others.
func (m *Mesh) choose(now time.Time) {
	from := []voter{voterOf(m.self, m.failing())}
	for _, p := range m.live {
		from = append(from, voterOf(p, p.Store.Failing))
	}
	if slices.Equal(from, m.role.from) {
		return
	}
	old := m.role
	m.role = chooseRole(m.self, from)
	if old.follows == m.role.follows {
		return
	}
	close(m.moved)
	m.moved = make(chan struct{})
	m.moves.Inc(1)
	m.logMove(now, old)
}

func (m *Mesh) logMove(now time.Time, old role) {
	level := logrus.InfoLevel
	if now.Sub(m.movedAt) < moveLogEvery {
		level = logrus.DebugLevel
	} else {
		m.movedAt = now
	}
	m.log.WithFields(logrus.Fields{"from": sourceName(old.follows), "source": sourceName(m.role.follows), "reason": m.role.why,
		"entries": len(m.role.from)}).Log(level, "Source of the copy changed.")
}

func sourceName(addr string) string {
	if addr == "" {
		return "store"
	}
	return addr
}

// chooseRole returns the role of self, the first of from. Readers are chosen
// among the entries that reach the store: one that does not, but answers, would
// keep its followers from what others learn. All entries that hear the same
// choose the same.
func chooseRole(self peer.Presence, from []voter) role {
	all := addrsOfVoters(from, func(voter) bool { return true })
	reaching := addrsOfVoters(from, func(v voter) bool { return !v.failing })
	r := role{from: from, why: "entries that reach the store"}
	nobody := len(reaching) == 0
	if nobody {
		reaching, r.why = all, "no entry reaches the store"
	} else if from[0].failing {
		r.why = "own calls to the store fail"
	}
	ranked := membership.Rank(readerKey, reaching, ranksNext)
	readers := ranked[:min(readerCount, len(ranked))]
	if !slices.Contains(readers, self.Addr) {
		r.follows = followed(self, from, readers)
	}
	switch rank := slices.Index(ranked, self.Addr); {
	case rank >= ranksFirst:
		r.patience = patienceStep
	case rank < 0:
		r.patience, r.backup = 2*patienceStep, nobody
	}
	return r
}

func addrsOfVoters(from []voter, want func(voter) bool) []string {
	var out []string
	for _, v := range from {
		if want(v) {
			out = append(out, v.addr)
		}
	}
	return out
}

// followed returns whom an entry follows that is no reader: a reader of its failure
// domain; without one, an entry there that follows a reader for all of the domain, so
// that what the store sends crosses to it once. A configuration of 1,400 routes has
// some 300 kB, and a border 3.4 MB/s for everything.
func followed(self peer.Presence, from []voter, readers []string) string {
	own := func(v voter) bool { return v.domain == self.Domain }
	near := addrsOfVoters(from, func(v voter) bool { return own(v) && slices.Contains(readers, v.addr) })
	if len(near) > 0 {
		return membership.First(self.Host, near)
	}
	if head := domainHead(from, own); head != "" && head != self.Addr {
		return head
	}
	return membership.First(self.Host, readers)
}

// domainHead returns the entry that follows a reader for its failure domain: one that
// reaches the store, so that it is not one whose links are down, with a fast link.
func domainHead(from []voter, own func(voter) bool) string {
	most := 0.0
	for _, v := range from {
		if own(v) && !v.failing {
			most = max(most, v.linkMbps)
		}
	}
	return membership.First(headKey, addrsOfVoters(from, func(v voter) bool {
		return own(v) && !v.failing && v.linkMbps >= peer.FastLinkRatio*most
	}))
}

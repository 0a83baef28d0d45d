package mesh

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// Several entries of a small fleet that start together share the links to the store: seven copies of
// 400 kB take 0.8 s on a link of 29 Mbit/s. So one entry of each failure domain reads the store at
// once, and the others get the copy of whichever entry has it first.
const (
	// storeTurn is the time that an entry leaves to each entry of its failure domain that is to
	// read the store before it: one copy over a link between regions, and a slow answer.
	storeTurn = 250 * time.Millisecond
	// maxStoreTurns bounds how many entries go first, so that the last one reads the store before
	// its copy counts as stale.
	maxStoreTurns = 3
	// holderPatience is how long an answer of an entry that has a copy may take before another one
	// is asked as well: several round trips between regions, and a packed copy on a busy link.
	holderPatience = 100 * time.Millisecond
	// maxHoldersAsked is the number of unanswered questions to entries at a time.
	maxHoldersAsked = 2
	// holderRetry is how soon an entry that failed to send its copy is asked again.
	holderRetry = 200 * time.Millisecond
)

// firstCopyCalls is the state of the calls for a first copy.
type firstCopyCalls struct {
	storeCalled bool
	lastHolder  time.Time            // when the latest entry was asked; zero for none
	pending     map[string]bool      // entries whose answers are outstanding
	failed      map[string]time.Time // entries that did not send a copy, and when they failed
}

// nextHolder returns the entry to ask for its copy now, or "". holders are the entries that
// have a copy, in the order in which they are asked.
func (c *firstCopyCalls) nextHolder(now time.Time, holders []string) string {
	patient := len(c.pending) > 0 && now.Sub(c.lastHolder) < holderPatience
	if patient || len(c.pending) >= maxHoldersAsked {
		return ""
	}
	i := slices.IndexFunc(holders, func(addr string) bool {
		at, failed := c.failed[addr]
		return !c.pending[addr] && (!failed || now.Sub(at) >= holderRetry)
	})
	if i < 0 {
		return ""
	}
	return holders[i]
}

// storeDue reports whether to read the store. waited is the time since the start hold ended, and
// turn the number of entries of the own failure domain that go first. While an entry that has a copy
// is asked, the store is read only if its answer takes as long as a turn.
func (c *firstCopyCalls) storeDue(now time.Time, waited time.Duration, turn int) bool {
	if c.storeCalled {
		return false
	}
	if len(c.pending) > 0 && now.Sub(c.lastHolder) < storeTurn {
		return false
	}
	return waited >= time.Duration(min(turn, maxStoreTurns))*storeTurn
}

// copyHolders returns the entries that have a copy of the store in the order in which self asks
// them: those of its failure domain, then those with fast links. Entries that start together ask
// different ones.
func copyHolders(self peer.Presence, live []peer.Presence) []string {
	var near, fast, slow []string
	fastLinks := addrsOf(peer.FastLinks(live))
	for _, p := range live {
		switch {
		case p.Revision == 0:
		case p.Domain == self.Domain:
			near = append(near, p.Addr)
		case slices.Contains(fastLinks, p.Addr):
			fast = append(fast, p.Addr)
		default:
			slow = append(slow, p.Addr)
		}
	}
	out := membership.Rank(self.Host, near, len(near))
	out = append(out, membership.Rank(self.Host, fast, len(fast))...)
	return append(out, membership.Rank(self.Host, slow, len(slow))...)
}

// storeTurnOf returns how many entries of the failure domain of self read the store before it: those
// with fast links come first. Entries whose calls to the store fail do not count.
func storeTurnOf(self peer.Presence, live []peer.Presence) int {
	domain := []peer.Presence{self}
	for _, p := range live {
		if p.Domain == self.Domain && !p.Store.Failing {
			domain = append(domain, p)
		}
	}
	ranked := membership.Rank(domainRelayKey, addrsOf(peer.FastLinks(domain)), len(domain))
	if turn := slices.Index(ranked, self.Addr); turn >= 0 {
		return turn
	}
	return len(ranked)
}

// racesFirstCopy reports whether this entry gets its first copy of the store by firstCopySource. In a
// large fleet it gets it from the entry that it follows. The lock must be held.
func (m *Mesh) racesFirstCopy() bool {
	return m.table.Revision() == 0 && !m.startHeld && !m.large()
}

// firstCopySource is the source of an entry of a small fleet that has no copy yet: the store, or the
// entries that have one, whichever answers first.
type firstCopySource struct{ mesh *Mesh }

// Name implements mirror.Source.
func (*firstCopySource) Name() string { return "first copy" }

// ReadsStore implements mirror.StoreReader.
func (*firstCopySource) ReadsStore() bool { return true }

// Watch implements mirror.Source. It is called only if the first copy has just arrived on another
// way.
func (*firstCopySource) Watch(context.Context, string, mirror.Revision, time.Duration) (mirror.Batch, error) {
	return mirror.Batch{}, mirror.ErrSourceChanged
}

// firstCopyResult is the result of one call of a firstCopySource.
type firstCopyResult struct {
	addr  string // "" for the store
	batch mirror.Batch
	err   error
}

// Range implements mirror.Source. It fails if the store does and no entry is known that has a copy.
func (s *firstCopySource) Range(ctx context.Context, prefix string) (mirror.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := clock.Now()
	results := make(chan firstCopyResult)
	calls := &firstCopyCalls{pending: map[string]bool{}, failed: map[string]time.Time{}}
	call := func(addr string, src mirror.Source) {
		go func() {
			b, err := src.Range(ctx, prefix)
			select {
			case results <- firstCopyResult{addr, b, err}:
			case <-ctx.Done():
			}
		}()
	}
	storeErr := error(nil)
	for {
		if !s.mesh.startFirstCopyCalls(clock.Now(), calls, call) {
			return mirror.Batch{}, mirror.ErrSourceChanged
		}
		if storeErr != nil && len(calls.pending) == 0 {
			return mirror.Batch{}, storeErr
		}
		r, err := s.awaitResult(ctx, results)
		switch {
		case err != nil:
			return mirror.Batch{}, err
		case r == nil: // look at the members again
		case r.err == nil:
			s.mesh.recordFirstCopy(r.addr, calls, clock.Since(begun))
			return r.batch, nil
		case r.addr == "":
			storeErr = r.err
		default:
			delete(calls.pending, r.addr)
			calls.failed[r.addr] = clock.Now()
		}
	}
}

// awaitResult returns the next result, or nil after the interval at which members may have reported
// that they have a copy.
func (s *firstCopySource) awaitResult(ctx context.Context, results <-chan firstCopyResult) (*firstCopyResult, error) {
	timer := clock.NewTimer(s.mesh.cfg.Interval)
	defer timer.Stop()
	select {
	case r := <-results:
		return &r, nil
	case <-timer.C:
		return nil, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "mesh: first copy")
	}
}

// startFirstCopyCalls starts the calls that are due. It returns false if the fleet has turned out to
// be large.
func (m *Mesh) startFirstCopyCalls(now time.Time, c *firstCopyCalls, call func(addr string, src mirror.Source)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() {
		return false
	}
	live := m.members.Reports(now)
	if addr := c.nextHolder(now, copyHolders(m.self, live)); addr != "" {
		c.pending[addr], c.lastHolder = true, now
		call(addr, &peerSource{mesh: m, addr: addr})
	}
	if c.storeDue(now, now.Sub(m.holdEndedAt), storeTurnOf(m.self, live)) {
		c.storeCalled = true
		call("", m.store)
	}
	return true
}

// firstCopyCounters count the first copies of this process by their source.
type firstCopyCounters struct{ fromStore, fromPeer metrics.Counter }

func newFirstCopyCounters(r metrics.Registry) firstCopyCounters {
	return firstCopyCounters{fromStore: metrics.NewRegisteredCounter("mesh.first_copies_from_store", r),
		fromPeer: metrics.NewRegisteredCounter("mesh.first_copies_from_peers", r)}
}

func (m *Mesh) recordFirstCopy(addr string, c *firstCopyCalls, took time.Duration) {
	counter := m.firstCopies.fromPeer
	if addr == "" {
		counter = m.firstCopies.fromStore
	}
	counter.Inc(1)
	m.log.WithFields(logrus.Fields{"source": cmp.Or(addr, "store"), "store_called": c.storeCalled, "peers_failed": len(c.failed),
		"peers_pending": len(c.pending), "ms": took.Milliseconds()}).Info("First copy of the store received.")
}

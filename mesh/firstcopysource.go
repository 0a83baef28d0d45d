package mesh

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/mirror"
)

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
	start := func(addr string, src mirror.Source) { go sendRange(ctx, addr, src, prefix, results) }
	storeErr := error(nil)
	for {
		if !s.mesh.startFirstCopyCalls(clock.Now(), calls, start) {
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

// sendRange reads the copy of src and sends the result unless ctx ends.
func sendRange(ctx context.Context, addr string, src mirror.Source, prefix string, results chan<- firstCopyResult) {
	b, err := src.Range(ctx, prefix)
	select {
	case results <- firstCopyResult{addr, b, err}:
	case <-ctx.Done():
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

// startFirstCopyCalls starts the calls that are due, by start; the address of the store is "". It returns false if the fleet has turned out to
// be large.
func (m *Mesh) startFirstCopyCalls(now time.Time, c *firstCopyCalls, start func(addr string, src mirror.Source)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() {
		return false
	}
	live := m.members.Reports(now)
	if addr := c.nextHolder(now, copyHolders(m.self, live)); addr != "" {
		c.pending[addr], c.lastHolder = true, now
		start(addr, &peerSource{mesh: m, addr: addr})
	}
	if c.storeDue(now, now.Sub(m.holdEndedAt), storeTurnOf(m.self, live)) {
		c.storeCalled = true
		start("", m.store)
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

package mirror

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowStore answers each call after a delay.
type slowStore struct {
	delay  time.Duration
	events []Event
}

func (slowStore) Name() string { return "store" }

func (s slowStore) Range(context.Context, string) (Batch, error) {
	time.Sleep(s.delay)
	return Batch{Revision: 1}, nil
}

func (s slowStore) Watch(_ context.Context, _ string, after Revision, _ time.Duration) (Batch, error) {
	time.Sleep(s.delay)
	return Batch{Events: s.events, Revision: after + Revision(len(s.events))}, nil
}

// The age that is stated for a response is an upper bound: the response may have been created
// at any time since the call started, and does not reflect later changes in the store.
func TestAgeOfResponseIsItsUpperBound(t *testing.T) {
	change := []Event{set("a", 2)}
	for _, c := range []struct {
		name      string
		store     slowStore
		wait, age time.Duration
		fullRead  bool
	}{
		{"full read", slowStore{delay: 300 * time.Millisecond}, 0, 300 * time.Millisecond, true},
		{"no changes, no wait", slowStore{delay: 300 * time.Millisecond}, 0, 300 * time.Millisecond, false},
		{"no changes, at the end of the wait", slowStore{delay: time.Second}, time.Second, 0, false},
		{"no changes, late", slowStore{delay: 1200 * time.Millisecond}, time.Second, 200 * time.Millisecond, false},
		{"changes, no wait", slowStore{300 * time.Millisecond, change}, 0, 300 * time.Millisecond, false},
		{"changes, late in the wait", slowStore{900 * time.Millisecond, change}, time.Second, 900 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := NewMonitoredStore(c.store, discardLogger())
				read := func() (Batch, error) { return store.Watch(t.Context(), "", 1, c.wait) }
				if c.fullRead {
					read = func() (Batch, error) { return store.Range(t.Context(), "") }
				}
				b, err := read()
				assert.NilError(t, err)
				assert.Equal(t, b.Age, c.age)
				assert.Assert(t, b.FromStore)
			})
		})
	}
}

// A watch that is overdue and then times out is counted as one failure.
func TestCallThatTimesOutCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewMonitoredStore(&hanging{}, discardLogger())
		for n := 1; n <= 3; n++ {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			_, err := c.Watch(ctx, "", 1, time.Second)
			cancel()
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			_, failures := c.callState()
			assert.Equal(t, failures, n)
		}
	})
}

// Batches from a peer do not count as reads of the store by this process.
func TestPeerBatchIsNoStoreRead(t *testing.T) {
	now := time.Now()
	table := NewTable("")
	table.Replace(now, Batch{Revision: 1})
	table.Apply(now, Batch{Revision: 2})
	at, _ := table.LastStoreRead()
	assert.Assert(t, at.IsZero())
	table.Apply(now, Batch{Revision: 2, Age: time.Second, FromStore: true})
	at, _ = table.LastStoreRead()
	assert.Equal(t, at, now.Add(-time.Second))
}

// paidTable is a store that answers from a Table. Its calls count as billed, so a Follower
// limits their rate.
type paidTable struct {
	*Table
	calls atomic.Int64
}

func (*paidTable) Name() string { return "store" }
func (*paidTable) Paid() bool   { return true }

func (p *paidTable) Range(context.Context, string) (Batch, error) {
	p.calls.Add(1)
	return p.Table.Range(time.Now())
}

func (p *paidTable) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Batch, error) {
	p.calls.Add(1)
	return p.Table.Watch(ctx, after, wait)
}

// At any rate of changes, the copy of a process that follows the store gets no older than the
// time of one watch and the interval before the next, and no read because of a stale copy is
// needed. Each change costs at most one call in addition to the calls that are made without
// changes, and a burst costs at most five calls per second.
func TestCopyStaysFreshAtAnyRateOfChanges(t *testing.T) {
	for _, every := range []time.Duration{20, 150, 500, 850, 950, 990, 1050, 1900, 3700} {
		every *= time.Millisecond
		t.Run(fmt.Sprint("every ", every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &paidTable{Table: NewTable("")}
				store.Replace(time.Now(), Batch{Revision: 1})
				table := NewTable("")
				monitored := NewMonitoredStore(store, discardLogger())
				f := newFollower(table, monitored, func() Source { return monitored })
				go f.Run(ctx)
				synctest.Wait()
				changes, oldest := 0, time.Duration(0)
				const minute = 60
				for begin := time.Now(); time.Since(begin) < minute*time.Second; {
					time.Sleep(10 * time.Millisecond)
					if time.Since(begin) >= time.Duration(changes+1)*every {
						changes++
						r := store.Revision() + 1
						store.Apply(time.Now(), Batch{Events: []Event{set("a", r)}, Revision: r})
					}
					at, _ := table.LastStoreRead()
					oldest = max(oldest, time.Since(at))
				}
				assert.Check(t, oldest <= 1200*time.Millisecond, "maximum age of the copy is %v", oldest)
				assert.Equal(t, f.stats.staleReads.Count(), int64(0))
				maxCalls := min(minute+changes, 5*minute) + 5
				assert.Check(t, store.calls.Load() <= int64(maxCalls), "%d calls, %d changes", store.calls.Load(), changes)
				t.Log("calls", store.calls.Load(), "changes", changes, "oldest", oldest)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// unreadableStore answers each watch with an error that asks for the full copy, which it does not
// give.
type unreadableStore struct {
	err           error
	watches, full atomic.Int64
}

func (*unreadableStore) Name() string { return "store" }

func (s *unreadableStore) Range(context.Context, string) (Batch, error) {
	s.full.Add(1)
	time.Sleep(5 * time.Millisecond)
	return Batch{}, ErrUnavailable
}

func (s *unreadableStore) Watch(context.Context, string, Revision, time.Duration) (Batch, error) {
	s.watches.Add(1)
	time.Sleep(5 * time.Millisecond)
	return Batch{}, s.err
}

// A watch that asks for the full copy does not show that the store works: without back-off, all
// entries would call it several times a second while it is overloaded by their full reads.
func TestFullReadsThatFailBackOff(t *testing.T) {
	for _, err := range []error{ErrCompacted, ErrRestored, ErrOversized} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			table := NewTable("")
			table.Replace(time.Now(), Batch{Events: []Event{set("a", 5)}, Revision: 10})
			store := &unreadableStore{err: err}
			f := newFollower(table, NewMonitoredStore(store, discardLogger()), nil)
			go f.Run(ctx)
			time.Sleep(30 * time.Second)
			cancel()
			synctest.Wait()
			// One call each second at least half of the time: the longest back-off is 2 s, and
			// the follower and its reads for a stale copy share it.
			const most = 60
			assert.Check(t, store.full.Load() <= most, "%v: %d full reads in 30 s", err, store.full.Load())
		})
	}
}

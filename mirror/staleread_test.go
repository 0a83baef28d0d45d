package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// storeAt returns a source that answers at once; its only key was last changed at the current
// value of revision.
func storeAt(revision *atomic.Int64) *scripted {
	return &scripted{name: "store", all: func() (Batch, error) { return Batch{Revision: Revision(revision.Load())}, nil },
		watch: func(after Revision) (Batch, error) {
			if r := Revision(revision.Load()); after < r {
				return Batch{Events: []Event{set("a", r)}, Revision: r}, nil
			}
			return Batch{Revision: after}, nil
		}}
}

// A hanging call to a peer does not prevent reads of the store when the copy is stale.
func TestStaleCopyIsReadFromStoreWhilePeerHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var revision atomic.Int64
		revision.Store(7)
		table := NewTable("")
		f := newFollower(table, NewMonitoredStore(storeAt(&revision), discardLogger()), func() Source { return &hanging{} })
		go f.Run(ctx)
		time.Sleep(1400 * time.Millisecond)
		assert.Equal(t, table.Revision(), Revision(7))
		assert.Equal(t, f.stats.staleReads.Count(), int64(1))
		revision.Store(8)
		time.Sleep(1400 * time.Millisecond)
		assert.Equal(t, table.Revision(), Revision(8))
		down, ended := f.Outage()
		assert.Assert(t, !down && ended.IsZero())
	})
}

// When processes start together, the peer to follow may have no copy yet. The first copy must
// then be read from the store.
func TestFirstCopyIsReadFromStoreIfPeerHasNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var revision atomic.Int64
		revision.Store(7)
		none := func() (Batch, error) { return Batch{}, ErrUnavailable }
		peer := &scripted{name: "peer", all: none, watch: func(Revision) (Batch, error) { return none() }}
		table := NewTable("")
		f := newFollower(table, NewMonitoredStore(storeAt(&revision), discardLogger()), func() Source { return peer })
		go f.Run(ctx)
		synctest.Wait()
		assert.Equal(t, table.Revision(), Revision(7))
		cancel()
		synctest.Wait()
	})
}

// A process that cannot reach the store, but whose copy others confirm, calls the store
// only at ProbeInterval and reports no outage.
func TestConfirmedCopyCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var calls atomic.Int64
		store := &scripted{name: "store", watch: func(Revision) (Batch, error) {
			calls.Add(1)
			return Batch{}, errors.New("refused")
		}}
		peer := &scripted{name: "peer", all: func() (Batch, error) { return Batch{Revision: 1}, nil },
			watch: func(after Revision) (Batch, error) { return Batch{Revision: after}, nil }}
		monitored := NewMonitoredStore(store, discardLogger())
		_, err := monitored.Watch(ctx, "", 1, 0)
		assert.ErrorContains(t, err, "refused")
		f := newFollower(NewTable(""), monitored, func() Source { return peer })
		go f.Run(ctx)
		time.Sleep(time.Minute)
		assert.Assert(t, calls.Load() >= 14 && calls.Load() <= 16, "%d calls", calls.Load())
		down, ended := f.Outage()
		assert.Assert(t, !down && ended.IsZero())
	})
}

// A call that fails after a later call succeeded does not mark the store as failing.
func TestFailingFollowsNewestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var revision atomic.Int64
		store := storeAt(&revision)
		succeed := store.watch
		var first atomic.Bool
		first.Store(true)
		answer := make(chan struct{})
		store.watch = func(after Revision) (Batch, error) {
			if !first.Swap(false) {
				return succeed(after)
			}
			<-answer
			return Batch{}, errors.New("lost")
		}
		c := NewMonitoredStore(store, discardLogger())
		done := make(chan error, 1)
		go func() {
			_, err := c.Watch(t.Context(), "", 1, time.Second)
			done <- err
		}()
		time.Sleep(time.Second + watchOverdueAfter - time.Millisecond)
		assert.Assert(t, !c.Failing(), "a slow store counts as failing")
		time.Sleep(2 * time.Millisecond)
		assert.Assert(t, c.Failing(), "the watch is overdue but the store does not count as failing")
		b, err := c.Watch(t.Context(), "", 1, 0)
		assert.NilError(t, err)
		assert.Assert(t, b.FromStore && !c.Failing())
		close(answer)
		assert.ErrorContains(t, <-done, "lost")
		assert.Assert(t, !c.Failing())
	})
}

// A call that the caller cancelled does not mark the store as failing.
func TestCancelledCallIsNoFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := NewMonitoredStore(&hanging{}, discardLogger())
	_, err := c.Watch(ctx, "", 1, time.Second)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, !c.Failing())
}

// A change of the source takes effect during a watch, and the old source is not counted as
// lost.
func TestFollowerChangesSourceDuringWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var revision atomic.Int64
		revision.Store(1)
		store := NewMonitoredStore(storeAt(&revision), discardLogger())
		table := NewTable("")
		r := &switchedRoute{first: &hanging{}, switched: make(chan struct{})}
		f := NewFollower(Options{Table: table, Store: store, Route: r, Log: discardLogger(), Stats: newFollower(table, store, nil).stats})
		go f.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		revision.Store(2)
		close(r.switched)
		synctest.Wait()
		assert.Equal(t, table.Revision(), Revision(2))
		assert.Assert(t, !f.sourceLost)
	})
}

// switchedRoute is a Route that changes from a source to the store.
type switchedRoute struct {
	first    Source
	switched chan struct{}
}

func (m *switchedRoute) Source() (Source, <-chan struct{}) {
	select {
	case <-m.switched:
		return nil, nil
	default:
		return m.first, m.switched
	}
}

func (*switchedRoute) StoreReadDelay() time.Duration { return 0 }
func (*switchedRoute) Backup() bool                  { return false }

// The age in a watch's response is measured after the wait, and includes confirmations by
// other processes.
func TestAgeIsMeasuredAfterTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("")
		table.Replace(time.Now(), Batch{Revision: 5, FromStore: true})
		read := time.Now()
		b, err := table.Watch(t.Context(), 5, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, b.Age, time.Second)
		table.Confirm(time.Now())
		b, err = table.Watch(t.Context(), 5, 0)
		assert.NilError(t, err)
		assert.Equal(t, b.Age, time.Duration(0))
		at, revision := table.LastStoreRead()
		assert.Assert(t, at.Equal(read) && revision == 5, "a confirmation by another process counts as a read of the store")
	})
}

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

// slowStore answers each call after a time.
type slowStore struct {
	takes  time.Duration
	events []Event
}

func (slowStore) Name() string { return "store" }

func (s slowStore) Range(context.Context, string) (Batch, error) {
	time.Sleep(s.takes)
	return Batch{Revision: 1}, nil
}

func (s slowStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (Batch, error) {
	time.Sleep(s.takes)
	return Batch{Events: s.events, Revision: after + int64(len(s.events))}, nil
}

// An answer may have been made long before it came, and says nothing of the store
// since.
func TestAnswerIsAsOldAsItMayBe(t *testing.T) {
	change := []Event{set("a", 2)}
	for _, c := range []struct {
		name        string
		store       slowStore
		wait, age   time.Duration
		wholePrefix bool
	}{
		{"all", slowStore{takes: 300 * time.Millisecond}, 0, 300 * time.Millisecond, true},
		{"nothing, without a wait", slowStore{takes: 300 * time.Millisecond}, 0, 300 * time.Millisecond, false},
		{"nothing, in time", slowStore{takes: time.Second}, time.Second, 0, false},
		{"nothing, late", slowStore{takes: 1200 * time.Millisecond}, time.Second, 200 * time.Millisecond, false},
		{"changes, without a wait", slowStore{300 * time.Millisecond, change}, 0, 300 * time.Millisecond, false},
		{"changes, late in the wait", slowStore{900 * time.Millisecond, change}, time.Second, 900 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contact := NewMonitoredStore(c.store, quiet())
				read := func() (Batch, error) { return contact.Watch(t.Context(), "", 1, c.wait) }
				if c.wholePrefix {
					read = func() (Batch, error) { return contact.Range(t.Context(), "") }
				}
				b, err := read()
				assert.NilError(t, err)
				assert.Equal(t, b.Age, c.age)
				assert.Assert(t, b.FromStore)
			})
		})
	}
}

// A watch that is overdue and then given up failed once.
func TestCallThatTimesOutCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewMonitoredStore(&hanging{}, quiet())
		for n := 1; n <= 3; n++ {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			_, err := c.Watch(ctx, "", 1, time.Second)
			cancel()
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			_, failures := c.last()
			assert.Equal(t, failures, n)
		}
	})
}

// What a peer tells is no read of this process.
func TestWhatAPeerTellsIsNotReadHere(t *testing.T) {
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

// paidTable is the store, with a Table's answers.
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

func (p *paidTable) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (Batch, error) {
	p.calls.Add(1)
	return p.Table.Watch(ctx, after, wait)
}

// However changes come, a reader's copy grows no older than one watch and the
// pause before the next, and the guard has nothing to read. Each change costs one
// call at most beside those of a calm day, and a burst five a second.
func TestChangesDoNotMakeAReadersCopyOld(t *testing.T) {
	for _, every := range []time.Duration{20, 150, 500, 850, 950, 990, 1050, 1900, 3700} {
		every *= time.Millisecond
		t.Run(fmt.Sprint("each ", every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &paidTable{Table: NewTable("")}
				store.Replace(time.Now(), Batch{Revision: 1})
				table := NewTable("")
				contact := NewMonitoredStore(store, quiet())
				f := newFollower(table, contact, func() Source { return contact })
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
				assert.Check(t, oldest <= 1200*time.Millisecond, "the copy was %v old", oldest)
				assert.Equal(t, f.stats.reads.Count(), int64(0))
				most := min(minute+changes, 5*minute) + 5
				assert.Check(t, store.calls.Load() <= int64(most), "%d calls, %d changes", store.calls.Load(), changes)
				t.Log("calls", store.calls.Load(), "changes", changes, "oldest", oldest)
				cancel()
				synctest.Wait()
			})
		})
	}
}

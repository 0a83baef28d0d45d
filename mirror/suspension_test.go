package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/clock/clocktest"
	"gotest.tools/v3/assert"
)

// suspensions are how long the machines of the tests are suspended.
var suspensions = []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second}

// An entry whose machine was suspended took its copy of the store for young, and served by
// a configuration that was long replaced until a watch ended: the steady clock, by which
// the copy's age was measured, had stood still.
func TestSuspension(t *testing.T) {
	for _, d := range suspensions {
		synctest.Test(t, func(t *testing.T) {
			machine := clocktest.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			var revision atomic.Int64
			revision.Store(7)
			table := NewTable("")
			store := storeAt(&revision)
			answer := store.watch
			store.watch = func(after int64) (Batch, error) {
				time.Sleep(time.Millisecond) // nothing is read in the moment in which the machine wakes
				return answer(after)
			}
			f := newFollower(table, NewMonitoredStore(store, quiet()), func() Source { return &hanging{} })
			go f.Run(ctx)
			time.Sleep(1400 * time.Millisecond)
			assert.Equal(t, table.Revision(), int64(7))
			revision.Store(8)
			machine.Suspend(d)
			b, err := table.Range(clock.Now())
			assert.NilError(t, err)
			assert.Check(t, b.Age >= d, "told to others: %v", b.Age)
			time.Sleep(2 * guardTick)
			assert.Check(t, table.Revision() == 8, "the store is read as soon as the machine is awake")
			cancel()
			synctest.Wait()
		})
	}
}

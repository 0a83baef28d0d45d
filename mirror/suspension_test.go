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

// suspensions are the times for which the tests suspend the host.
var suspensions = []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second}

// Guards against a stale copy after the host was suspended. The monotonic clock stops
// during a suspension, so a copy whose age was measured by that clock counted as fresh, and the
// entry served an outdated configuration until a watch ended.
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
			store.watch = func(after Revision) (Batch, error) {
				time.Sleep(time.Millisecond) // no response arrives at the moment of the resume
				return answer(after)
			}
			f := newFollower(table, NewMonitoredStore(store, discardLogger()), func() Source { return &hanging{} })
			go f.Run(ctx)
			time.Sleep(1400 * time.Millisecond)
			assert.Equal(t, table.Revision(), Revision(7))
			revision.Store(8)
			machine.Suspend(d)
			b, err := table.Range(clock.Now())
			assert.NilError(t, err)
			assert.Check(t, b.Age >= d, "age reported to peers: %v", b.Age)
			time.Sleep(2 * staleCheckInterval)
			assert.Check(t, table.Revision() == 8, "the store was not read right after the resume")
			cancel()
			synctest.Wait()
		})
	}
}

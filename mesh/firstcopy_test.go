package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/overlay"
	"gotest.tools/v3/assert"
)

// Entries of a large fleet that start together are no herd at the store: no more of them read their
// first copy there than in the largest fleet whose entries all link to each other. Those that are
// restarted in a running fleet get it from other entries.
func TestFirstCopiesOfALargeFleet(t *testing.T) {
	for _, n := range []int{60, 120} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntriesStaggered(t, n, 10*time.Millisecond, time.Millisecond)
				defer all.stop()
				time.Sleep(2 * time.Second)
				all.assertCopies(t, all.all)
				assert.Check(t, storeRanges(all.all) <= overlay.CompleteUpTo, "%d whole copies read from the store at the start", storeRanges(all.all))
				time.Sleep(6 * time.Second)
				restarted := all.all[n/2:]
				for _, e := range restarted {
					e.kill()
				}
				time.Sleep(time.Second)
				for _, e := range restarted {
					e.revive()
				}
				time.Sleep(2 * time.Second)
				all.assertCopies(t, all.all)
				assert.Check(t, storeRanges(restarted) <= readerCount, "%d whole copies read from the store by restarted entries", storeRanges(restarted))
			})
		})
	}
}

// An entry whose seeds are lost reads the store itself.
func TestFirstCopyWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, 2)
		defer all.stop()
		all.all[0].kill()
		all.all[1].restart()
		time.Sleep(2 * startHold)
		all.assertCopies(t, all.all[1:])
	})
}

func (f *entries) assertCopies(t *testing.T, list []*entry) {
	for _, e := range list {
		assert.Check(t, e.table.Revision() == f.store.Revision(), "%s has no copy", e.addr)
	}
}

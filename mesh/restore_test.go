package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/mirror"
	"gotest.tools/v3/assert"
)

// Parameters of the restores of the store.
const (
	// nextEra is the difference between revisions of the same number in an era of the store
	// and the next.
	nextEra = 1 << 40
	// restoreAgeMax is how old the copies are at most that the store is restored from.
	restoreAgeMax  = 5 * time.Second
	restoreAwayMax = time.Second // how long the store is away at most
	rewriteMax     = 2 * time.Second
	restoreSeeds   = 20
	restoreOneIn   = 60 // steps of faultInterval
)

// restore takes the store away for some time and restores it from an earlier copy. Watches
// that are in progress are cut, and the store has none of the history before.
func (f *entries) restore(earlier mirror.Batch, away time.Duration) {
	faults := make([]fault, len(f.all))
	for i, e := range f.all {
		faults[i], _ = e.view.state()
		e.view.set(reset)
	}
	time.Sleep(away)
	era := f.store.Revision()/nextEra + 1
	earlier.Revision, earlier.MaxRevision, earlier.Age = era*nextEra+earlier.Revision%nextEra, 0, 0
	earlier.Events = slices.Clone(earlier.Events)
	for i, e := range earlier.Events {
		earlier.Events[i].Revision = era*nextEra + e.Revision%nextEra
	}
	f.store = mirror.NewTable("")
	f.store.Replace(time.Now(), earlier)
	for i, e := range f.all {
		e.view.mu.Lock()
		e.view.store = f.store
		e.view.mu.Unlock()
		e.view.set(faults[i])
	}
}

// restorer restores the store of a fleet at random moments and writes again what it lost.
type restorer struct {
	*faultInjector
	copies   []storeCopy
	restores int
	lost     map[string]lostKey
}

// storeCopy is the content of the store at a time.
type storeCopy struct {
	at  time.Time
	all mirror.Batch
}

// lostKey is a key whose latest change the store has lost.
type lostKey struct {
	removed bool
	due     time.Time // when it is written again
}

// keysOf returns the keys of a copy.
func keysOf(b mirror.Batch) map[string]bool {
	out := map[string]bool{}
	for _, e := range b.Events {
		out[e.Key] = true
	}
	return out
}

// step restores the store now and then, and writes lost keys again that are due.
func (x *restorer) step() {
	for key, l := range x.lost {
		if time.Now().After(l.due) {
			x.fleet.write(key, l.removed)
			delete(x.lost, key)
		}
	}
	all, err := x.fleet.store.Range(time.Now())
	assert.NilError(x.fleet.t, err)
	now := time.Now()
	x.copies = append(slices.DeleteFunc(x.copies, func(c storeCopy) bool { return now.Sub(c.at) > restoreAgeMax }), storeCopy{now, all})
	if x.rng.IntN(restoreOneIn) == 0 {
		x.restore(all)
	}
}

// restore restores the store from a random copy. Keys that differ from what the store had
// acknowledged are written again.
func (x *restorer) restore(before mirror.Batch) {
	x.restores++
	earlier := x.copies[x.rng.IntN(len(x.copies))].all
	x.fleet.restore(earlier, time.Duration(x.rng.Int64N(int64(restoreAwayMax))))
	had, has := keysOf(before), keysOf(earlier)
	for i := range targetsListed {
		key := fmt.Sprintf("servers/%02d", i)
		acknowledged := had[key]
		if l, pending := x.lost[key]; pending {
			acknowledged = !l.removed
		}
		delete(x.lost, key)
		if acknowledged != has[key] {
			x.lost[key] = lostKey{!acknowledged, time.Now().Add(time.Duration(x.rng.Int64N(int64(rewriteMax))))}
		}
	}
}

// All copies must equal the store's content once faults have ended, also if it was restored
// from older copies meanwhile, at any moment: beside lost links, restarts, answers out of
// order and a compacted history. No copy may go back to an earlier era or revision.
func TestCopiesFollowARestoredStore(t *testing.T) {
	for seed := range uint64(restoreSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, copiesEntries)
				defer func() {
					all.stop()
					time.Sleep(4 * maxAnswerDelay) // until delayed answers have arrived
				}()
				x := &restorer{faultInjector: &faultInjector{rng: rand.New(rand.NewPCG(seed, 3)), fleet: all, faultEnds: map[*entry]time.Time{}},
					lost: map[string]lostKey{}}
				for _, e := range all.all {
					x.delayAnswers(e)
				}
				reached := map[*mirror.Table]mirror.Batch{}
				for end := time.Now().Add(faultDuration); time.Now().Before(end) || len(x.lost) > 0; time.Sleep(faultInterval) {
					if time.Now().Before(end) {
						x.faultInjector.step()
					}
					x.step()
					for _, e := range all.all {
						now := mirror.Batch{Revision: e.table.Revision()}
						assert.Assert(t, now.Revision >= reached[e.table].Revision, "%s went back", e.addr)
						reached[e.table] = now
					}
				}
				for _, e := range all.all {
					e.view.set(healthy)
				}
				time.Sleep(settleDuration)
				t.Log("restores:", x.restores)
				for _, e := range all.all {
					assert.Check(t, e.table.Revision() == all.store.Revision(), "%s is not at the revision of the store, after %d restores", e.addr, x.restores)
					assert.DeepEqual(t, contentsOf(e.table), contentsOf(all.store))
				}
			})
		})
	}
}

// After a restore few entries read the whole content of the store: those that read it for all,
// and at most the others that call it while it is away. The rest takes it from them, however many
// they are.
func TestRestoreIsReadByFewEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, largeFleet)
		defer all.stop()
		time.Sleep(8 * time.Second)
		earlier, err := all.store.Range(time.Now())
		assert.NilError(t, err)
		for range 20 {
			all.change()
		}
		time.Sleep(3 * time.Second)
		before := storeRanges(all.all)
		all.restore(earlier, restoreAwayMax/2)
		delays := lag(all.all, all.change(), 2*time.Second)
		for addr, d := range delays {
			assert.Check(t, d < 2*time.Second, "%s has no copy of the restored store after %v", addr, d)
		}
		time.Sleep(4 * time.Second)
		reads := storeRanges(all.all) - before
		t.Log("full reads:", reads)
		assert.Check(t, reads <= secondGroupRanks, "%d full reads", reads)
	})
}

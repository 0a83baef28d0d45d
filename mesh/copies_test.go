package mesh

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/mirror"
	"gotest.tools/v3/assert"
)

// Parameters of TestCopiesConvergeAfterFaults.
const (
	faultDuration  = 12 * time.Second
	settleDuration = 6 * time.Second // longer than it takes to detect a lost source and to time out calls that hang
	faultInterval  = 50 * time.Millisecond
	faultSeeds     = 40
	copiesEntries  = 8
	targetsListed  = 20
	maxAnswerDelay = 400 * time.Millisecond
)

// faultInjector applies random faults to the entries of a fleet and changes to the store.
type faultInjector struct {
	rng       *rand.Rand
	fleet     *entries
	faultEnds map[*entry]time.Time // when the fault of an entry's store calls ends
}

// step applies random changes to the store and, sometimes, a fault.
func (x *faultInjector) step() {
	x.changeTargets()
	for e, end := range x.faultEnds {
		if time.Now().After(end) {
			e.view.set(healthy)
			delete(x.faultEnds, e)
		}
	}
	switch e := x.fleet.all[x.rng.IntN(len(x.fleet.all))]; x.rng.IntN(40) {
	case 0:
		if _, broken := x.faultEnds[e]; !broken {
			e.view.set([]fault{silent, refused, reset}[x.rng.IntN(3)])
			x.faultEnds[e] = time.Now().Add(time.Duration(x.rng.Int64N(int64(3 * time.Second))))
		}
	case 1:
		delete(x.faultEnds, e)
		e.restart()
		x.delayAnswers(e)
	case 2:
		x.fleet.compact()
	}
}

// changeTargets writes or deletes up to two targets in the store.
func (x *faultInjector) changeTargets() {
	for range x.rng.IntN(3) {
		x.fleet.write(fmt.Sprintf("servers/%02d", x.rng.IntN(targetsListed)), x.rng.IntN(3) == 0)
	}
}

// delayAnswers delays each answer of the store to an entry at random, so that answers arrive
// out of order.
func (x *faultInjector) delayAnswers(e *entry) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(x.rng.Uint64(), x.rng.Uint64()))
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	e.view.answerDelay = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.Int64N(int64(maxAnswerDelay)))
	}
}

// write sets a key of the store, or deletes it.
func (f *entries) write(key string, remove bool) {
	r := f.store.Revision() + 1
	f.store.Apply(time.Now(), mirror.Batch{Revision: r, Events: []mirror.Event{{Deleted: remove,
		Item: mirror.Item{Key: key, Value: fmt.Append(nil, r), Revision: r}}}})
}

// compact discards the store's history.
func (f *entries) compact() { f.compacted.Store(int64(f.store.Revision())) }

// restart kills the entry and starts it again without its former state.
func (e *entry) restart() {
	e.kill()
	e.revive()
}

// revive starts a killed entry again without its former state.
func (e *entry) revive() {
	e.mu.Lock()
	e.down, e.conns = false, nil
	e.mu.Unlock()
	e.start()
}

// seesDifference reports whether the entry considers a peer's copy different from its own.
func (e *entry) seesDifference() bool {
	e.mesh.mu.Lock()
	defer e.mesh.mu.Unlock()
	return e.mesh.copyDifferences.any()
}

// contentsOf returns the values of a copy's items. Each write has a value of its own.
func contentsOf(t *mirror.Table) map[string]string {
	out := map[string]string{}
	items, _ := t.Items()
	for _, i := range items {
		out[i.Key] = string(i.Value)
	}
	return out
}

// All copies must equal the store's contents once faults have ended. Before that, answers of
// the store arrive out of order, full reads are paged with changes between the pages, the
// store's history is compacted, and entries lose the store and are restarted.
func TestCopiesConvergeAfterFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, copiesEntries)
				defer func() {
					all.stop()
					time.Sleep(4 * maxAnswerDelay) // until delayed answers have arrived
				}()
				x := &faultInjector{rng: rand.New(rand.NewPCG(seed, 1)), fleet: all, faultEnds: map[*entry]time.Time{}}
				for _, e := range all.all {
					x.delayAnswers(e)
				}
				for end := time.Now().Add(faultDuration); time.Now().Before(end); time.Sleep(faultInterval) {
					x.step()
				}
				for _, e := range all.all {
					e.view.set(healthy)
				}
				time.Sleep(settleDuration)
				for _, e := range all.all {
					assert.Check(t, e.mesh.repairs.Count() == 0, "%s repaired its copy because it differed from a peer's", e.addr)
					assert.Check(t, e.table.Revision() == all.store.Revision(), "%s is not at the revision of the store", e.addr)
					assert.DeepEqual(t, contentsOf(e.table), contentsOf(all.store))
				}
			})
		})
	}
}

// An entry whose copy missed a change, for whatever reason, must detect that copies of the
// same revision differ from its own, and read the store's contents within 4 s. Otherwise it
// would keep the old state until the key changes again, which never happens for a target that
// has left.
func TestEntryThatMissedAChangeReadsTheStoreAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, copiesEntries)
		defer all.stop()
		all.write("servers/01", false)
		time.Sleep(5 * time.Second)
		lost := all.all[3]
		// Advance the revision of the copy past a change without applying the change.
		lost.table.Apply(time.Now(), mirror.Batch{Revision: all.store.Revision() + 1})
		all.write("servers/01", true)
		time.Sleep(time.Second)
		assert.Equal(t, lost.table.Revision(), all.store.Revision())
		assert.Assert(t, len(contentsOf(lost.table)) > len(contentsOf(all.store)), "the copy must have missed the change")
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, contentsOf(lost.table), contentsOf(all.store))
		time.Sleep(2 * time.Second)
		for _, e := range all.all {
			assert.Assert(t, !e.seesDifference(), e.addr)
			// Other entries read the store again only if they detect the difference before it is repaired.
			n := e.mesh.repairs.Count()
			assert.Check(t, n == 1 || n == 0 && e != lost, "%s repaired its copy %d times; %s missed the change", e.addr, n, lost.addr)
		}
	})
}

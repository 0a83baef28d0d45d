package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const budgetWindow = 10 * time.Second

// fleetBudget is the retry budget of a service at all entries of a fleet, in simulated time.
type fleetBudget struct {
	now       time.Time
	ratio     float64
	extra     float64
	entries   []*Budget
	requests  []time.Time
	retries   []time.Time // when each arrived at a target
	heldUntil time.Time   // before that, nothing arrives
}

func newFleetBudget(entries int, ratio, extra float64) *fleetBudget {
	f := &fleetBudget{now: start, ratio: ratio, extra: extra, entries: make([]*Budget, entries)}
	for i := range f.entries {
		f.restart(i)
	}
	return f
}

// restart replaces the process of an entry.
func (f *fleetBudget) restart(i int) {
	share := f.extra / float64(len(f.entries))
	f.entries[i] = NewBudget(BudgetConfig{Ratio: f.ratio, Reserve: share, Cap: share, NoRefill: true, ReserveAt: ReserveAt(f.now, budgetWindow)})
}

// request sends a request through an entry, and retries it as often as wanted and allowed.
func (f *fleetBudget) request(i, retries int) (made int) {
	f.requests = append(f.requests, f.now)
	f.entries[i].Success()
	for made < retries && f.entries[i].Spend(f.now) {
		made++
		f.retries = append(f.retries, later(f.now, f.heldUntil))
	}
	return made
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// excess returns by how much the retries of any window exceed the budget at most.
func (f *fleetBudget) excess() (most float64) {
	before := func(list []time.Time, at time.Time) int {
		n, _ := slices.BinarySearchFunc(list, at.Add(1), time.Time.Compare)
		return n
	}
	within := func(list []time.Time, end time.Time) int {
		return before(list, end) - before(list, end.Add(-budgetWindow))
	}
	for _, end := range f.retries {
		most = max(most, float64(within(f.retries, end))-f.ratio*float64(within(f.requests, end))-f.extra)
	}
	return most
}

func TestRetriesOfAllLivesOfAllEntriesStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleetBudget(1+rng.IntN(8), 0.05+0.3*rng.Float64(), 10+float64(rng.IntN(50)))
		restarts, wanted := rng.Float64()*0.02, rng.Float64()*2
		for range 1500 {
			f.now = f.now.Add(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
			i := rng.IntN(len(f.entries))
			if rng.Float64() < restarts {
				f.restart(i)
			}
			if rng.IntN(200) == 0 { // the load and the share of failing requests change
				wanted = rng.Float64() * 2
			}
			f.request(i, int(wanted+rng.Float64()))
		}
		assert.Assert(t, f.excess() <= 1e-6, "seed %d: %.2f beyond the budget", seed, f.excess())
	}
}

// A tenth of the requests need a retry when all entries have just restarted.
func TestRestartedEntriesCanStillRetry(t *testing.T) {
	f := newFleetBudget(5, 0.16, 85)
	rng := rand.New(rand.NewPCG(1, 2))
	wanted, made := 0, 0
	for range 1000 {
		f.now = f.now.Add(5 * time.Millisecond)
		n := 0
		if rng.IntN(10) == 0 {
			n = 1
		}
		wanted += n
		made += f.request(rng.IntN(5), n)
	}
	assert.Assert(t, float64(made) >= 0.9*float64(wanted), "%d of %d retries", made, wanted)
}

func TestReserveIsAddedOnceTheWindowHasPassedForAll(t *testing.T) {
	f := newFleetBudget(1, 0.1, 8)
	assert.Equal(t, f.request(0, 10), 0)
	f.now = f.now.Add(budgetWindow + shareDelay - 1)
	assert.Equal(t, f.request(0, 10), 0)
	f.now = f.now.Add(1)
	assert.Equal(t, f.request(0, 10), 8)
}

// From one moment on all requests want a retry, and for as long as what is sent may still be delivered
// nothing arrives; then all of it does.
func TestRetriesThatArriveLateStayWithinTheBudget(t *testing.T) {
	const ratio, extra, entries = 0.2, 106.0, 5
	const failing, deliveryTimeout = 20 * time.Second, 3 * time.Second
	for _, perS := range []int{50, 200, 600, 5000} {
		f := newFleetBudget(entries, ArrivalRatio(ratio, budgetWindow, deliveryTimeout), 0.8*extra)
		begin := f.now
		f.heldUntil = begin.Add(failing + deliveryTimeout)
		for i := range 40 * perS {
			f.now = begin.Add(time.Duration(i) * time.Second / time.Duration(perS))
			retries := 0
			if f.now.Sub(begin) >= failing {
				retries = 1
			}
			f.request(i%entries, retries)
		}
		f.ratio, f.extra = ratio, extra
		assert.Check(t, f.excess() <= 0, "%d requests/s: %.0f beyond the budget", perS, f.excess())
	}
}

// A fleet doubles, and all requests want a retry: those of a burst before its earlier entries have counted
// the new ones, and those of a burst that comes one window after the new ones started.
func TestRetriesOfEntriesThatJoinStayWithinTheBudget(t *testing.T) {
	const ratio, extra, before, after = 0.2, 106.0, 5, 10
	f := newFleetBudget(before, ArrivalRatio(ratio, budgetWindow, 3*time.Second), 0.8*extra)
	f.now = f.now.Add(time.Minute)
	started := f.now
	for i := before; i < after; i++ {
		f.entries = append(f.entries, nil)
		f.restart(i)
	}
	burst := func(at time.Duration, requests int, entries []int) {
		f.now = started.Add(at)
		for i := range requests {
			f.request(entries[i%len(entries)], 1)
		}
	}
	burst(time.Second, 100, []int{0, 1, 2, 3, 4})
	for _, b := range f.entries {
		b.Resize(0.8 * extra / after)
	}
	burst(budgetWindow+time.Second/2, 50, []int{5, 6, 7, 8, 9})
	f.ratio, f.extra = ratio, extra
	assert.Check(t, f.excess() <= 0, "%.0f beyond the budget", f.excess())
}

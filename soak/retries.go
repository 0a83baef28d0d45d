package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Entries are restarted together, several times in a row, while most targets refuse requests.
const (
	refusingRestarts        = 4
	refusingRestartInterval = 1500 * time.Millisecond
	refusingShare           = 0.75 // probability with which a target refuses
)

// restartWhileTargetsRefuse kills and restarts all entries several times while targets refuse
// requests, so that each entry would retry all of them.
func restartWhileTargetsRefuse(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var refusing []*atomic.Bool
	for _, t := range f.targets() {
		if rng.Float64() < refusingShare {
			f.markTargetFaulty(t, refusingRestarts*refusingRestartInterval+settleTime)
			refusing = append(refusing, &t.Faults.Refuse)
		}
	}
	setAll(refusing, true)
	defer setAll(refusing, false)
	for range refusingRestarts {
		var all sync.WaitGroup
		for _, e := range f.entries {
			all.Go(func() { f.restart(e, 0, true) })
		}
		all.Wait()
		time.Sleep(refusingRestartInterval)
	}
}

// overRetryBudget returns the first violation of each service's retry budget. Within a sliding
// window, a service may receive fake.RetryRatio retries for each of its requests, plus extra.
func overRetryBudget(attempts []Attempt, facts Facts, extra int) []Violation {
	kindOf, sent := map[string]string{}, map[bool][]time.Duration{}
	byID := map[string]Attempt{}
	for _, a := range attempts {
		byID[a.ID], kindOf[a.ID] = a, a.Kind
		sent[a.Kind == fake.KindStreaming] = append(sent[a.Kind == fake.KindStreaming], a.Sent)
	}
	var out []Violation
	for _, streaming := range []bool{false, true} { // engines and plain targets are one service each
		slices.Sort(sent[streaming])
		var window []Arrival
		for _, r := range facts.retries(func(id string) bool { return kindOf[id] != "" && (kindOf[id] == fake.KindStreaming) == streaming }) {
			window = append(window, r)
			for r.At-window[0].At >= fake.RetryWindow {
				window = window[1:]
			}
			if len(window) > int(fake.RetryRatio*float64(requestsAround(sent[streaming], r.At)))+extra {
				out = append(out, Violation{InvariantRetryBudget, byID[r.Request], facts.Reached[r.Request], 0})
				break
			}
		}
	}
	return out
}

// retries returns the arrivals at targets beyond the first one of each matching request, in order.
func (f Facts) retries(matches func(id string) bool) []Arrival {
	var all, out []Arrival
	for _, list := range f.Arrivals {
		for _, a := range list {
			if matches(a.Request) {
				all = append(all, a)
			}
		}
	}
	slices.SortFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	seen := map[string]bool{}
	for _, a := range all {
		if seen[a.Request] {
			out = append(out, a)
		}
		seen[a.Request] = true
	}
	return out
}

// requestsAround returns the number of requests sent in the window that ends at a time, in the
// window before it, or in the one half a window before it, whichever is highest.
func requestsAround(sent []time.Duration, at time.Duration) (most int) {
	before := func(t time.Duration) int {
		n, _ := slices.BinarySearch(sent, t+1)
		return n
	}
	for _, end := range []time.Duration{at, at - fake.RetryWindow/2, at - fake.RetryWindow} {
		most = max(most, before(end)-before(end-fake.RetryWindow))
	}
	return most
}

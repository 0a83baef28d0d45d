package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of the long faults, which combine several events.
const (
	// cutMin and cutMax bound how long the entries' links to the store are broken: longer
	// than an entry keeps following (copying the store's content from) another entry whose
	// copy is not confirmed by the store.
	cutMin = 2 * time.Second
	cutMax = 6 * time.Second
	// configInterval is the mean time between configurations that are published while these
	// links are broken. It is long enough for propagationBound to pass for a configuration
	// before recentKeys newer ones are written.
	configInterval = 1200 * time.Millisecond
	// leaveMin and leaveMax bound how long a target serves after it is marked as leaving.
	leaveMin = 4 * time.Second
	leaveMax = 6 * time.Second
	// lateOrderMin and lateOrderMax bound how long after its arrival a delayed order is
	// executed: after the agent has stopped waiting for the response, which it does after
	// 0.5 s.
	lateOrderMin = 1 * time.Second
	lateOrderMax = 4 * time.Second
	// versionInterval is the mean time between two versions that are published while orders
	// are delayed; lateVersions is their number. Engines change to a version one after
	// another, the first at once and the last after a few seconds.
	versionInterval = 2 * time.Second
	lateVersions    = 3
	// reorderDuration is how long responses of the store are reordered; one target in
	// reorderLeaveOneIn leaves meanwhile. serveAfterLeaving is how long targets keep serving
	// after the responses are in order again or, in leaveDomainAfterCut, after the targets
	// leave: until all entries have been able to reach the store again for some time.
	reorderDuration   = 4 * time.Second
	reorderLeaveOneIn = 3
	serveAfterLeaving = storeReachableWindow + 4*time.Second
	// silentCutDuration is how long one entry in silentCutOneIn is disconnected from the
	// store before targets leave; configsMissed configurations are written meanwhile.
	silentCutDuration = 6 * time.Second
	silentCutOneIn    = 3
	configsMissed     = 3
	// unannouncedOneIn: one leaving target in this many is removed from the store without
	// being marked as leaving.
	unannouncedOneIn = 3
)

// longFaults are the kinds of fault that determine their own duration.
var longFaults = []fault{{"links to the store", cutStoreLinks}, {"target leaves", targetLeaves}, {"orders late", delayOrders},
	{"news overtaken", reorderStoreResponses}, {"domain leaves after a cut", leaveDomainAfterCut}}

// randomDuration returns a random duration in [from, to).
func randomDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// randomFaultMode returns a random mode other than LinkHealthy.
func randomFaultMode(rng *rand.Rand) LinkMode { return LinkMode(1 + rng.IntN(linkModes-1)) }

// randomCutMode returns a random mode in which no round trip succeeds, not even on
// connections that are already open.
func randomCutMode(rng *rand.Rand) LinkMode {
	return pick(rng, []LinkMode{LinkReset, LinkSilent, LinkOneWay})
}

// breakStoreLink breaks an entry's link to the store for d.
func (f *Fleet) breakStoreLink(i int, m LinkMode, d time.Duration) {
	f.entries[i].reachability.faultBegan()
	defer f.entries[i].reachability.faultEnded()
	f.storeLinks[i].Break(m, d)
}

// awaitStoreReachable waits until all entries can reach the store, at most for
// storeReachableWindow. Few invariants apply to entries that cannot reach the
// store.
func (f *Fleet) awaitStoreReachable() {
	unreachable := func(p *Process) bool { return !f.storeReachable(p) }
	for end := time.Now().Add(storeReachableWindow); slices.ContainsFunc(f.entries, unreachable) && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
}

// cutStoreLinks disconnects some entries, in most cases all but one, from the store while
// configurations change.
func cutStoreLinks(f *Fleet, rng *rand.Rand, _ time.Duration) {
	n := len(f.storeLinks)
	if n < 2 {
		return
	}
	f.awaitStoreReachable()
	size := n - 1
	if rng.IntN(4) == 0 {
		size = 1 + rng.IntN(n-1)
	}
	d := randomDuration(rng, cutMin, cutMax)
	var cuts sync.WaitGroup
	for _, i := range rng.Perm(n)[:size] {
		m := randomCutMode(rng)
		f.logf("%s disconnected from the store for %v, mode %d", f.entries[i].node.Name, d.Round(time.Millisecond), m)
		cuts.Go(func() { f.breakStoreLink(i, m, d) })
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(randomDuration(rng, configInterval/2, configInterval*3/2))
		f.nextConfig()
	}
	cuts.Wait()
}

// targetLeaves marks a target as leaving, lets it serve for some time and replaces it.
func targetLeaves(f *Fleet, rng *rand.Rand, _ time.Duration) {
	t, d := pick(rng, f.targets()), randomDuration(rng, leaveMin, leaveMax)
	incarnation := t.StartDraining()
	f.recorder.recordLeaving(incarnation)
	f.logf("%s is marked as leaving, serves for %v", incarnation, d.Round(time.Millisecond))
	time.Sleep(d)
	f.markTargetFaulty(t, settleTime)
	t.Replace(incarnation)
}

// delayOrders makes engines execute orders late and without responding while several
// versions are published.
func delayOrders(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var flags []*atomic.Bool
	for _, e := range f.engines {
		if rng.IntN(2) == 0 {
			flags = append(flags, &e.Faults.DelayOrders)
		}
	}
	setAll(flags, true)
	for range lateVersions {
		f.nextVersion()
		time.Sleep(randomDuration(rng, versionInterval/2, versionInterval*3/2))
	}
	setAll(flags, false)
}

// reorderStoreResponses reorders responses of the store while engines change to a new
// version, an entry restarts, the store discards its history and targets leave, some
// without being marked as leaving. These targets keep serving until the entries can reach
// the store again.
func reorderStoreResponses(f *Fleet, rng *rand.Rand, _ time.Duration) {
	targets := append(slices.Clone(f.engines), f.plainTargets[1:]...) // one plain target stays
	var leaving sync.WaitGroup
	f.reachability.faultBegan()
	f.store.SetMode(fake.StoreReorder)
	end := time.Now().Add(reorderDuration)
	f.nextVersion()
	for _, i := range rng.Perm(len(targets))[:len(targets)/reorderLeaveOneIn] {
		t, after, unannounced := targets[i], randomDuration(rng, 0, reorderDuration), rng.IntN(2) == 0
		leaving.Go(func() { f.leaveAndReplace(t, after, unannounced, end.Add(serveAfterLeaving)) })
	}
	entry, killAfter, compactAfter := pick(rng, f.entries), randomDuration(rng, 0, reorderDuration/2), randomDuration(rng, 0, reorderDuration)
	leaving.Go(func() {
		time.Sleep(killAfter)
		f.restart(entry, time.Second, true)
	})
	leaving.Go(func() {
		time.Sleep(compactAfter)
		f.store.Compact()
	})
	time.Sleep(time.Until(end))
	f.store.SetMode(fake.StoreHealthy)
	f.reachability.faultEnded()
	leaving.Wait()
}

// leaveAndReplace makes a target leave after a delay, lets it serve until the given time
// and replaces it. If unannounced, the target is removed from the store without being
// marked as leaving.
func (f *Fleet) leaveAndReplace(t *fake.Target, after time.Duration, unannounced bool, until time.Time) {
	time.Sleep(after)
	leave, how := t.StartDraining, "is marked as leaving"
	if unannounced {
		leave, how = t.Unlist, "is removed without being marked as leaving"
	}
	incarnation := leave()
	f.recorder.recordLeaving(incarnation)
	f.logf("%s %s", incarnation, how)
	time.Sleep(time.Until(until))
	f.markTargetFaulty(t, settleTime)
	t.Replace(incarnation)
}

// leaveDomainAfterCut blocks some entries' links to the store without closing connections
// while configurations are published. Once the entries can reach the store again, some
// engines of one failure domain leave, and some of these without being marked as leaving.
func leaveDomainAfterCut(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var cuts sync.WaitGroup
	for _, i := range rng.Perm(len(f.storeLinks))[:max(1, len(f.storeLinks)/silentCutOneIn)] {
		cuts.Go(func() { f.breakStoreLink(i, LinkSilent, silentCutDuration) })
	}
	for range configsMissed {
		time.Sleep(randomDuration(rng, 0, configInterval/2))
		f.nextConfig()
	}
	cuts.Wait()
	time.Sleep(storeReachableWindow)
	domain := rng.IntN(len(domains))
	until := time.Now().Add(serveAfterLeaving)
	var leaving sync.WaitGroup
	for i, t := range f.engines {
		if i%len(domains) == domain && rng.IntN(2) == 0 {
			unannounced := rng.IntN(unannouncedOneIn) == 0
			leaving.Go(func() { f.leaveAndReplace(t, 0, unannounced, until) })
		}
	}
	leaving.Wait()
}

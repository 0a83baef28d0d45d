package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Shape of the long faults, which need something else to happen meanwhile.
const (
	// cutFrom and cutTo bound how long the entries' links to the store are broken:
	// longer than a copy that is followed may have been without the store.
	cutFrom = 2 * time.Second
	cutTo   = 6 * time.Second
	// configsEach is the mean time between configurations meanwhile: the bound of one
	// is over before keysTried others came.
	configsEach = 1200 * time.Millisecond
	// leaveFrom and leaveTo bound how long a target serves after it said that it
	// leaves.
	leaveFrom = 4 * time.Second
	leaveTo   = 6 * time.Second
	// lateFrom and lateTo bound how long after its arrival a late order is taken up.
	// An agent gives an order up after 2 s; those taken up later matter.
	lateFrom = 1 * time.Second
	lateTo   = 4 * time.Second
	// versionsEach is the mean time between versions while orders are late. Engines
	// take turns at a version, the first at once and the last after a few seconds.
	versionsEach = 2 * time.Second
	lateVersions = 3
	// overtakenFor is how long answers of the store overtake each other; one target in
	// leaversOf leaves meanwhile. lingerFor is how long these serve on after that: until
	// all entries have been in touch again for a while.
	overtakenFor = 4 * time.Second
	leaversOf    = 3
	lingerFor    = touchFor + 4*time.Second
	// silentFor is how long one entry in silencedOf is cut off from the store before
	// targets leave; configsMissed are written meanwhile.
	silentFor     = 6 * time.Second
	silencedOf    = 3
	configsMissed = 3
	// wordlessOf is one in how many targets leaves without a word.
	wordlessOf = 3
)

// longFaults last for a time of their own.
var longFaults = []fault{{"links to the store", cutReaders}, {"target leaves", targetLeaves}, {"orders late", ordersLate},
	{"news overtaken", newsOvertaken}, {"domain leaves after a cut", domainLeaves}}

// between returns a random time.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// anyMode returns one of the ways in which a link misbehaves.
func anyMode(rng *rand.Rand) LinkMode { return LinkMode(1 + rng.IntN(linkModes-1)) }

// cutMode returns one of the ways in which nothing gets through a link and back,
// also on connections that are open.
func cutMode(rng *rand.Rand) LinkMode {
	return pick(rng, []LinkMode{LinkReset, LinkSilent, LinkOneWay})
}

// cutEntry breaks an entry's link to the store.
func (f *Fleet) cutEntry(i int, m LinkMode, d time.Duration) {
	f.entries[i].contact.lose()
	defer f.entries[i].contact.regain()
	f.links[i].Break(m, d)
}

// awaitTouch waits until all entries are in touch with the store, at most for
// touchFor. What happens to entries out of touch proves little.
func (f *Fleet) awaitTouch() {
	out := func(p *Process) bool { return !f.inTouch(p) }
	for end := time.Now().Add(touchFor); slices.ContainsFunc(f.entries, out) && time.Now().Before(end); {
		time.Sleep(heldPoll)
	}
}

// cutReaders cuts some entries, and mostly all but one, off from the store, while
// configurations change.
func cutReaders(f *Fleet, rng *rand.Rand, _ time.Duration) {
	n := len(f.links)
	if n < 2 {
		return
	}
	f.awaitTouch()
	size := n - 1
	if rng.IntN(4) == 0 {
		size = 1 + rng.IntN(n-1)
	}
	d := between(rng, cutFrom, cutTo)
	var cuts sync.WaitGroup
	for _, i := range rng.Perm(n)[:size] {
		m := cutMode(rng)
		f.logf("%s cut off from the store for %v, mode %d", f.entries[i].node.Name, d.Round(time.Millisecond), m)
		cuts.Go(func() { f.cutEntry(i, m, d) })
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(between(rng, configsEach/2, configsEach*3/2))
		f.nextConfig()
	}
	cuts.Wait()
}

// targetLeaves makes a target say that it leaves, serve on and be replaced.
func targetLeaves(f *Fleet, rng *rand.Rand, _ time.Duration) {
	t, d := pick(rng, f.targets()), between(rng, leaveFrom, leaveTo)
	instance := t.StartDraining()
	f.notes.leaves(instance)
	f.logf("%s leaves for %v", instance, d.Round(time.Millisecond))
	time.Sleep(d)
	f.troubleTarget(t, aftermath)
	t.Replace(instance)
}

// ordersLate makes engines take up orders late and without an answer, while
// versions follow each other.
func ordersLate(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var flags []*atomic.Bool
	for _, e := range f.engines {
		if rng.IntN(2) == 0 {
			flags = append(flags, &e.Faults.DelayOrders)
		}
	}
	setAll(flags, true)
	for range lateVersions {
		f.nextVersion()
		time.Sleep(between(rng, versionsEach/2, versionsEach*3/2))
	}
	setAll(flags, false)
}

// newsOvertaken lets answers of the store overtake each other while engines change to a
// new version, entries start, the history goes and targets leave, some without a word.
// The targets serve on until the entries are in touch again.
func newsOvertaken(f *Fleet, rng *rand.Rand, _ time.Duration) {
	targets := append(slices.Clone(f.engines), f.plains[1:]...) // one plain target stays
	var leaving sync.WaitGroup
	f.contact.lose()
	f.store.SetMode(fake.StoreReorder)
	end := time.Now().Add(overtakenFor)
	f.nextVersion()
	for _, i := range rng.Perm(len(targets))[:len(targets)/leaversOf] {
		t, after, silent := targets[i], between(rng, 0, overtakenFor), rng.IntN(2) == 0
		leaving.Go(func() { f.leaveAmid(t, after, silent, end.Add(lingerFor)) })
	}
	entry, killedAfter, forgetAfter := pick(rng, f.entries), between(rng, 0, overtakenFor/2), between(rng, 0, overtakenFor)
	leaving.Go(func() {
		time.Sleep(killedAfter)
		f.restart(entry, time.Second, true)
	})
	leaving.Go(func() {
		time.Sleep(forgetAfter)
		f.store.Compact()
	})
	time.Sleep(time.Until(end))
	f.store.SetMode(fake.StoreHealthy)
	f.contact.regain()
	leaving.Wait()
}

// leaveAmid makes a target leave after a time, serve on until another and be replaced.
func (f *Fleet) leaveAmid(t *fake.Target, after time.Duration, silent bool, until time.Time) {
	time.Sleep(after)
	leave, how := t.StartDraining, "leaves"
	if silent {
		leave, how = t.Unlist, "leaves without a word"
	}
	instance := leave()
	f.notes.leaves(instance)
	f.logf("%s %s", instance, how)
	time.Sleep(time.Until(until))
	f.troubleTarget(t, aftermath)
	t.Replace(instance)
}

// domainLeaves cuts some entries off from the store without a word, while configurations
// follow each other. Once they are in touch again, targets of one failure domain leave,
// some of them without a word.
func domainLeaves(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var cuts sync.WaitGroup
	for _, i := range rng.Perm(len(f.links))[:max(1, len(f.links)/silencedOf)] {
		cuts.Go(func() { f.cutEntry(i, LinkSilent, silentFor) })
	}
	for range configsMissed {
		time.Sleep(between(rng, 0, configsEach/2))
		f.nextConfig()
	}
	cuts.Wait()
	time.Sleep(touchFor)
	domain := rng.IntN(len(domains))
	until := time.Now().Add(lingerFor)
	var leaving sync.WaitGroup
	for i, t := range f.engines {
		if i%len(domains) == domain && rng.IntN(2) == 0 {
			silent := rng.IntN(wordlessOf) == 0
			leaving.Go(func() { f.leaveAmid(t, 0, silent, until) })
		}
	}
	leaving.Wait()
}

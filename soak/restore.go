package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of the restore of the store from an older copy of itself.
const (
	// restoreAgeMin and restoreAgeMax bound how old the copy is.
	restoreAgeMin = 1 * time.Second
	restoreAgeMax = 5 * time.Second
	// restoreLeadMin and restoreLeadMax bound for how long targets have written their entries
	// before.
	restoreLeadMin = 2 * time.Second
	restoreLeadMax = 6 * time.Second
	// restoreAwayMax bounds how long the store is away before.
	restoreAwayMax = 1 * time.Second
	// rewriteMin and rewriteMax bound how long after the restore targets and operators write
	// again what the store has lost.
	rewriteMin = 100 * time.Millisecond
	rewriteMax = 2 * time.Second
	// restoreAgainOneIn: one store in this many is restored a second time, within
	// restoreAgainMax of the first.
	restoreAgainOneIn = 3
	restoreAgainMax   = 3 * time.Second
	// heartbeatInterval is the time between two writes of a target's entry.
	heartbeatInterval = time.Second
)

// Restore is a restore of the store. Informed are the incarnations of entries that had been
// able to reach the store for storeReachableWindow when it went away.
type Restore struct {
	Began    time.Duration
	Informed map[string]bool
}

// restoreStore restores the store from an older copy, sometimes twice, while targets write
// their entries periodically. Before that, configurations are published and one target leaves;
// while what is lost is written again, a configuration and a version are published and another
// target leaves.
func restoreStore(f *Fleet, rng *rand.Rand, _ time.Duration) {
	lead, pause := randomDuration(rng, restoreLeadMin, restoreLeadMax), randomDuration(rng, 0, restoreAgainMax)
	restores := 1
	if rng.IntN(restoreAgainOneIn) == 0 {
		restores = 2
	}
	settled := time.Now().Add(lead + pause + time.Duration(restores)*(restoreAwayMax+rewriteMax))
	targets := append(slices.Clone(f.engines[1:]), f.plainTargets[1:]...) // one engine and one plain target stay
	leaving := rng.Perm(len(targets))[:2]
	leave := func(i int, after time.Duration, unannounced bool) {
		f.leaveAndReplace(targets[leaving[i]], after, unannounced, settled.Add(serveAfterLeaving))
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, t := range f.targets() {
		running.Go(func() { heartbeat(ctx, t) })
	}
	var changes sync.WaitGroup
	unannounced := rng.IntN(2) == 0
	changes.Go(func() { leave(0, 0, unannounced) })
	f.publishConfigs(rng, time.Now().Add(lead))
	for n := range restores {
		if n > 0 {
			time.Sleep(pause)
		}
		f.recordRestore()
		f.reachability.faultBegan()
		writeAgain := f.restoreOlder(rng)
		changes.Go(func() {
			writeAgain()
			f.reachability.faultEnded()
		})
	}
	after, unannounced := randomDuration(rng, 0, rewriteMax), rng.IntN(2) == 0
	changes.Go(func() { leave(1, after, unannounced) })
	for _, publish := range []func(){f.nextConfig, f.nextVersion} {
		after := randomDuration(rng, 0, rewriteMax)
		changes.Go(func() {
			time.Sleep(after)
			publish()
		})
	}
	changes.Wait()
	stop()
	running.Wait()
}

// heartbeat lets a target write its entry periodically.
func heartbeat(ctx context.Context, t *fake.Target) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.Heartbeat()
		case <-ctx.Done():
			return
		}
	}
}

// publishConfigs publishes configurations until a time.
func (f *Fleet) publishConfigs(rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		f.nextConfig()
		time.Sleep(min(randomDuration(rng, configInterval/2, configInterval*3/2), time.Until(until)))
	}
}

// restoreOlder takes the store away and restores it from an older copy. It returns a function
// that writes all that is lost again.
func (f *Fleet) restoreOlder(rng *rand.Rand) (writeAgain func()) {
	age, away := randomDuration(rng, restoreAgeMin, restoreAgeMax), randomDuration(rng, 0, restoreAwayMax)
	f.store.GoAway()
	copied := time.Now().Add(-age)
	time.Sleep(away)
	from, to := f.store.Revision(), max(f.store.RevisionAt(copied), f.firstRevision)
	lost := f.store.Restore(to)
	f.store.ComeBack()
	f.logf("store restored after %v: from revision %d to %d, lost changes of %v", away.Round(time.Millisecond), from, to, lost)
	delays := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	return func() {
		var writing sync.WaitGroup
		for _, key := range lost {
			after := randomDuration(delays, rewriteMin, rewriteMax)
			writing.Go(func() {
				time.Sleep(after)
				f.writeAgain(key)
			})
		}
		writing.Wait()
	}
}

// writeAgain writes a key again that the store has lost: a target registers, all else is
// written as it was.
func (f *Fleet) writeAgain(key string) {
	if i := slices.IndexFunc(f.targets(), func(t *fake.Target) bool { return t.Key() == key }); i >= 0 {
		f.targets()[i].Heartbeat()
	}
	f.store.WriteAgain(key)
}

// recordRestore records a restore that is about to begin.
func (f *Fleet) recordRestore() {
	informed := map[string]bool{}
	for _, e := range f.entries {
		if f.storeReachable(e) {
			informed[e.Incarnation()] = true
		}
	}
	r := f.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restores = append(r.restores, Restore{r.elapsed(), informed})
}

// wentBack reports whether an entry that was informed before a restore of the store did
// not heed what the store had acknowledged more than propagationBound before that. It
// does not matter whether the entry can reach the store since then, nor what the restored
// store says.
func (f Facts) wentBack(a Attempt) bool {
	for _, r := range f.Restores {
		known := func(at time.Duration) bool { return r.Began-at > propagationBound }
		if r.Informed[a.Incarnation] && a.Sent > r.Began && (f.usedOldConfig(a, known) || f.sentToGone(a, known)) {
			return true
		}
	}
	return false
}

// usedOldConfig reports whether an entry accepted a rotating key that a configuration had
// taken away, or denied one that none had taken away yet. Only known configurations count.
func (f Facts) usedOldConfig(a Attempt, known func(time.Duration) bool) bool {
	if a.Key <= 0 {
		return false
	}
	added, wasAdded := f.Configs[a.Key]
	removed, wasRemoved := f.Configs[a.Key+1]
	switch a.Status {
	case http.StatusOK:
		return wasRemoved && known(removed.Done)
	case http.StatusUnauthorized:
		return wasAdded && known(added.Done) && (!wasRemoved || a.Answered < removed.Began)
	}
	return false
}

// sentToGone reports whether a request reached a target that is known to have left.
func (f Facts) sentToGone(a Attempt, known func(time.Duration) bool) bool {
	since, ok := f.leavingSince(a.ID)
	return ok && known(since)
}

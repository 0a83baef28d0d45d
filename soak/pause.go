package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of targets that pause.
const (
	// pauseMin and pauseMax bound a pause: longer than an entry waits before it looks for
	// another target, and short enough for a response within callDeadline.
	pauseMin = 1000 * time.Millisecond
	pauseMax = 1600 * time.Millisecond
	// pauseInterval is the mean time between two rounds of pauses, in which the requests that
	// the first one delayed are answered.
	pauseInterval   = 1500 * time.Millisecond
	pauseRounds     = 5
	configsPerPause = 3 // configurations written in each round
)

// pauseTargets makes targets pause while configurations change in quick succession. In each
// round the engines, the plain targets, or both pause at once: all of them or half. Targets
// that pause are not faulty.
func pauseTargets(f *Fleet, rng *rand.Rand, _ time.Duration) {
	for range pauseRounds {
		targets := pick(rng, [][]*fake.Target{f.engines, f.plainTargets, f.targets()})
		n := pick(rng, []int{len(targets), (len(targets) + 1) / 2})
		var pausing sync.WaitGroup
		for _, i := range rng.Perm(len(targets))[:n] {
			d := randomDuration(rng, pauseMin, pauseMax)
			f.logf("%s pauses for %v", targets[i].Incarnation(), d.Round(time.Millisecond))
			pausing.Go(func() { targets[i].Pause(d) })
		}
		for range configsPerPause {
			time.Sleep(randomDuration(rng, 0, pauseMin/configsPerPause))
			f.nextConfig()
		}
		pausing.Wait()
		time.Sleep(randomDuration(rng, pauseInterval/2, pauseInterval*3/2))
	}
}

// unansweredAtSoundTarget reports whether a request that a target ran ended without a
// complete response before its deadline, although its entry and the targets that it reached
// had no fault and none of these was leaving.
func (f Facts) unansweredAtSoundTarget(a Attempt) bool {
	_, left := f.leavingSince(a.ID)
	return a.Undisturbed && !left && len(f.Runs[a.ID]) > 0 && a.Answered-a.Sent < callDeadline &&
		(a.Status != http.StatusOK || a.Truncated)
}

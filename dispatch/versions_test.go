package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// Guards against deadlines of versions that are forgotten when newer versions follow within them.
func TestDeadlinesHoldWhileVersionsFollowQuickly(t *testing.T) {
	const timeout = 8 * time.Second
	start := time.Unix(1000, 0)
	for _, interval := range []time.Duration{800 * time.Millisecond, 100 * time.Millisecond, 5 * time.Millisecond} {
		b := newTestBalancer(engineModel(), Config{VersionTimeout: timeout}, engine(1, 1))
		last := 0
		for n := 2; start.Add(time.Duration(n-2) * interval).Before(start.Add(2 * timeout)); n++ {
			now := start.Add(time.Duration(n-2) * interval)
			b.SetVersion(fleet.VersionTarget{Model: "m", Version: n}, now)
			last = n
			expiry := b.versions["m"].expiresAt(1, timeout)
			assert.Assert(t, !expiry.After(start.Add(timeout)) || !expiry.After(now), "%v: version %d", interval, n)
		}
		assert.Assert(t, len(b.versions["m"]) <= maxVersions, "%d versions kept", len(b.versions["m"]))
		slack := 2 * timeout / (maxVersions / 4) // by which deadlines come early if too many are to be kept
		end := start.Add(time.Duration(last-2) * interval)
		for v := 2; v < last; v++ {
			want := start.Add(time.Duration(v-1)*interval + timeout)
			if want.Before(end) {
				continue // versions that have expired need no deadline of their own
			}
			got := b.versions["m"].expiresAt(v, timeout)
			assert.Assert(t, !got.After(want), "%v: version %d expires %v late", interval, v, got.Sub(want))
			assert.Assert(t, !got.Before(want.Add(-slack)), "%v: version %d expires %v early", interval, v, want.Sub(got))
		}
		due := b.versions["m"].due(end, timeout)
		assert.Assert(t, due > 0 && due < last)
	}
}

// Versions may be recorded in any order, and their times may be corrected.
func TestOldVersionsAreDroppedOnlyWhenSuperseded(t *testing.T) {
	const timeout = 8 * time.Second
	start := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(7, 1))
	b := newTestBalancer(engineModel(), Config{VersionTimeout: timeout}, engine(1, 1))
	for _, n := range rng.Perm(30) {
		b.SetVersion(fleet.VersionTarget{Model: "m", Version: n + 2}, start.Add(time.Duration(n)*250*time.Millisecond))
	}
	assert.Equal(t, b.versions["m"].expiresAt(1, timeout), start.Add(timeout))
	assert.Equal(t, b.versions["m"].due(start.Add(timeout+time.Second), timeout), 6)
}

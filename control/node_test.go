package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/intent"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func waitFor(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Only the readers watch the platform and the other processes receive revisions
// from peers, so the number of platform calls per revision is bounded. The test
// runs in virtual time, because a process that was paused for longer than
// PauseThreshold reads the platform by design, and on a busy machine many
// processes are paused for that long.
func TestPlatformCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetInMemory(t, 40, 40, 2)
		defer f.close()
		f.publish(t, 40, 0)
		waitFor(t, "6 readers are selected", func() bool { return f.readers() == 6 })
		before, _ := f.platform.Calls()
		f.publish(t, 40, 1)
		after, peak := f.platform.Calls()
		// Each of the 6 readers, 3 in each of 2 failure domains, may read the head,
		// watch the head again and read the one part.
		assert.Assert(t, after-before <= 6*4, "%d calls for one revision", after-before)
		assert.Assert(t, peak <= 400, "peak of %d calls in one second", peak)
	})
}

func (f *simFleet) readers() int {
	n := 0
	for _, x := range f.nodes {
		if x.Snapshot().Reader {
			n++
		}
	}
	return n
}

// Revisions must come into force while the platform rejects most calls, and after
// the platform was down for a while.
func TestRevisionsWhilePlatformFails(t *testing.T) {
	f := startFleet(t, 12, 12, 3)
	defer f.close()
	f.publish(t, 12, 0)
	f.platform.SetRateLimited(8)
	f.publish(t, 12, 1)
	f.platform.SetRateLimited(0)
	f.platform.SetDown(true)
	before, _ := f.platform.Calls()
	waitFor(t, "calls continue while the platform is down", func() bool {
		now, _ := f.platform.Calls()
		return now > before+5
	})
	revision := f.nodes[0].Snapshot().Revision()
	assert.Equal(t, revision, uint64(2))
	f.platform.SetDown(false)
	f.publish(t, 12, 2)
	for _, n := range f.nodes {
		assert.Equal(t, n.Snapshot().Revision(), uint64(3))
	}
}

// A head below the revision in force comes from a stale replica and must not count
// as a confirmation.
func TestStaleReplicaDoesNotConfirmHead(t *testing.T) {
	f := startFleet(t, 1, 1, 1)
	defer f.close()
	f.publish(t, 1, 0)
	f.publish(t, 1, 1)
	n := f.nodes[0]
	assert.NilError(t, n.loop.Call(func() {
		now, old := time.Now(), n.tracker.Ref()
		old.Revision--
		n.confirmedAt, n.awake = time.Time{}, false
		n.confirmHead(now, old)
		assert.Check(t, n.confirmedAt.IsZero() && !n.awake)
		n.confirmHead(now, n.tracker.Ref())
		assert.Check(t, n.confirmedAt.Equal(now) && n.awake)
	}))
}

// A process that was paused must not act on its state until the head has been
// confirmed again.
func TestPauseIsDetected(t *testing.T) {
	f := startFleet(t, 3, 3, 1)
	defer f.close()
	f.publish(t, 3, 0)
	n := f.nodes[0]
	waitFor(t, "the process is awake", func() bool { return n.Awake(time.Now()) })
	assert.Assert(t, !n.Awake(time.Now().Add(n.cfg.PauseThreshold+tickInterval)), "awake without a tick for longer than the pause threshold")
	pauses := n.count.pauses.Count()
	_ = n.loop.Call(func() {
		n.confirmedAt = time.Time{}
		n.lastTick = time.Now().Add(-time.Minute)
		n.tick(time.Now())
		assert.Check(t, !n.snapshot.Load().Awake)
	})
	assert.Equal(t, n.count.pauses.Count(), pauses+1)
	waitFor(t, "the process has caught up", func() bool { return n.Awake(time.Now()) })
}

// A process that skipped revisions must treat its history of earlier homes as
// incomplete until a peer supplies the missing part.
func TestSkippedRevisionShortensHistory(t *testing.T) {
	n := &Node{cfg: Config{}.applyDefaults(), tracker: intent.NewTracker(time.Minute), historyRequested: map[string]bool{}}
	start := time.Unix(1_800_000_000, 0)
	n.extendHistory(start, 0, 5)
	n.extendHistory(start.Add(time.Second), 5, 6)
	assert.Equal(t, n.knownSince, start)
	n.extendHistory(start.Add(2*time.Second), 6, 9)
	assert.Equal(t, n.knownSince, start.Add(2*time.Second))
	assert.Equal(t, n.knownUpTo, uint64(9))
}

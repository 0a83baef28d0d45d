package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"gotest.tools/v3/assert"
)

// recordBackoff records a response in which a target refused a request and requested a
// back-off.
func recordBackoff(b *Balancer, now time.Time, i *fleet.Instance, d time.Duration) {
	b.RecordStatement(now, *i, notice.Statement{Backoff: d}, now)
}

// A target that refuses every request has no load, which would attract most requests.
func TestTargetInBackoffIsNotChosen(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1), plain(2))
	b.SetLoads("other", map[string]Load{"p-2": {Requests: 5}})
	recordBackoff(b, start, plain(1), 3*time.Second)
	for _, at := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
		assert.Equal(t, picked(b, start.Add(at)), "p-2")
	}
	c, v := b.Pick(start, testService, demand(), []string{"p-2"})
	assert.Equal(t, v, Paced)
	assert.Equal(t, c.FreeAt, start.Add(3*time.Second))
	d := demand()
	d.Standing = Resumed
	_, v = b.Pick(start, testService, d, []string{"p-2"})
	assert.Equal(t, v, Paced, "resumed streams respect the back-off too")
}

// Requests that wait for the end of a target's back-off must not all be sent at once, or all are
// refused again.
func TestSingleProbeAfterBackoff(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1))
	recordBackoff(b, start, plain(1), time.Second)
	now := start.Add(time.Second)
	c, v := b.Pick(now, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	assert.Equal(t, picked(b, now), "paced")
	b.RecordStatement(now.Add(10*time.Millisecond), c.Instance, notice.Statement{}, now)
	assert.Equal(t, picked(b, now.Add(11*time.Millisecond)), "p-1")
	assert.Equal(t, picked(b, now.Add(11*time.Millisecond)), "p-1")
}

func TestBackoffIsNotAFailure(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1), plain(2))
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		c, v := b.Pick(now, testService, demand(), []string{"p-2"})
		assert.Equal(t, v, Chosen)
		recordBackoff(b, now, plain(1), 500*time.Millisecond)
		b.Finish(now, c.Target, Result{})
	}
	assert.Assert(t, !b.byID["p-1"].health.ejected(start.Add(20*time.Second)))
	assert.Equal(t, len(b.SilentTargets(start.Add(20*time.Second))), 0)
}

// A back-off applies only to the entry whose request the target refused; it is not reported to
// other entries.
func TestBackoffIsNotReportedToOtherEntries(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1))
	recordBackoff(b, start, plain(1), time.Second)
	assert.Equal(t, len(b.Reports()), 0)
	assert.Assert(t, b.Reserve(start, "x", "p-1", 1, Admission{MaxWait: time.Hour}).Granted)
}

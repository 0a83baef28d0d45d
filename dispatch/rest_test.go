package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"gotest.tools/v3/assert"
)

// askRest lets an entry hear that a target turned a request away and asked for rest.
func askRest(b *Balancer, now time.Time, i *fleet.Instance, d time.Duration) {
	b.RecordStatement(now, *i, notice.Statement{Rest: d}, now)
}

// A target that turned all requests away had no load, and so got most of them.
func TestTargetThatAskedForRestIsNotChosen(t *testing.T) {
	b := book(nil, Config{}, plain(1), plain(2))
	b.SetLoads("other", map[string]Load{"p-2": {Requests: 5}})
	askRest(b, start, plain(1), 3*time.Second)
	for _, at := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
		assert.Equal(t, picked(b, start.Add(at)), "p-2")
	}
	c, v := b.Pick(start, testService, demand(), []string{"p-2"})
	assert.Equal(t, v, Paced)
	assert.Equal(t, c.FreeAt, start.Add(3*time.Second))
	d := demand()
	d.Standing = Resumed
	_, v = b.Pick(start, testService, d, []string{"p-2"})
	assert.Equal(t, v, Paced, "a resumed stream neither")
}

// All callers that waited for the end of a rest were turned away together.
func TestOneRequestFirstAfterARest(t *testing.T) {
	b := book(nil, Config{}, plain(1))
	askRest(b, start, plain(1), time.Second)
	now := start.Add(time.Second)
	c, v := b.Pick(now, testService, demand(), nil)
	assert.Equal(t, v, Chosen)
	assert.Equal(t, picked(b, now), "paced")
	b.RecordStatement(now.Add(10*time.Millisecond), c.Instance, notice.Statement{}, now)
	assert.Equal(t, picked(b, now.Add(11*time.Millisecond)), "p-1")
	assert.Equal(t, picked(b, now.Add(11*time.Millisecond)), "p-1")
}

func TestRestIsNoFailure(t *testing.T) {
	b := book(nil, Config{}, plain(1), plain(2))
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		c, v := b.Pick(now, testService, demand(), []string{"p-2"})
		assert.Equal(t, v, Chosen)
		askRest(b, now, plain(1), 500*time.Millisecond)
		b.Finish(now, c.Target, Result{})
	}
	assert.Assert(t, !b.byID["p-1"].health.ejected(start.Add(20*time.Second)))
	assert.Equal(t, len(b.SilentTargets(start.Add(20*time.Second))), 0)
}

// Other entries choose for themselves: the target asked one of them.
func TestRestIsNotTold(t *testing.T) {
	b := book(nil, Config{}, plain(1))
	askRest(b, start, plain(1), time.Second)
	assert.Equal(t, len(b.Reports()), 0)
	assert.Assert(t, b.Reserve(start, "x", "p-1", 1, Admission{MaxWait: time.Hour}).Granted)
}

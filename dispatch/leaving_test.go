package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"gotest.tools/v3/assert"
)

// recordLeaving records a response in which a target states that it is leaving.
func recordLeaving(b *Balancer, i *fleet.Instance) {
	b.RecordStatement(start, *i, notice.Statement{Leaving: true}, start)
}

// The list may still show a target as ready for 12 s after the target itself stated that it is
// leaving.
func TestListDoesNotOverrideLeavingStatement(t *testing.T) {
	services := map[string]*fleet.Service{testService: {Name: testService}}
	b := newTestBalancer(nil, Config{}, plain(1), plain(2))
	recordLeaving(b, plain(1))
	older, newer, unlisted := plain(1), plain(1), plain(1)
	newer.Revision, unlisted.Unlisted = 99, true
	for _, i := range []*fleet.Instance{older, newer, unlisted} {
		b.Apply([]*fleet.Instance{i, plain(2)}, services)
		b.UpdateNotices(start)
		assert.Equal(t, picked(b, start, "p-2"), "no_target")
	}
	b.Apply([]*fleet.Instance{plain(2)}, services)
	b.UpdateNotices(start.Add(20 * time.Second))
	b.Apply([]*fleet.Instance{plain(1), plain(2)}, services)
	assert.Equal(t, picked(b, start, "p-2"), "no_target", "its list entry expired and reappeared")
	assert.Equal(t, picked(b, start), "p-2")
}

func TestDrainingInListIsPermanent(t *testing.T) {
	services := map[string]*fleet.Service{testService: {Name: testService}}
	draining := plain(1)
	draining.Draining = true
	b := newTestBalancer(nil, Config{}, draining)
	b.UpdateNotices(start)
	b.Apply([]*fleet.Instance{plain(1)}, services)
	assert.Equal(t, picked(b, start), "no_target")
}

func TestNextIncarnationOfLeavingTargetServes(t *testing.T) {
	first, second := plain(1), plain(1)
	first.StartMs, second.StartMs = 1000, 2000
	b := newTestBalancer(nil, Config{}, first)
	recordLeaving(b, first)
	b.Apply([]*fleet.Instance{second}, map[string]*fleet.Service{testService: {Name: testService}})
	assert.Equal(t, picked(b, start), "p-1")
}

// A home entry that knows that a target is leaving reports this to an entry that does not.
func TestHomeDeniesReservationAtLeavingTarget(t *testing.T) {
	draining := plain(2)
	draining.Draining = true
	b := newTestBalancer(nil, Config{}, plain(1), draining)
	recordLeaving(b, plain(1))
	for _, id := range []string{"p-1", "p-2"} {
		p := b.Reserve(start, "x", id, 1, Admission{MaxWait: time.Hour})
		assert.Assert(t, !p.Granted && p.Report.Leaving, id)
	}
}

// Failures at a target that is leaving are not attributed to its requests.
func TestLeavingTargetIsNotServing(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1))
	c, _ := b.Pick(start, testService, demand(), nil)
	assert.Assert(t, b.Serving(c.Target))
	recordLeaving(b, plain(1))
	assert.Assert(t, !b.Serving(c.Target))
}

package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// fakeRelay fails to read one version.
type fakeRelay struct{ fails int }

func (*fakeRelay) Prefetch(context.Context, string, int, int) {}
func (*fakeRelay) Hold(string, int) bool                      { return true }
func (r *fakeRelay) Failing(_ string, version int) bool       { return version == r.fails }

var (
	assignModel = &fleet.EngineModel{Model: "m", Layers: 16, Chunks: 4}
	assignAgent = peer.Presence{Service: "svc", EngineAddr: "e-1"}
)

func newTestControl(relay Relay) *Control {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := NewControl(ControlOptions{Addr: "entry-1", Config: ControlConfig{VersionTimeout: 8 * time.Second}, Relay: relay, Log: log})
	for _, addr := range []string{"e-1", "e-2"} {
		c.list = append(c.list, &fleet.Instance{ID: addr, Addr: addr, Service: "svc",
			Models: []fleet.ModelVersion{{Model: "m", Version: 1, Layers: 16}}})
	}
	return c
}

// An agent must know each version that is not served by all engines yet: each version has
// its own timeout, and the pieces of the newest may be unavailable.
func TestAgentsReceiveEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestControl(&fakeRelay{})
		c.setAssignment("svc", &assignment{model: assignModel, version: 1, since: time.Now()})
		for v := 2; v <= 5; v++ {
			c.assignVersion("svc", assignModel, v, time.Now(), true)
			time.Sleep(2 * time.Second)
		}
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.Version, 5)
		assert.Equal(t, got.AgeMs, int64(2000))
		assert.Equal(t, got.Turns, 2)
		assert.DeepEqual(t, got.Earlier, []peer.AnnouncedVersion{{Version: 3, AgeMs: 6000}, {Version: 4, AgeMs: 4000}})
		time.Sleep(20 * time.Second)
		got, _ = c.Assignment(assignAgent)
		assert.Equal(t, len(got.Earlier), 0, "their timeouts have expired")
	})
}

// Guards against an entry that receives a version late and takes the time of receipt for
// the time of the announcement. With a 4.6 s delay on its link, an entry sent requests to
// engines with the previous version until 11.3 s after the announcement, where 8 s are
// allowed. Entries therefore exchange the times at which they observed an announcement.
func TestLateVersionTakesTheAgeReportedByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestControl(&fakeRelay{})
		engine := *assignModel
		engine.Slots, engine.StepsPerPass, engine.PrefillRate = 8, 1, 1000
		services := map[string]*fleet.Service{"svc": {Name: "svc", Engine: &engine}}
		c.balancer = dispatch.NewBalancer(dispatch.Config{VersionTimeout: 8 * time.Second}, rand.New(rand.NewPCG(1, 2)))
		c.balancer.Apply(c.list, services)
		announcedAt := time.Now()
		time.Sleep(4600 * time.Millisecond)
		c.balancer.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, time.Now())
		c.assignVersion("svc", assignModel, 2, time.Now(), true)
		_, changed := c.Assignment(assignAgent)
		for _, late := range []time.Duration{0, 20 * time.Millisecond} { // the later report changes nothing
			c.Loads("entry-2", &peer.Loads{Full: true, Versions: []peer.ObservedVersion{
				{Model: "m", Version: 2, AgeMs: (time.Since(announcedAt) - late).Milliseconds()}, {Model: "m", Version: 9, AgeMs: 1}}})
		}
		<-changed
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.AgeMs, int64(4600))
		assert.Assert(t, !got.AgeEstimated)
		assert.DeepEqual(t, c.Announced(time.Now()), []peer.ObservedVersion{{Model: "m", Version: 2, AgeMs: 4600}})
		assert.Assert(t, c.canPick(services), "the timeout of version 2 has not expired yet")
		time.Sleep(time.Until(announcedAt.Add(7100 * time.Millisecond)))
		assert.Assert(t, !c.canPick(services), "no request is sent 0.9 s before the timeout of version 2 expires")
	})
}

// canPick reports whether a request would be sent to an engine that holds version 1.
func (c *Control) canPick(services map[string]*fleet.Service) bool {
	c.balancer.Apply(c.list, services)
	_, verdict := c.balancer.Pick(time.Now(), "svc", dispatch.Demand{}, nil)
	return verdict != dispatch.NoTarget
}

// An entry that started after a version was announced assumes that its timeout has
// expired, until another entry reports an observed time.
func TestEstimatedAgeIsCorrectedByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestControl(&fakeRelay{})
		c.balancer = dispatch.NewBalancer(dispatch.Config{VersionTimeout: 8 * time.Second}, rand.New(rand.NewPCG(1, 2)))
		c.assignVersion("svc", assignModel, 2, time.Now().Add(-8*time.Second), false)
		assert.Equal(t, len(c.Announced(time.Now())), 0, "an estimated time must not be sent")
		c.Loads("entry-2", &peer.Loads{Full: true, Versions: []peer.ObservedVersion{{Model: "m", Version: 2, AgeMs: 1500}}})
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.AgeMs, int64(1500))
		assert.Assert(t, !got.AgeEstimated)
	})
}

func TestOlderVersionIsIgnored(t *testing.T) {
	c := newTestControl(&fakeRelay{})
	now := time.Now()
	c.assignVersion("svc", assignModel, 3, now, true)
	c.assignVersion("svc", assignModel, 2, now, true)
	got, _ := c.Assignment(assignAgent)
	assert.Equal(t, got.Version, 3)
	assert.Equal(t, len(got.Earlier), 0)
}

// Agents are notified when an entry fails to read a version, and when it can read it
// again.
func TestAgentsAreNotifiedOfAnUnreadableVersion(t *testing.T) {
	relay := &fakeRelay{}
	c := newTestControl(relay)
	c.assignVersion("svc", assignModel, 2, time.Now(), true)
	for _, fails := range []int{2, 0} {
		_, changed := c.Assignment(assignAgent)
		relay.fails = fails
		c.updateUnreadable()
		<-changed
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.PiecesUnreadable, fails == 2)
		assert.Equal(t, got.Entry, "entry-1")
	}
	_, changed := c.Assignment(assignAgent)
	c.updateUnreadable()
	select {
	case <-changed:
		t.Fatal("agents were notified although nothing changed")
	default:
	}
}

// An entry that starts during a rollout in turns reads the version before the list of
// engines. It must not assign the version until the engines are known: an agent whose
// engine is the only one in the order loads the version at once, so that a single restart
// of an entry would make all engines load it together.
func TestStartingEntryKeepsTheRolloutOrder(t *testing.T) {
	c := newTestControl(&fakeRelay{})
	list := c.list
	c.list = nil
	c.assignVersion("svc", assignModel, 2, time.Now(), false)
	assigned, changed := c.Assignment(assignAgent)
	assert.Assert(t, assigned == nil, "%+v", assigned)
	c.list = list
	c.updateOrders()
	<-changed
	last, _ := c.Assignment(peer.Presence{Service: "svc", EngineAddr: c.assignments["svc"].order[1]})
	assert.Equal(t, last.Turns, 2)
	assert.Equal(t, last.Turn, 1)
	// Engines that join get a position; agents of the others are not notified.
	_, changed = c.Assignment(assignAgent)
	c.list = append(c.list, &fleet.Instance{ID: "e-3", Addr: "e-3", Service: "svc"})
	c.updateOrders()
	joined, _ := c.Assignment(peer.Presence{Service: "svc", EngineAddr: "e-3"})
	assert.Equal(t, joined.Turns, 3)
	select {
	case <-changed:
		t.Fatal("agents with unchanged positions were notified")
	default:
	}
	// All engines have lost their weights: agents must receive the assignment
	// nevertheless.
	for _, i := range c.list {
		i.Models = nil
	}
	c.updateOrders()
	assigned, _ = c.Assignment(assignAgent)
	assert.Equal(t, assigned.Turns, 3)
}

// Guards against a version that is overwritten in the store, by one announced a second
// later, before an entry reads it. The timeout of the older version expires first. The
// entry must take the older version over from the reports of other entries. Otherwise it
// sends requests to engines that serve a version older than both until the newer one's
// timeout expires.
func TestOverwrittenVersionKeepsItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestControl(&fakeRelay{})
		engine := *assignModel
		engine.Slots, engine.StepsPerPass, engine.PrefillRate = 8, 1, 1000
		services := map[string]*fleet.Service{"svc": {Name: "svc", Engine: &engine}}
		c.balancer = dispatch.NewBalancer(dispatch.Config{VersionTimeout: 8 * time.Second}, rand.New(rand.NewPCG(1, 2)))
		c.balancer.Apply(c.list, services)
		c.setAssignment("svc", &assignment{model: assignModel, version: 1, since: time.Now()})
		second := time.Now()
		time.Sleep(time.Second)
		third := time.Now()
		time.Sleep(4 * time.Second)
		c.balancer.SetVersion(fleet.VersionTarget{Model: "m", Version: 3}, time.Now())
		c.assignVersion("svc", assignModel, 3, time.Now(), true)
		_, changed := c.Assignment(assignAgent)
		report := func() {
			now := time.Now()
			c.Loads("entry-2", &peer.Loads{Full: true, Versions: []peer.ObservedVersion{
				{Model: "m", Version: 3, AgeMs: now.Sub(third).Milliseconds()}, {Model: "m", Version: 2, AgeMs: now.Sub(second).Milliseconds()},
				{Model: "other", Version: 2, AgeMs: 1}}})
		}
		report()
		<-changed
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.Version, 3)
		assert.DeepEqual(t, got.Earlier, []peer.AnnouncedVersion{{Version: 2, AgeMs: 5000}})
		_, changed = c.Assignment(assignAgent)
		report()
		select {
		case <-changed:
			t.Fatal("agents were notified of a report that changes nothing")
		default:
		}
		time.Sleep(time.Until(second.Add(6900 * time.Millisecond)))
		assert.Assert(t, c.canPick(services), "the timeout of version 2 has not expired yet")
		time.Sleep(time.Until(second.Add(7100 * time.Millisecond)))
		assert.Assert(t, !c.canPick(services), "no request is sent 0.9 s before the timeout of version 2 expires")
	})
}

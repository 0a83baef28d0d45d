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

func (*fakeRelay) Want(context.Context, string, int, int) {}
func (*fakeRelay) Hold(string, int) bool                  { return true }
func (r *fakeRelay) Failing(_ string, version int) bool   { return version == r.fails }

var (
	assignModel = &fleet.EngineModel{Model: "m", Layers: 16, Chunks: 4}
	assignAgent = peer.Presence{Service: "svc", Engine: "e-1"}
)

func assigning(relay Relay) *Control {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := NewControl(ControlOptions{Addr: "entry-1", Config: ControlConfig{VersionTimeout: 8 * time.Second}, Relay: relay, Log: log})
	for _, addr := range []string{"e-1", "e-2"} {
		c.list = append(c.list, &fleet.Instance{ID: addr, Addr: addr, Service: "svc",
			Models: []fleet.ModelVersion{{Model: "m", Version: 1, Layers: 16}}})
	}
	return c
}

// An agent must know of a version that is not served everywhere yet: it has its
// own time, and the newer one may not be had.
func TestAgentsAreToldOfEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := assigning(&fakeRelay{})
		c.setAssignment("svc", &assignment{model: assignModel, version: 1, since: time.Now()})
		for v := 2; v <= 5; v++ {
			c.want("svc", assignModel, v, time.Now(), true)
			time.Sleep(2 * time.Second)
		}
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.Version, 5)
		assert.Equal(t, got.AgeMs, int64(2000))
		assert.Equal(t, got.Turns, 2)
		assert.DeepEqual(t, got.Earlier, []peer.AnnouncedVersion{{Version: 3, AgeMs: 6000}, {Version: 4, AgeMs: 4000}})
		time.Sleep(20 * time.Second)
		got, _ = c.Assignment(assignAgent)
		assert.Equal(t, len(got.Earlier), 0, "their time is long over")
	})
}

// An entry whose link was squeezed learned of a version 4.6 s after all others, dated
// it by that moment, and sent requests to engines with the version before for 11.3 s,
// where 8 are allowed. Entries tell each other when they saw it named.
func TestVersionLearnedLateHasTheAgeThatOthersSaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := assigning(&fakeRelay{})
		engine := *assignModel
		engine.Slots, engine.StepsPerPass, engine.PrefillRate = 8, 1, 1000
		services := map[string]*fleet.Service{"svc": {Name: "svc", Engine: &engine}}
		c.book = dispatch.NewBalancer(dispatch.Config{VersionTimeout: 8 * time.Second}, rand.New(rand.NewPCG(1, 2)))
		c.book.Apply(c.list, services)
		saw := time.Now()
		time.Sleep(4600 * time.Millisecond)
		c.book.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, time.Now())
		c.want("svc", assignModel, 2, time.Now(), true)
		_, changed := c.Assignment(assignAgent)
		for _, late := range []time.Duration{0, 20 * time.Millisecond} { // the later word changes nothing
			c.Loads("entry-2", &peer.Loads{Full: true, Versions: []peer.SeenVersion{
				{Model: "m", Version: 2, AgeMs: (time.Since(saw) - late).Milliseconds()}, {Model: "m", Version: 9, AgeMs: 1}}})
		}
		<-changed
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.AgeMs, int64(4600))
		assert.Assert(t, !got.Guessed)
		assert.DeepEqual(t, c.Announced(time.Now()), []peer.SeenVersion{{Model: "m", Version: 2, AgeMs: 4600}})
		assert.Assert(t, c.picks(services), "its time is not over")
		time.Sleep(time.Until(saw.Add(7100 * time.Millisecond)))
		assert.Assert(t, !c.picks(services), "0.9 s before its time is over")
	})
}

// picks reports whether a request would be sent to an engine that holds version 1.
func (c *Control) picks(services map[string]*fleet.Service) bool {
	c.book.Apply(c.list, services)
	_, verdict := c.book.Pick(time.Now(), "svc", dispatch.Demand{}, nil)
	return verdict != dispatch.NoTarget
}

// An entry that was started after a version was named takes its time to be over, until
// another tells that it is not.
func TestGuessedAgeIsCorrectedByAnEntryThatSawIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := assigning(&fakeRelay{})
		c.book = dispatch.NewBalancer(dispatch.Config{VersionTimeout: 8 * time.Second}, rand.New(rand.NewPCG(1, 2)))
		c.want("svc", assignModel, 2, time.Now().Add(-8*time.Second), false)
		assert.Equal(t, len(c.Announced(time.Now())), 0, "a guess is not told")
		c.Loads("entry-2", &peer.Loads{Full: true, Versions: []peer.SeenVersion{{Model: "m", Version: 2, AgeMs: 1500}}})
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.AgeMs, int64(1500))
		assert.Assert(t, !got.Guessed)
	})
}

func TestVersionNamedAgainChangesNothing(t *testing.T) {
	c := assigning(&fakeRelay{})
	now := time.Now()
	c.want("svc", assignModel, 3, now, true)
	c.want("svc", assignModel, 2, now, true)
	got, _ := c.Assignment(assignAgent)
	assert.Equal(t, got.Version, 3)
	assert.Equal(t, len(got.Earlier), 0)
}

// Agents are told when an entry fails to read a version, and when it can again.
func TestAgentsAreToldOfAWithheldVersion(t *testing.T) {
	relay := &fakeRelay{}
	c := assigning(relay)
	c.want("svc", assignModel, 2, time.Now(), true)
	for _, fails := range []int{2, 0} {
		_, changed := c.Assignment(assignAgent)
		relay.fails = fails
		c.updateWithheld()
		<-changed
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.Withheld, fails == 2)
		assert.Equal(t, got.Entry, "entry-1")
	}
	_, changed := c.Assignment(assignAgent)
	c.updateWithheld()
	select {
	case <-changed:
		t.Fatal("nothing changed")
	default:
	}
}

// An entry that starts while engines change to a version in turns knows the version before
// it has read which engines there are. It tells agents nothing until then: one that is told
// that it is alone changes at once, and with one restart of an entry all do.
func TestStartingEntryDoesNotPullTurnsForward(t *testing.T) {
	c := assigning(&fakeRelay{})
	list := c.list
	c.list = nil
	c.want("svc", assignModel, 2, time.Now(), false)
	told, changed := c.Assignment(assignAgent)
	assert.Assert(t, told == nil, "%+v", told)
	c.list = list
	c.updateOrders()
	<-changed
	last, _ := c.Assignment(peer.Presence{Service: "svc", Engine: c.assignments["svc"].order[1]})
	assert.Equal(t, last.Turns, 2)
	assert.Equal(t, last.Turn, 1)
	// Engines that join have a turn; those that are there already are not told again.
	_, changed = c.Assignment(assignAgent)
	c.list = append(c.list, &fleet.Instance{ID: "e-3", Addr: "e-3", Service: "svc"})
	c.updateOrders()
	joined, _ := c.Assignment(peer.Presence{Service: "svc", Engine: "e-3"})
	assert.Equal(t, joined.Turns, 3)
	select {
	case <-changed:
		t.Fatal("all agents are told")
	default:
	}
	// All engines have lost their weights: agents must be told all the same.
	for _, i := range c.list {
		i.Models = nil
	}
	c.updateOrders()
	told, _ = c.Assignment(assignAgent)
	assert.Equal(t, told.Turns, 3)
}

// Two versions are named within a second, and the store keeps the newer one alone. An entry
// that reads it late has never seen the older one, whose time is over first: others tell it.
// Without that it sent requests to engines of the version before until the newer one's time.
func TestVersionOverwrittenBeforeItWasSeenKeepsItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := assigning(&fakeRelay{})
		engine := *assignModel
		engine.Slots, engine.StepsPerPass, engine.PrefillRate = 8, 1, 1000
		services := map[string]*fleet.Service{"svc": {Name: "svc", Engine: &engine}}
		c.book = dispatch.NewBalancer(dispatch.Config{VersionTimeout: 8 * time.Second}, rand.New(rand.NewPCG(1, 2)))
		c.book.Apply(c.list, services)
		c.setAssignment("svc", &assignment{model: assignModel, version: 1, since: time.Now()})
		second := time.Now()
		time.Sleep(time.Second)
		third := time.Now()
		time.Sleep(4 * time.Second)
		c.book.SetVersion(fleet.VersionTarget{Model: "m", Version: 3}, time.Now())
		c.want("svc", assignModel, 3, time.Now(), true)
		_, changed := c.Assignment(assignAgent)
		tell := func() {
			now := time.Now()
			c.Loads("entry-2", &peer.Loads{Full: true, Versions: []peer.SeenVersion{
				{Model: "m", Version: 3, AgeMs: now.Sub(third).Milliseconds()}, {Model: "m", Version: 2, AgeMs: now.Sub(second).Milliseconds()},
				{Model: "other", Version: 2, AgeMs: 1}}})
		}
		tell()
		<-changed
		got, _ := c.Assignment(assignAgent)
		assert.Equal(t, got.Version, 3)
		assert.DeepEqual(t, got.Earlier, []peer.AnnouncedVersion{{Version: 2, AgeMs: 5000}})
		_, changed = c.Assignment(assignAgent)
		tell()
		select {
		case <-changed:
			t.Fatal("told again, it changes nothing")
		default:
		}
		time.Sleep(time.Until(second.Add(6900 * time.Millisecond)))
		assert.Assert(t, c.picks(services), "its time is not over")
		time.Sleep(time.Until(second.Add(7100 * time.Millisecond)))
		assert.Assert(t, !c.picks(services), "0.9 s before the time of version 2 is over")
	})
}

package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
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

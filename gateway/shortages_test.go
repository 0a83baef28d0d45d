package gateway

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/targetconn"
	"gotest.tools/v3/assert"
)

// newLevelControl returns a Control of a service with two ranks, whose only target is full, and
// with mechanisms switched off.
func newLevelControl(off mechanism.Off) (*Control, *test.Hook) {
	log, lines := test.NewNullLogger()
	balancer := dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))
	g := New(Config{}, testDialect{}, balancer, targetconn.NewPool(targetconn.Config{}), grantAll{}, NewStats(metrics.NewRegistry()), log)
	urgent, usual := routes()[0], routes()[1]
	usual.Priority = 3
	cfg := fleet.NewConfig(1, []*fleet.Route{urgent, usual}, []*fleet.Service{{Name: "s"}}, nil, fleet.Limits{})
	g.SetConfig(cfg)
	balancer.Apply([]*fleet.Instance{{ID: "i-1", Service: "s", Addr: "10.0.0.1:80", Slots: 4}}, cfg.Services)
	balancer.SetLoads("other", map[string]dispatch.Load{"i-1": {Requests: 4}})
	return NewControl(ControlOptions{Config: ControlConfig{Off: off}, Gateway: g, Balancer: balancer, Decoder: textDecoder{}, Log: log,
		Level: overload.NewController(overload.Config{})}), lines
}

// offer makes callers of both ranks ask for twice the work that finds a place, for 2 s.
func offer(c *Control) {
	for i := range 200 {
		now := time.Now()
		r := overload.Request{Service: "s", Class: overload.Class{Rank: i % 2}, Work: 0.1}
		if c.level.Admit(now, r).Admitted {
			if i%4 < 2 {
				c.level.RecordPlaced(now, r)
			} else {
				c.level.RecordUnplaced(now, r)
			}
		}
		c.updateLevel(now)
		time.Sleep(10 * time.Millisecond)
	}
}

func TestShortagesOfOtherEntriesExpireAndAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newLevelControl(0)
		b, _ := newLevelControl(0)
		assert.Equal(t, len(a.Shortages(time.Now())), 0)
		offer(a)
		report := &peer.Loads{Full: true, Added: peer.LoadsAdded{Shortages: a.Shortages(time.Now())}}
		assert.Assert(t, report.Added.Shortages["s"].Short)
		tells := func() bool { return len(b.Shortages(time.Now())) > 0 }
		b.Loads("a", report)
		assert.Assert(t, tells(), "an entry that hears of a shortage tells its own demand")
		b.Loads("a", &peer.Loads{Full: true})
		assert.Assert(t, tells(), "a message may leave shortages out")
		b.EntryLost("a")
		assert.Assert(t, !tells())
		b.Loads("a", report)
		assert.Assert(t, tells())
		time.Sleep(5 * time.Second)
		assert.Assert(t, !tells(), "not repeated")
	})
}

func TestLevelIsHeldAndLoggedWhileTargetsAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, lines := newLevelControl(0)
		offer(c)
		levels := c.level.Levels(time.Now())
		assert.Equal(t, len(levels), 1)
		assert.Equal(t, lines.AllEntries()[0].Message, levelBegan)
		s := summarize(levels[0])
		assert.Assert(t, s.fractionOf(0) > s.fractionOf(1), "%v", s.ranks)
		c.balancer.SetLoads("other", nil)
		for range 100 {
			c.updateLevel(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(c.level.Levels(time.Now())), 0, "the targets are idle")
		assert.Equal(t, lines.LastEntry().Message, levelEnded)
	})
}

func TestLevelSwitchedOffTellsNothing(t *testing.T) {
	c, _ := newLevelControl(mechanism.Off(0).With(mechanism.AdmissionLevel))
	c.Loads("a", &peer.Loads{Full: true, Added: peer.LoadsAdded{Shortages: map[string]overload.Report{"s": {Short: true}}}})
	c.updateLevel(time.Now())
	c.EntryLost("a")
	assert.Equal(t, len(c.Shortages(time.Now())), 0)
}

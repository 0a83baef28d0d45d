package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func slowList(n int) (out []dispatch.SlowTarget) {
	for i := range n {
		out = append(out, dispatch.SlowTarget{ID: fmt.Sprintf("i-%d", i), Service: "svc", Slowdown: 2.5, Source: dispatch.SpeedStated})
	}
	return out
}

func TestSlowTargetsAreLoggedOnceAndCounted(t *testing.T) {
	log, hook := test.NewNullLogger()
	registry := metrics.NewRegistry()
	s := newSlowTargets(registry)
	slow := func() int64 { return registry.Get("control.slow_targets.svc").(metrics.Gauge).Value() }
	s.update(slowList(2), log)
	s.update(slowList(2), log)
	assert.Equal(t, len(hook.AllEntries()), 2)
	assert.Equal(t, hook.LastEntry().Message, "Target is slow.")
	assert.Equal(t, hook.LastEntry().Data["decided_by"], "stated")
	assert.Equal(t, slow(), int64(2))
	assert.Equal(t, registry.Get("control.target_slowdown_percent").(metrics.Histogram).Max(), int64(250))
	s.update(nil, log)
	assert.Equal(t, len(hook.AllEntries()), 4)
	assert.Equal(t, hook.LastEntry().Message, "Target is no longer slow.")
	assert.Equal(t, slow(), int64(0))
}

func TestLogOfSlowTargetsIsBounded(t *testing.T) {
	log, hook := test.NewNullLogger()
	s := newSlowTargets(metrics.NewRegistry())
	s.update(slowList(1000), log)
	assert.Equal(t, len(hook.AllEntries()), maxSlowLogs+1)
	assert.Equal(t, hook.LastEntry().Data["targets"], 1000-maxSlowLogs)
}

// TestStatedPaceReachesTheBalancer checks that a report makes a target slow until its agent is gone.
func TestStatedPaceReachesTheBalancer(t *testing.T) {
	c := newTestControl(&fakeRelay{})
	c.balancer = dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))
	c.balancer.Apply(c.list, map[string]*fleet.Service{"svc": {Name: "svc", Engine: assignModel}})
	report := peer.EngineState{Addr: "e-1", Model: "m", Version: 1, Seq: peer.NextSeq(0, 250)}
	c.EngineState(assignAgent, &report)
	slow := c.balancer.SlowTargets(time.Now())
	assert.Equal(t, len(slow), 1)
	assert.Equal(t, slow[0], dispatch.SlowTarget{ID: "e-1", Service: "svc", Slowdown: 2.5, Source: dispatch.SpeedStated})
	c.EngineState(assignAgent, nil)
	assert.Equal(t, len(c.balancer.SlowTargets(time.Now())), 0)
}

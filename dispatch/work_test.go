package dispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-6, "got %v, want %v", got, want)
}

func TestWorkFollowsTheCostModel(t *testing.T) {
	m := engineModel()
	b := newTestBalancer(m, Config{}, engine(1, 1))
	short, long := b.Work(start, testService, 0), b.Work(start, testService, 19100)
	near(t, long-short, 1)
	passes := float64(m.MeanAnswer / m.StepsPerPass)
	near(t, short, passes*passTime(m, m.Slots).Seconds()/float64(m.Slots))
	near(t, b.Work(start, "none", 100), 0)
}

func TestWorkOfPlainTargetsIsTheirLatencyOverTheirSlots(t *testing.T) {
	b := newTestBalancer(nil, Config{PlainLatency: 60 * time.Millisecond}, plain(1), plain(2))
	near(t, b.Work(start, testService, 1000), 0.010)
	c, v := b.Pick(start, testService, demand(), []string{"p-2"})
	assert.Equal(t, v, Chosen)
	b.Finish(start, c.Target, Result{Latency: 120 * time.Millisecond})
	near(t, b.Work(start, testService, 1000), 0.015)
}

func TestUtilizationCountsUsableTargets(t *testing.T) {
	loading, idle := engine(2, 1), engine(3, 1)
	idle.Draining = true
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), loading, idle)
	near(t, b.Utilization(start, testService), 0)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 4}})
	near(t, b.Utilization(start, testService), 4.0/32)
	b.SetState(loading.Addr, EngineState{Version: 1, Loading: true})
	near(t, b.Utilization(start, testService), 4.0/16)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 40}})
	near(t, b.Utilization(start, testService), 1)
	near(t, b.Utilization(start, "none"), 1)
}

// Where homes tell the loads, targets that this entry has not asked for a while are not known.
func TestUtilizationWithLoadsToldByHomes(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1), engine(2, 1))
	b.SetHomeLoad(start, "i-1", Load{Requests: 8})
	near(t, b.Utilization(start, testService), 0.5)
	b.SetHomeLoad(start.Add(homeLoadValidity/2), "i-2", Load{Requests: 16})
	near(t, b.Utilization(start.Add(homeLoadValidity/2), testService), 0.75)
	near(t, b.Utilization(start.Add(homeLoadValidity), testService), 1)
}

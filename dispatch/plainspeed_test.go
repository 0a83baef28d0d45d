package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// answer lets a plain target answer a request.
func answer(b *Balancer, now time.Time, id, kind string, latency time.Duration) {
	t := b.byID[id]
	b.recordSend(now, t, Demand{})
	b.Finish(now, t, Result{Kind: kind, Latency: latency})
}

func plainBalancer(n int) *Balancer {
	var list []*fleet.Instance
	for i := range n {
		list = append(list, plain(i))
	}
	return newTestBalancer(nil, Config{}, list...)
}

// answerKinds lets each of three targets answer requests of two kinds, which take 50 and 200 ms;
// the first one takes slow times as long. A part of a target's requests is of the long kind.
func answerKinds(b *Balancer, now time.Time, slow float64, longShare [3]int) {
	for range 10 {
		for i := range 3 {
			factor := 1.0
			if i == 0 {
				factor = slow
			}
			for range longShare[i] {
				answer(b, now, plain(i).ID, "long", time.Duration(factor*200)*time.Millisecond)
			}
			answer(b, now, plain(i).ID, "short", time.Duration(factor*50)*time.Millisecond)
		}
	}
}

func TestPlainTargetIsComparedByKind(t *testing.T) {
	b := plainBalancer(3)
	answerKinds(b, start, 1, [3]int{5, 1, 1}) // the first answers long requests mostly, but is not slow
	assert.DeepEqual(t, slowIDs(b, start), []string{})
	forecast := func(kind string) time.Duration {
		c, _ := b.Pick(start, testService, Demand{Kind: kind, Objective: time.Second, Domain: "a"}, nil)
		b.Cancel(c.Target, Demand{})
		return c.Forecast.FirstEvent
	}
	assert.Equal(t, forecast("short"), 50*time.Millisecond)
	assert.Equal(t, forecast("long"), 200*time.Millisecond)
}

func TestSlowPlainTarget(t *testing.T) {
	b := plainBalancer(3)
	answerKinds(b, start, 2.5, [3]int{1, 1, 1})
	slow := b.SlowTargets(start)
	assert.Equal(t, len(slow), 1)
	assert.Equal(t, slow[0].ID, "p-0")
	assert.Equal(t, slow[0].Source, SpeedLatency)
	assert.Assert(t, slow[0].Slowdown > 2.4 && slow[0].Slowdown < 2.6)
	assert.Equal(t, len(b.SlowTargets(start.Add(requestMemory+1))), 0)
	answerKinds(b, start.Add(time.Second), 1, [3]int{5, 5, 5})
	assert.Equal(t, len(b.SlowTargets(start.Add(time.Second))), 0)
}

func TestAllPlainTargetsSlowAtOnce(t *testing.T) {
	b := plainBalancer(3)
	for range 20 {
		for i := range 3 {
			answer(b, start, plain(i).ID, "k", 50*time.Millisecond)
		}
	}
	for range 20 {
		for i := range 3 {
			answer(b, start, plain(i).ID, "k", 125*time.Millisecond)
		}
	}
	assert.Equal(t, len(b.SlowTargets(start)), 0)
}

func TestFewPlainResponsesTellNothing(t *testing.T) {
	b := plainBalancer(2)
	for range minKindSamples - 1 {
		answer(b, start, "p-0", "k", 500*time.Millisecond)
	}
	for range 20 {
		answer(b, start, "p-1", "k", 50*time.Millisecond)
	}
	assert.Equal(t, len(b.SlowTargets(start)), 0)
}

func TestKindsOfPlainTargetAreBounded(t *testing.T) {
	b := plainBalancer(1)
	for i := range 100 {
		answer(b, start, "p-0", fmt.Sprint(i), 50*time.Millisecond)
	}
	assert.Assert(t, len(b.byID["p-0"].plain.kinds) <= maxKinds+1)
}

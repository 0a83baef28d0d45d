package soak

import (
	"math/rand/v2"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of the faults around loads.
const (
	// loadVersionMin and loadVersionMax bound the time between two versions: an engine's turn
	// comes 2.5 s after the version at the earliest.
	loadVersionMin = 3 * time.Second
	loadVersionMax = 6 * time.Second
	// momentMin and momentMax bound the time between two moments at which a fault strikes an
	// engine or its agent; momentOffset is how long after a call it strikes at most.
	momentMin    = 300 * time.Millisecond
	momentMax    = 2500 * time.Millisecond
	momentOffset = 3 * time.Millisecond
)

// weightFaults are the faults around loads of weights. Each lasts for the whole run, and only
// runs that name it have it.
var weightFaults = []fault{{"weights change", changeWeights}, {"weights: pieces rot", rotPieces}, {"weights: calls late", delayAgentCalls},
	{"weights: engines restart", restartEngines}, {"weights: agents pause", pauseAgents}, {"weights: agents killed", killAgents}}

// named returns the kinds that a regular expression matches, and none if it matches any name.
func named(only *regexp.Regexp, list []fault) []fault {
	if only == nil || only.MatchString("") {
		return nil
	}
	return matching(only, list)
}

// injectWeightFaults starts the weightFaults that the run names.
func (f *Fleet) injectWeightFaults(running *sync.WaitGroup, count map[string]int) {
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 3))
	for _, x := range named(f.cfg.Only, weightFaults) {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		count[x.name]++
		running.Go(func() { x.inject(f, own, 0) })
	}
}

// changeWeights publishes versions.
func changeWeights(f *Fleet, rng *rand.Rand, _ time.Duration) {
	for end := time.Now().Add(f.cfg.Duration); time.Now().Before(end); {
		f.nextVersion()
		time.Sleep(min(randomDuration(rng, loadVersionMin, loadVersionMax), time.Until(end)))
	}
}

// forEachEngine runs do for each engine and its agent until the end of the run, again and
// again, after random times.
func (f *Fleet) forEachEngine(rng *rand.Rand, do func(e *fake.Target, agent *Process, rng *rand.Rand, end time.Time)) {
	var running sync.WaitGroup
	end := time.Now().Add(f.cfg.Duration)
	for i, e := range f.engines {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		running.Go(func() {
			for {
				time.Sleep(randomDuration(own, momentMin, momentMax))
				if !time.Now().Before(end) {
					return
				}
				do(e, f.agents[i], own, end)
			}
		})
	}
	running.Wait()
}

// randomCall returns a random kind of call. A load consists of several calls of each kind but
// one order, so that a random time would rarely be that of an order.
func randomCall(rng *rand.Rand) fake.AgentCall {
	return fake.AgentCall(rng.IntN(int(fake.AgentCalls)))
}

// atNextCall calls strike at the next call of a kind by the engine's agent, and reports
// whether there was one before the end. strike returns the delay of the call.
func atNextCall(e *fake.Target, kind fake.AgentCall, end time.Time, strike func() fake.Delay) bool {
	var struck atomic.Bool
	done := make(chan struct{})
	remove := e.AddAgentCallHook(func(call fake.AgentCall) (d fake.Delay) {
		if call == kind && struck.CompareAndSwap(false, true) {
			d = strike()
			close(done)
		}
		return d
	})
	defer remove()
	select {
	case <-done:
		return true
	case <-time.After(time.Until(end)):
		if struck.CompareAndSwap(false, true) {
			return false
		}
		<-done
		return true
	}
}

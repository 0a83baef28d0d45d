package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Delays of calls between an agent and its engine.
const (
	// one call in lateOneIn[kind] is late.
	lateRequestMax  = 9 * time.Second         // longer than an agent waits for a put, and shorter than it takes a call for lost
	lateResponseMax = 1900 * time.Millisecond // shorter than an agent waits for a report or a read
	latePutMax      = 5500 * time.Millisecond // shorter than an agent waits for a put
)

// lateOneIn says which share of the calls of each kind is late. Reports are many.
var lateOneIn = [fake.AgentCalls]int{fake.ReportCall: 40, fake.PutCall: 12, fake.GetCall: 24, fake.OrderCall: 4}

// delayAgentCalls makes calls between agents and engines late: puts and orders on their way to
// the engine or the answers to them, and the answers to reports and reads.
func delayAgentCalls(f *Fleet, rng *rand.Rand, _ time.Duration) {
	for _, e := range f.engines {
		var mu sync.Mutex
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		defer e.AddAgentCallHook(func(call fake.AgentCall) fake.Delay {
			mu.Lock()
			defer mu.Unlock()
			if own.IntN(lateOneIn[call]) > 0 {
				return fake.Delay{}
			}
			return randomDelay(own, call)
		})()
	}
	time.Sleep(f.cfg.Duration)
}

// randomDelay returns the delay of a late call.
func randomDelay(rng *rand.Rand, call fake.AgentCall) fake.Delay {
	onTheWay := rng.IntN(2) == 0
	switch {
	case call == fake.PutCall && onTheWay:
		return fake.Delay{Request: randomDuration(rng, 0, lateRequestMax)}
	case call == fake.PutCall:
		return fake.Delay{Response: randomDuration(rng, 0, latePutMax)}
	case call == fake.OrderCall && onTheWay:
		return fake.Delay{Request: randomDuration(rng, 0, lateOrderMax)}
	}
	return fake.Delay{Response: randomDuration(rng, 0, lateResponseMax)}
}

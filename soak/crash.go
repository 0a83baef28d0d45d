package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// A request that ends each target that runs it comes in waves, at all entries.
const (
	waveFor   = 3 * time.Second
	waveEvery = 120 * time.Millisecond // mean time between two attempts
	// wavePause is long enough that entries that were started again meanwhile count as
	// in touch in the second wave, which lasts longer than that.
	wavePause = touchFor
	lastWave  = aftermath + 3*time.Second
)

// Bounds of the promise about such a request.
const (
	crashesToKnow = 3 // targets that must have ended under it
	sendsLeft     = 3 // how often it may reach a target after that
)

// crashingRequest sends a request that ends each target that runs it, again and again,
// at any entry. Between its waves all entries are killed one after the other, or at
// once, or left alone.
func crashingRequest(f *Fleet, rng *rand.Rand, _ time.Duration) {
	body := fmt.Sprintf("%s%d", fake.CrashPrefix, rng.Uint64())
	k := pick(rng, kinds)
	f.logf("a request of kind %s that crashes targets, %s", k.name, body)
	f.crashWave(rng, k, body, waveFor)
	switch rng.IntN(3) {
	case 0:
		for _, e := range f.entries {
			f.restart(e, 0, true)
		}
	case 1:
		var all sync.WaitGroup
		for _, e := range f.entries {
			all.Go(func() { f.restart(e, 0, true) })
		}
		all.Wait()
	}
	time.Sleep(wavePause)
	f.crashWave(rng, k, body, lastWave)
}

// crashWave sends the request for a time.
func (f *Fleet) crashWave(rng *rand.Rand, k kind, body string, d time.Duration) {
	var calls sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		c := newCaller(f, pick(rng, f.entries), fmt.Sprintf("crash-%x", rng.Uint64()), rng)
		calls.Go(func() {
			defer c.client.CloseIdleConnections()
			c.callBody(context.Background(), k, 0, body)
		})
		time.Sleep(between(rng, waveEvery/2, waveEvery*3/2))
	}
	calls.Wait()
}

// keptCrashing returns the attempts of requests that crash targets which reached targets
// too often: from entries in touch, long enough after the last crash that had to be known.
func keptCrashing(attempts []Attempt, facts Facts) []Attempt {
	var out []Attempt
	for body, crashes := range facts.Crashes {
		if len(crashes) < crashesToKnow {
			continue
		}
		known := crashes[crashesToKnow-1] + touchFor
		var late []Attempt
		for _, a := range attempts {
			if a.Body == body && a.Sent > known && a.StoreReachable && a.EntryFaultFree {
				late = append(late, slices.Repeat([]Attempt{a}, len(facts.Reached[a.ID]))...)
			}
		}
		out = append(out, late[min(sendsLeft, len(late)):]...)
	}
	return out
}

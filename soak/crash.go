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

// A request that crashes each target that runs it is sent in waves, to all entries.
const (
	waveDuration     = 3 * time.Second
	waveMeanInterval = 120 * time.Millisecond // mean time between two attempts
	// wavePause is the time until entries that were restarted after the first wave count
	// as able to reach the store. The second wave outlasts settleTime, after which their
	// restart no longer counts as a fault, so that sentAfterQuarantine also judges requests
	// through restarted entries.
	wavePause        = storeReachableWindow
	lastWaveDuration = settleTime + 3*time.Second
)

// Bounds of InvariantCrashLimit.
const (
	crashesToQuarantine  = 3 // targets that a request must have crashed before entries must quarantine it (no longer send it)
	sendsAfterQuarantine = 3 // times that the request may reach a target after that
)

// sendCrashingRequests repeatedly sends a request that crashes each target that runs it,
// to random entries. Between the two waves all entries are killed and restarted one
// after the other, killed and restarted at the same time, or left running.
func sendCrashingRequests(f *Fleet, rng *rand.Rand, _ time.Duration) {
	body := fmt.Sprintf("%s%d", fake.CrashPrefix, rng.Uint64())
	k := pick(rng, kinds)
	f.logf("sending a request of kind %s that crashes targets, body %s", k.name, body)
	f.sendCrashWave(rng, k, body, waveDuration)
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
	f.sendCrashWave(rng, k, body, lastWaveDuration)
}

// sendCrashWave sends the request repeatedly for d.
func (f *Fleet) sendCrashWave(rng *rand.Rand, k kind, body string, d time.Duration) {
	var calls sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		c := newCaller(f, pick(rng, f.entries), fmt.Sprintf("crash-%x", rng.Uint64()), rng)
		calls.Go(func() {
			defer c.client.CloseIdleConnections()
			c.callBody(context.Background(), k, 0, body)
		})
		time.Sleep(randomDuration(rng, waveMeanInterval/2, waveMeanInterval*3/2))
	}
	calls.Wait()
}

// promptWaveMeanInterval is the mean time between two requests whose prompts have the part that
// crashes targets.
const promptWaveMeanInterval = 150 * time.Millisecond

// sendCrashingPrompts sends requests to random entries that differ in all but one part of their
// prompts, which crashes each target that begins to answer it.
func sendCrashingPrompts(f *Fleet, rng *rand.Rand, _ time.Duration) {
	part := fmt.Sprintf("%s%x", fake.CrashPart, rng.Uint32())
	f.logf("sending requests with part %s, which crashes targets", part)
	f.sendPromptWave(rng, part, waveDuration)
	if rng.IntN(2) == 0 {
		f.restart(pick(rng, f.entries), 0, true)
	}
	time.Sleep(wavePause)
	f.sendPromptWave(rng, part, lastWaveDuration)
}

// sendPromptWave sends requests with a part that crashes targets for d.
func (f *Fleet) sendPromptWave(rng *rand.Rand, part string, d time.Duration) {
	var calls sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		c := newCaller(f, pick(rng, f.entries), fmt.Sprintf("prompt-%x", rng.Uint64()), rand.New(rand.NewPCG(rng.Uint64(), 1)))
		calls.Go(func() {
			defer c.client.CloseIdleConnections()
			c.callPrompt(context.Background(), kinds[2], 0, "", part)
		})
		time.Sleep(randomDuration(rng, promptWaveMeanInterval/2, promptWaveMeanInterval*3/2))
	}
	calls.Wait()
}

// Bounds of InvariantPartCrashLimit, as the platform documents them.
const (
	crashesToQuarantinePart  = 5
	sendsAfterPartQuarantine = 3
)

// promptsAfterQuarantine returns the attempts by which requests with a part that had crashed five
// targets reached targets more than sendsAfterPartQuarantine times. It counts like
// sentAfterQuarantine.
func promptsAfterQuarantine(attempts []Attempt, facts Facts) []Attempt {
	var out []Attempt
	for part, crashes := range facts.Crashes {
		if len(crashes) < crashesToQuarantinePart {
			continue
		}
		var sent []Attempt
		for _, a := range attempts {
			if a.CrashingPart == part && a.Sent > crashes[crashesToQuarantinePart-1]+storeReachableWindow && a.StoreReachable && a.EntryFaultFree {
				sent = append(sent, slices.Repeat([]Attempt{a}, len(facts.Reached[a.ID]))...)
			}
		}
		out = append(out, sent[min(sendsAfterPartQuarantine, len(sent)):]...)
	}
	return out
}

// sentAfterQuarantine returns the attempts by which crashing requests reached targets more
// than sendsAfterQuarantine times. It counts only attempts through fault-free entries that
// could reach the store, sent more than storeReachableWindow after the crash that must put
// the request in quarantine.
func sentAfterQuarantine(attempts []Attempt, facts Facts) []Attempt {
	var out []Attempt
	for body, crashes := range facts.Crashes {
		if len(crashes) < crashesToQuarantine {
			continue
		}
		quarantinedBy := crashes[crashesToQuarantine-1] + storeReachableWindow
		var sent []Attempt
		for _, a := range attempts {
			if a.Body == body && a.Sent > quarantinedBy && a.StoreReachable && a.EntryFaultFree {
				sent = append(sent, slices.Repeat([]Attempt{a}, len(facts.Reached[a.ID]))...)
			}
		}
		out = append(out, sent[min(sendsAfterQuarantine, len(sent)):]...)
	}
	return out
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of the crashes that no request causes.
const (
	seriesDuration = 8 * time.Second
	seriesInterval = 400 * time.Millisecond
	// seriesOneIn is the part of the engines that crash together.
	seriesOneIn = 10
	// seriesCallersPerEngine is the number of callers at each entry, for each engine, that send nothing but
	// streams meanwhile.
	seriesCallersPerEngine = 2
	// seriesParts is the number of parts that their prompts share, none of which has been sent before.
	seriesParts = 24
)

// crashInSeries crashes engines in groups, for reasons that lie in no request, while callers send prompts
// that share parts.
func crashInSeries(f *Fleet, rng *rand.Rand, _ time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var parts []string
	for range seriesParts {
		parts = append(parts, fmt.Sprintf("c%x", rng.Uint32()))
	}
	for i, e := range f.entries {
		for k := range seriesCallersPerEngine * len(f.engines) {
			c := newCaller(f, e, fmt.Sprintf("series%x-%d-%d", rng.Uint64(), i, k), rand.New(rand.NewPCG(rng.Uint64(), 1)))
			c.shared, c.sent = parts, rng.IntN(seriesParts)
			callers.Go(func() {
				defer c.client.CloseIdleConnections()
				for ctx.Err() == nil {
					c.call(ctx, kinds[2], 0)
					time.Sleep(thinkTime)
				}
			})
		}
	}
	for end := time.Now().Add(seriesDuration); time.Now().Before(end); {
		loaded := slices.DeleteFunc(slices.Clone(f.engines), func(e *fake.Target) bool { return e.Version() == 0 })
		rng.Shuffle(len(loaded), func(i, j int) { loaded[i], loaded[j] = loaded[j], loaded[i] })
		for _, e := range loaded[:min(max(len(f.engines)/seriesOneIn, 1), len(loaded))] {
			f.markTargetFaulty(e, settleTime)
			e.Crash()
		}
		time.Sleep(seriesInterval)
	}
	cancel()
	callers.Wait()
}

// Bounds of InvariantNotDenied: deniedAllowed and one request in deniedOneIn of all.
const (
	deniedAllowed = 5
	deniedOneIn   = 500
)

// deniedProperRequests returns the proper requests that fault-free entries refused for good, as far as
// they are more than the bounds allow.
func deniedProperRequests(attempts []Attempt) []Attempt {
	var out []Attempt
	for _, a := range attempts {
		if a.EntryFaultFree && a.proper() && a.deniedForGood() {
			out = append(out, a)
		}
	}
	return out[min(deniedAllowed+len(attempts)/deniedOneIn, len(out)):]
}

// proper reports whether each configuration allows the request and no target crashes under it.
func (a Attempt) proper() bool {
	return a.Key == 0 && a.CrashingPart == "" && !strings.HasPrefix(a.Body, fake.CrashPrefix)
}

// deniedForGood reports whether an entry answered with a status of its own that callers do not retry.
func (a Attempt) deniedForGood() bool {
	return !a.Signed && a.Status >= 300 && a.Status < 500 && !meansNotRun(a.Status)
}

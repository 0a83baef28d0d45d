package gateway

import (
	"sync"
	"time"
)

// runTimeDecay is the part of its distance to a shorter run by which a peak falls.
const runTimeDecay = 1.0 / 64

// runTimes holds for each route how long its requests run at most: a peak EWMA, which follows a
// longer run at once and a shorter one slowly.
type runTimes struct {
	mu    sync.Mutex
	peaks map[string]time.Duration // by route
}

func newRunTimes() *runTimes { return &runTimes{peaks: map[string]time.Duration{}} }

// observe records how long an answered request has run.
func (t *runTimes) observe(route string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peak := t.peaks[route]
	t.peaks[route] = max(d, peak-time.Duration(runTimeDecay*float64(peak-d)))
}

// peak returns zero if no request of the route has been answered.
func (t *runTimes) peak(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peaks[route]
}

package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// retrySlack is the factor by which a caller's initial timeout may exceed the typical one of
	// its route and its retry still be recognized.
	retrySlack = 1.05
	// retrySampleSize is how many of a route's latest requests are used to estimate the typical
	// initial timeout.
	retrySampleSize = 32
	// typicalRank is the index, in ascending order of the time left, of the one of a route's
	// latest retrySampleSize requests that is taken as a typical first attempt. It is not the
	// highest, as a few callers allow more time than the others; most requests are first
	// attempts, or retries with less time left.
	typicalRank = 28
)

// RetryDetector distinguishes retries of refused callers from new requests by the time left until
// the caller gives up. Each caller of a route may start with a different timeout; a caller that
// honored Retry-After has used up a known fraction of its timeout. A caller that retries sooner is
// mistaken for a new one, and a new one with a far shorter timeout than the others for a retry.
// The detector's methods may be called concurrently.
type RetryDetector struct {
	// share is the largest fraction of its initial timeout that a caller has left when it
	// retries.
	share float64

	mu     sync.Mutex
	routes map[string]*timesLeft
}

// NewRetryDetector returns a detector for callers whose Retry-After is the fraction part of their
// time left, reduced by a random fraction of up to spread.
func NewRetryDetector(part, spread float64) *RetryDetector {
	return &RetryDetector{share: 1 - part*(1-spread), routes: map[string]*timesLeft{}}
}

// timesLeft holds the times that a route's latest callers had left.
type timesLeft struct {
	last    [retrySampleSize]time.Duration // ring buffer
	count   int
	typical time.Duration
}

// add records a request and updates typical.
func (t *timesLeft) add(left time.Duration) {
	t.last[t.count%retrySampleSize] = left
	t.count++
	if t.count < retrySampleSize {
		t.typical = max(t.typical, left)
		return
	}
	sorted := t.last
	slices.Sort(sorted[:])
	t.typical = sorted[typicalRank]
}

// IsRetry reports whether a request with the given time left is probably a retry.
func (r *RetryDetector) IsRetry(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.routes[route]
	if t == nil {
		t = &timesLeft{}
		r.routes[route] = t
	}
	t.add(left)
	return float64(left) < retrySlack*r.share*float64(t.typical)
}

// RetryAfter returns the delay after which a refused caller with the given time left should
// retry: the fraction part of the time left, reduced by a random fraction of up to spread, so that
// callers that are refused together do not retry together. free is the time until a target accepts
// requests again; the delay is at least free, lengthened by a random fraction of up to spread.
// random is uniform in [0, 1).
func RetryAfter(left, free time.Duration, part, spread, random float64) time.Duration {
	usual := part * (1 - spread*random) * float64(left)
	return time.Duration(max(usual, (1+spread*random)*float64(free)))
}

package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// returnSlack is how much more time than usual callers of a route may have had at
	// their first attempt to be recognized when they come back.
	returnSlack = 1.05
	// returnSample is how many of a route's last requests tell what callers
	// usually give.
	returnSample = 32
	// usualRank is the one of them, by time left, that is taken for usual. A
	// few callers give more time than the others; most requests are first
	// attempts or repetitions with less time left.
	usualRank = 28
)

// RetryDetector tells callers that come back after a refusal from new ones by the time that
// they have left. Callers of a route may each start with a time of their own; one that
// heeded Retry-After has lost a known part of it. A caller that comes back sooner is taken
// for a new one, and a new one that gives far less time than the others for one that comes
// back. Its methods may be called concurrently.
type RetryDetector struct {
	// share is the part of a caller's time that it has left at most when it comes back.
	share float64

	mu     sync.Mutex
	routes map[string]*timesLeft
}

// NewRetryDetector returns a guess for callers that are told to come back after a part of the
// time that they have left, less up to spread of that.
func NewRetryDetector(part, spread float64) *RetryDetector {
	return &RetryDetector{share: 1 - part*(1-spread), routes: map[string]*timesLeft{}}
}

// timesLeft are the times that a route's last callers had left.
type timesLeft struct {
	last  [returnSample]time.Duration // ring
	count int
	usual time.Duration
}

// add notes a request and brings usual up to date.
func (t *timesLeft) add(left time.Duration) {
	t.last[t.count%returnSample] = left
	t.count++
	if t.count < returnSample {
		t.usual = max(t.usual, left)
		return
	}
	sorted := t.last
	slices.Sort(sorted[:])
	t.usual = sorted[usualRank]
}

// IsRetry reports whether a request with so much time left is a repetition.
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
	return float64(left) < returnSlack*r.share*float64(t.usual)
}

// RetryAfter is when a refused caller that will wait for left should come back: after part
// of that, less a random share of up to spread, so that those who are refused together do
// not come back together. If no target takes a request before free is over it is later, by
// as large a share. random is uniform in [0, 1).
func RetryAfter(left, free time.Duration, part, spread, random float64) time.Duration {
	usual := part * (1 - spread*random) * float64(left)
	return time.Duration(max(usual, (1+spread*random)*float64(free)))
}

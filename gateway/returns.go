package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// freshShare is the least part of the time that callers of a route usually
	// give that a first attempt has left when it arrives; the way takes a few ms.
	freshShare = 0.95
	// returnSample is how many of a route's last requests tell what callers
	// usually give.
	returnSample = 32
	// usualRank is the one of them, by time left, that is taken for usual. A
	// few callers give more time than the others; most requests are first
	// attempts or repetitions with less time left.
	usualRank = 28
)

// returns tells callers that come back after a refusal from new ones, by the
// time that they have left: most callers of a route start with the same.
type returns struct {
	mu     sync.Mutex
	routes map[string]*timesLeft
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

// returning reports whether a request with so much time left is a repetition.
func (r *returns) returning(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = map[string]*timesLeft{}
	}
	t := r.routes[route]
	if t == nil {
		t = &timesLeft{}
		r.routes[route] = t
	}
	t.add(left)
	return float64(left) < freshShare*float64(t.usual)
}

package gateway

import (
	"sync"
	"time"
)

// freshShare is the least part of the time that callers of a route usually give
// that a first attempt has left when it arrives; the way takes a few ms.
const freshShare = 0.95

// returns tells callers that come back after a refusal from new ones, by the
// time that they have left: all callers of a route start with the same.
type returns struct {
	mu   sync.Mutex
	full map[string]time.Duration // by route: the longest time left seen
}

// returning reports whether a request with so much time left is a repetition.
func (r *returns) returning(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full == nil {
		r.full = map[string]time.Duration{}
	}
	full := r.full[route]
	if left > full {
		r.full[route] = left
		return false
	}
	return float64(left) < freshShare*float64(full)
}

package soak

import (
	"sync"
	"time"
)

// storeReachableWindow is how long an entry must have had no fault between it and the
// store to count as able to reach the store: propagationBound plus the longest pause
// between retries.
const storeReachableWindow = 3 * time.Second

// reachability tracks the faults that separate one process, or all of them, from the
// store.
type reachability struct {
	mu           sync.Mutex
	activeFaults int
	lastEnded    time.Time // when the last fault ended
}

// faultBegan records a fault. It is called before the fault begins.
func (r *reachability) faultBegan() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults++
}

// faultEnded records the end of a fault. It is called after the fault has ended.
func (r *reachability) faultEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults--
	r.lastEnded = time.Now()
}

// reachable reports whether there has been no fault for storeReachableWindow.
func (r *reachability) reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeFaults == 0 && time.Since(r.lastEnded) >= storeReachableWindow
}

package soak

import (
	"sync"
	"time"
)

// storeReachableWindow is how long there must have been no fault between an entry and the
// store for the entry to count as able to reach the store: propagationBound plus the
// longest pause between an entry's retries of a store call.
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

// reachable reports whether no recorded fault was in progress during the last
// storeReachableWindow.
func (r *reachability) reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeFaults == 0 && time.Since(r.lastEnded) >= storeReachableWindow
}

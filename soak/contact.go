package soak

import (
	"sync"
	"time"
)

// touchFor is how long nothing may have come between an entry and the store for
// the entry to be in touch: the bound and as much as a retry's longest pause.
const touchFor = 3 * time.Second

// contact is whether something may reach the store, or be reached.
type contact struct {
	mu     sync.Mutex
	faults int       // going on
	ended  time.Time // when the last fault ended
}

// lose notes a fault before it begins.
func (c *contact) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// regain notes the end of a fault, after it.
func (c *contact) regain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.ended = time.Now()
}

// lasts reports whether there was no fault in the time touchFor before now.
func (c *contact) lasts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults == 0 && time.Since(c.ended) >= touchFor
}

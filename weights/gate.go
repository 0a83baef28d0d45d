package weights

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// gate bounds how many calls run at once. The bound may differ from call to
// call, since it depends on how many entries live. Of the calls that wait, the
// one with the lowest rank goes first.
type gate struct {
	mu      sync.Mutex
	running int
	waiting []*waiter // by rank, then by arrival
}

// rank orders the reads of a model's pieces. An older version goes first: it has to be in
// force first. Agents take pieces in the order of their index, so that one that comes late
// holds up all after it.
type rank struct {
	version, index int
}

// manifestIndex puts a manifest before all pieces of its version: nothing can be checked
// without.
const manifestIndex = -1

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.version, o.version), cmp.Compare(r.index, o.index))
}

type waiter struct {
	rank  rank
	limit int
	enter chan struct{} // closed when the call may run
}

// enter waits until fewer than limit calls run.
func (g *gate) enter(ctx context.Context, limit int, r rank) error {
	w := g.join(limit, r)
	select {
	case <-w.enter:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return ctx.Err()
	}
	return nil // it was let in at the same moment
}

func (g *gate) join(limit int, r rank) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{rank: r, limit: limit, enter: make(chan struct{})}
	i := 0
	for i < len(g.waiting) && g.waiting[i].rank.compare(r) <= 0 {
		i++
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	g.admit()
	return w
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admit()
}

// admit lets waiting calls run; the lock is held.
func (g *gate) admit() {
	for len(g.waiting) > 0 && g.running < g.waiting[0].limit {
		close(g.waiting[0].enter)
		g.waiting = g.waiting[1:]
		g.running++
	}
}

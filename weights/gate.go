package weights

import (
	"context"
	"slices"
	"sync"
)

// gate bounds how many calls run at once. The bound may differ from call to
// call, since it depends on how many entries live. Of the calls that wait, the
// one with the lowest rank goes first: agents take pieces in the order of their
// index, and one that comes late holds up all after it.
type gate struct {
	mu      sync.Mutex
	running int
	waiting []*waiter // by rank, then by arrival
}

type waiter struct {
	rank  int
	limit int
	enter chan struct{} // closed when the call may run
}

// enter waits until fewer than limit calls run.
func (g *gate) enter(ctx context.Context, limit, rank int) error {
	w := g.join(limit, rank)
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

func (g *gate) join(limit, rank int) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{rank: rank, limit: limit, enter: make(chan struct{})}
	i := 0
	for i < len(g.waiting) && g.waiting[i].rank <= rank {
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

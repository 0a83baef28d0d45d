package weights

import (
	"context"
	"sync"
)

// gate bounds how many calls run at once. The bound may differ from call to
// call, since it depends on how many entries live.
type gate struct {
	mu      sync.Mutex
	running int
	freed   chan struct{} // closed when a call ends; nil if nobody waits
}

// enter waits until fewer than limit calls run.
func (g *gate) enter(ctx context.Context, limit int) error {
	for {
		freed, ok := g.tryEnter(limit)
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *gate) tryEnter(limit int) (freed <-chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < limit {
		g.running++
		return nil, true
	}
	if g.freed == nil {
		g.freed = make(chan struct{})
	}
	return g.freed, false
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.freed != nil {
		close(g.freed)
		g.freed = nil
	}
}

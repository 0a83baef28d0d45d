package weights

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// limiter limits the number of concurrent calls to the origin. The limit may differ from
// call to call, since it depends on the number of live entries. Waiting calls are admitted
// by ascending rank.
type limiter struct {
	mu      sync.Mutex
	running int
	waiting []*waiter // by rank, then by arrival
}

// rank is the priority of a read of a model's pieces; the lowest rank comes first. Older
// versions take precedence, since they must be served first. Within a version, reads are
// ordered by index: agents fetch pieces in this order, and a late piece delays all
// following ones.
type rank struct {
	version, index int
}

// manifestIndex ranks a manifest before all pieces of its version, which cannot be verified
// without it.
const manifestIndex = -1

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.version, o.version), cmp.Compare(r.index, o.index))
}

type waiter struct {
	rank     rank
	limit    int
	admitted chan struct{} // closed when the call is admitted
}

// acquire waits until the call is admitted with fewer than limit calls running.
func (l *limiter) acquire(ctx context.Context, limit int, r rank) error {
	w := l.enqueue(limit, r)
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		return ctx.Err()
	}
	return nil // admitted at the same moment
}

func (l *limiter) enqueue(limit int, r rank) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{rank: r, limit: limit, admitted: make(chan struct{})}
	i := 0
	for i < len(l.waiting) && l.waiting[i].rank.compare(r) <= 0 {
		i++
	}
	l.waiting = slices.Insert(l.waiting, i, w)
	l.admit()
	return w
}

func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.admit()
}

// admit admits waiting calls. The caller must hold the lock.
func (l *limiter) admit() {
	for len(l.waiting) > 0 && l.running < l.waiting[0].limit {
		close(l.waiting[0].admitted)
		l.waiting = l.waiting[1:]
		l.running++
	}
}

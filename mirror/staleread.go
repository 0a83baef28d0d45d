package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
)

// staleCheckInterval is the time between two checks of the copy's age. It must be small
// compared with the time that Config.StaleAfter leaves of the 2 s within which a change must be
// received.
const staleCheckInterval = 50 * time.Millisecond

// readStoreWhenStale reads the store when the copy is stale, independently of the
// current source and of calls to it that hang.
func (f *Follower) readStoreWhenStale(ctx context.Context) {
	jitter := rand.Float64()
	for loop.Sleep(ctx, staleCheckInterval) {
		f.Outage()
		now := clock.Now()
		stale := f.age(now) > f.cfg.StaleAfter+f.route.StoreReadDelay()
		lastCall, failures := f.store.callState()
		if !stale && failures == 0 || now.Sub(lastCall) < f.storeCallDelay(failures, stale, jitter) {
			continue
		}
		f.readStore(ctx, stale)
		jitter = rand.Float64()
	}
}

// storeCallDelay returns the minimum time since the last call to the store before
// readStoreWhenStale calls it. Calls are billed, including those that fail.
func (f *Follower) storeCallDelay(failures int, stale bool, jitter float64) time.Duration {
	switch {
	case failures == 0:
		return 0
	case !stale:
		return f.cfg.ProbeInterval
	}
	if f.route.Backup() && failures >= backupMinFailures {
		return f.cfg.ProbeInterval
	}
	return f.backoff(failures, jitter)
}

// backupMinFailures is the number of consecutive failures after which a backup (see
// Route.Backup) calls the store only once per ProbeInterval. By then it has backed off for about
// 2 s, and processes that reach the store have reported that.
const backupMinFailures = 6

// readStore applies the changes that the store has beyond the copy, without waiting for
// new changes.
func (f *Follower) readStore(ctx context.Context, stale bool) {
	age := f.age(clock.Now())
	err := f.readChanges(ctx)
	if needsFullCopy(err) {
		err = f.readInstead(ctx, f.store, err)
	}
	if !stale || ctx.Err() != nil {
		return // MonitoredStore logs the result
	}
	f.stats.staleReads.Inc(1)
	fields := logrus.Fields{"age_ms": age.Milliseconds(), "revision": f.table.Revision()}
	if err == nil {
		f.log.WithFields(fields).Info("Copy was stale, read the store.")
		return
	}
	f.stats.staleReadsFailed.Inc(1)
	f.log.WithFields(fields).WithError(err).Debug("Copy is stale, reading the store failed.")
}

func (f *Follower) readChanges(ctx context.Context) error {
	after := f.table.Revision()
	if after == 0 {
		return f.readAll(ctx, f.store)
	}
	ctx, cancel := clock.WithTimeout(ctx, f.cfg.ReadTimeout)
	defer cancel()
	b, err := f.store.Watch(ctx, f.table.prefix, after, 0)
	if err != nil {
		return err
	}
	if !f.table.Apply(clock.Now(), b) {
		return ErrCompacted
	}
	return nil
}

// outage is the state of an outage: the store does not answer and no other process
// confirms the copy.
type outage struct {
	mu    sync.Mutex
	down  bool
	ended time.Time // end of the last outage
}

// outageAfter is how far the copy's age must exceed StaleAfter for failing calls to
// count as an outage: longer than one rejected call and its retry take.
const outageAfter = 500 * time.Millisecond

// Outage reports whether the store is unavailable, and when the last outage ended. If only
// this process cannot reach the store, that is no outage, because the copy is then
// kept current from other processes.
func (f *Follower) Outage() (down bool, ended time.Time) {
	now := clock.Now()
	f.outage.mu.Lock()
	defer f.outage.mu.Unlock()
	down = f.store.Failing() && f.age(now) > f.cfg.StaleAfter+outageAfter
	if f.outage.down && !down {
		f.outage.ended = now
	}
	f.outage.down = down
	return down, f.outage.ended
}

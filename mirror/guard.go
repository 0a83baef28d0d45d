package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
)

// guardTick is the time between two looks at the age of the copy: a small part
// of what is left of 2 s after StaleAfter.
const guardTick = 50 * time.Millisecond

// guard reads the store when the copy is old, whatever is followed and however
// long that takes to answer.
func (f *Follower) guard(ctx context.Context) {
	spread := rand.Float64()
	for loop.Sleep(ctx, guardTick) {
		f.Outage()
		now := clock.Now()
		stale := f.age(now) > f.cfg.StaleAfter+f.route.StoreReadDelay()
		called, failures := f.store.last()
		if !stale && failures == 0 || now.Sub(called) < f.readPause(failures, stale, spread) {
			continue
		}
		f.readStore(ctx, stale)
		spread = rand.Float64()
	}
}

// readPause is how long the guard does not call the store after the last call:
// calls are paid for, also those that fail.
func (f *Follower) readPause(failures int, stale bool, spread float64) time.Duration {
	switch {
	case failures == 0:
		return 0
	case !stale:
		return f.cfg.ProbeInterval
	}
	if f.route.Backup() && failures >= backupAfter {
		return f.cfg.ProbeInterval
	}
	return f.pause(failures, spread)
}

// backupAfter is how many calls fail in a row before a backup leaves the store to
// others: about 2 s of pauses, in which those that reach it have told so.
const backupAfter = 6

// readStore reads what the store has beyond the copy, without waiting.
func (f *Follower) readStore(ctx context.Context, stale bool) {
	age := f.age(clock.Now())
	err := f.readChanges(ctx)
	if errors.Is(err, ErrCompacted) {
		err = f.readAll(ctx, f.store)
	}
	if !stale || ctx.Err() != nil {
		return // its result is logged by the Contact
	}
	f.stats.reads.Inc(1)
	fields := logrus.Fields{"age_ms": age.Milliseconds(), "revision": f.table.Revision()}
	if err == nil {
		f.log.WithFields(fields).Info("Copy was stale, read the store.")
		return
	}
	f.stats.readsFailed.Inc(1)
	f.log.WithFields(fields).WithError(err).Debug("Copy is stale, the store does not answer.")
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
	f.table.Apply(clock.Now(), b)
	return nil
}

// outage is when the store did not answer and nobody confirmed the copy.
type outage struct {
	mu    sync.Mutex
	down  bool
	ended time.Time // of the last one
}

// outageAfter is for how long calls of the store must fail, beyond the age at
// which the copy counts as old, to count as an outage: longer than one refused
// call and its repetition.
const outageAfter = 500 * time.Millisecond

// Outage reports whether the store is away, and when that last ended. A store
// that only this process does not reach is not away: what it lists, and what it
// does not, is known from others.
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

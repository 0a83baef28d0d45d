package mirror

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
)

// Config holds the timing parameters of a Follower.
type Config struct {
	// Wait is how long one watch waits for changes. A longer wait needs fewer calls, of which
	// each at the store is billed, but a watch whose connection was dropped silently is detected
	// only after Wait. Default 1 s, because a configuration must take effect within 2 s.
	Wait time.Duration
	// MinWatchInterval is the minimum time between the starts of two watches at a source
	// whose calls are billed: each change ends a watch, and changes come in bursts.
	// A change after an idle period is received at once. Default 200 ms, a tenth of
	// the time within which a configuration must take effect.
	MinWatchInterval time.Duration
	// WatchGrace is how long a watch may take beyond its wait. Default 1 s.
	WatchGrace time.Duration
	// RangeTimeout bounds the read of a full copy. A copy of 3,000 targets has 1 MB,
	// and the entries of a failure domain that start together read it over one link:
	// seven entries need 2.1 s at 27 Mbit/s. An entry that times out sooner starts
	// over, and its traffic delays the reads of the others. Default 4 s.
	RangeTimeout time.Duration
	// Backoff is the delay after a failure when there is no other source; it doubles with each
	// further failure, up to MaxBackoff. In an outage of the store all processes retry at this
	// rate, and the first that succeeds notifies the others. Defaults 50 ms and 2 s.
	Backoff, MaxBackoff time.Duration
	// StaleAfter is the age of the copy at which the store is read independently of
	// the current source. Watches at the store confirm the copy once per Wait, at the
	// latest Wait plus MinWatchInterval after the last confirmation. A change must be
	// received within 2 s; what StaleAfter leaves of that is for ReadTimeout and network
	// latency. Default 1.3 s.
	StaleAfter time.Duration
	// ReadTimeout bounds a read of the store because of a stale copy. A slow store
	// answers within 0.4 s. Default 500 ms.
	ReadTimeout time.Duration
	// ProbeInterval is the time between the calls with which a process that cannot
	// reach the store, but whose copy others confirm, checks whether the store is
	// reachable again. Each call is billed and none is urgent. Default 4 s.
	ProbeInterval time.Duration
}

func (c Config) applyDefaults() Config {
	c.Wait = cmp.Or(c.Wait, time.Second)
	c.MinWatchInterval = cmp.Or(c.MinWatchInterval, 200*time.Millisecond)
	c.WatchGrace = cmp.Or(c.WatchGrace, time.Second)
	c.RangeTimeout = cmp.Or(c.RangeTimeout, rangeTimeout)
	c.Backoff = cmp.Or(c.Backoff, 50*time.Millisecond)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, 2*time.Second)
	c.StaleAfter = cmp.Or(c.StaleAfter, 1300*time.Millisecond)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, 500*time.Millisecond)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, 4*time.Second)
	return c
}

// Route selects the source to follow. It is queried before each call.
type Route interface {
	// Source returns the current source, or nil for the store itself, and a channel
	// that is closed when the source changes.
	Source() (Source, <-chan struct{})
	// StoreReadDelay returns how far the copy's age must exceed StaleAfter before
	// this process reads the store.
	StoreReadDelay() time.Duration
	// Backup reports whether enough other processes call the store during an outage.
	// A backup may call the store less often, because the others notify it when the
	// store answers again.
	Backup() bool
}

// Follower keeps a Table up to date. It follows the source that its Route selects and
// also reads the store when the copy is stale: a source that answers may itself have
// lost the store, and a call may hang.
type Follower struct {
	cfg       Config
	table     *Table
	store     *MonitoredStore
	route     Route
	log       logrus.FieldLogger
	stats     *Stats
	createdAt time.Time

	failures   int
	lastWatch  time.Time // start of the last watch
	sourceLost bool
	outage     outage
}

// Options are the parameters of NewFollower.
type Options struct {
	Config Config
	Table  *Table
	Store  *MonitoredStore
	Route  Route
	Log    logrus.FieldLogger
	Stats  *Stats
}

// NewFollower returns a follower that is not running.
func NewFollower(o Options) *Follower {
	f := &Follower{cfg: o.Config.applyDefaults(), table: o.Table, store: o.Store, route: o.Route, log: o.Log, stats: o.Stats,
		createdAt: clock.Now()}
	f.stats.registerAge(func() int64 { return f.age(clock.Now()).Milliseconds() })
	f.stats.registerLateEvents(f.table.LateEvents)
	f.stats.registerFullCopies(f.table.FullCopies)
	f.stats.registerOutdatedCopies(f.table.OutdatedCopies)
	f.stats.registerRevision(f.table.Revision)
	return f
}

// age returns the time since the copy was last confirmed to agree with the store, or
// since the follower was created if there is no copy yet.
func (f *Follower) age(now time.Time) time.Duration {
	return now.Sub(later(f.createdAt, f.table.ConfirmedAt()))
}

// maxImmediateRetries is the number of consecutive failures up to which another source
// is tried without back-off: one failure of the store and one of a reader (an entry that
// follows the store and that others follow).
const maxImmediateRetries = 2

// Run keeps the table up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.readStoreWhenStale(ctx)
	for ctx.Err() == nil {
		src, changed := f.source()
		err := f.follow(ctx, src, changed)
		if err == nil {
			f.recordSuccess(src)
			continue
		}
		if errors.Is(err, ErrSourceChanged) {
			continue
		}
		f.failures++
		if next, _ := f.source(); f.failures <= maxImmediateRetries && next.Name() != src.Name() {
			continue
		}
		f.waitBackoff(ctx, src, changed)
	}
}

// waitBackoff waits after a failure of src. It returns early when the source changes or
// the store recovers. Calls to the store by readStoreWhenStale restart the delay.
func (f *Follower) waitBackoff(ctx context.Context, src Source, changed <-chan struct{}) {
	begun, delay := clock.Now(), f.backoff(f.failures, rand.Float64())
	for {
		if lastCall, _ := f.store.callState(); src == Source(f.store) {
			begun = later(begun, lastCall)
		}
		wait := delay - clock.Since(begun)
		if wait <= 0 {
			return
		}
		timer := clock.NewTimer(wait)
		select {
		case <-timer.C:
			continue
		case <-changed:
		case <-f.store.recovery():
		case <-ctx.Done():
		}
		timer.Stop()
		return
	}
}

// backoff returns the delay after a number of consecutive failures. jitter, from 0 to 1,
// keeps processes that failed at the same time from retrying at the same time.
func (f *Follower) backoff(failures int, jitter float64) time.Duration {
	limit := min(f.cfg.Backoff<<min(failures, 6), f.cfg.MaxBackoff)
	return time.Duration((1 + jitter) / 2 * float64(limit))
}

// source returns the source to follow now. A peer may have no copy yet, so a process
// without a copy alternates between the peer and the store after each failure.
func (f *Follower) source() (Source, <-chan struct{}) {
	src, changed := f.route.Source()
	if src == nil || f.table.Revision() == 0 && f.failures%2 == 1 && !readsStore(src) {
		return f.store, changed
	}
	return src, changed
}

func readsStore(src Source) bool {
	r, ok := src.(StoreReader)
	return ok && r.ReadsStore()
}

func (f *Follower) recordSuccess(src Source) {
	if f.sourceLost {
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision(),
			"failures": f.failures}).Info("Source available again.")
	}
	f.sourceLost, f.failures = false, 0
}

// follow makes one call to src and applies its result. It returns ErrSourceChanged when
// changed is closed during the call, and if src returns it.
func (f *Follower) follow(ctx context.Context, src Source, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-changed:
			cancel(ErrSourceChanged)
		case <-ctx.Done():
		}
	}()
	err := f.fetchChanges(ctx, src)
	if needsFullCopy(err) {
		err = f.readInstead(ctx, src, err)
	}
	if err != nil && (errors.Is(err, ErrSourceChanged) || errors.Is(context.Cause(ctx), ErrSourceChanged)) {
		return ErrSourceChanged
	}
	if err != nil && ctx.Err() == nil && !f.sourceLost {
		f.sourceLost = true
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision(),
			"age_ms": f.age(clock.Now()).Milliseconds(), "error": err.Error()}).Warn("Source failed.")
	}
	return err
}

func (f *Follower) fetchChanges(ctx context.Context, src Source) error {
	after := f.table.Revision()
	if after == 0 {
		return f.readAll(ctx, src)
	}
	if p, ok := src.(Paid); ok && p.Paid() && !loop.Sleep(ctx, f.cfg.MinWatchInterval-clock.Since(f.lastWatch)) {
		return ctx.Err()
	}
	f.lastWatch = clock.Now()
	ctx, cancel := clock.WithTimeout(ctx, f.cfg.Wait+f.cfg.WatchGrace)
	defer cancel()
	b, err := src.Watch(ctx, f.table.prefix, after, f.watchWait(src, f.lastWatch))
	if err != nil {
		return err
	}
	before := f.table.Revision()
	if !f.table.Apply(clock.Now(), b) {
		return ErrCompacted
	}
	f.noteRestore(src, before)
	return nil
}

// needsFullCopy reports whether a source cannot tell the changes since the copy's revision.
func needsFullCopy(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) || errors.Is(err, ErrOversized)
}

// readInstead reads the full copy after reading the changes failed with cause.
func (f *Follower) readInstead(ctx context.Context, src Source, cause error) error {
	fields := logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision()}
	switch {
	case errors.Is(cause, ErrCompacted):
		f.stats.compacted.Inc(1)
		f.log.WithFields(fields).Info("Source compacted its history, reading the full copy.")
	case errors.Is(cause, ErrOversized):
		f.stats.oversized.Inc(1)
		f.log.WithFields(fields).Info("Changes are too large for a response, reading the full copy.")
	}
	return f.readAll(ctx, src)
}

// noteRestore logs that the store was restored from an older copy if the era of the copy has
// changed.
func (f *Follower) noteRestore(src Source, before Revision) {
	now := f.table.Revision()
	if before == 0 || now.Era() == before.Era() {
		return
	}
	f.stats.restores.Inc(1)
	f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "from_era": before.Era(), "from_revision": before.Number(),
		"to_era": now.Era(), "to_revision": now.Number()}).Warn("The store was restored from an older copy.")
}

// watchWait returns how long a watch that starts now waits for changes. A watch at the
// store ends when Wait has passed since the time as of which this process's last read of the
// store confirmed the copy. That may be longer ago than the end of the last watch: a response
// with changes that arrives late in a watch confirms the copy only as of the watch's start.
func (f *Follower) watchWait(src Source, now time.Time) time.Duration {
	if src != Source(f.store) {
		return f.cfg.Wait
	}
	readAt, _ := f.table.LastStoreRead()
	return max(0, f.cfg.Wait-now.Sub(readAt)).Truncate(time.Millisecond) // the resolution on the wire
}

func (f *Follower) readAll(ctx context.Context, src Source) error {
	ctx, cancel := clock.WithTimeout(ctx, f.cfg.RangeTimeout)
	defer cancel()
	begun := clock.Now()
	b, err := src.Range(ctx, f.table.prefix)
	if err != nil {
		return err
	}
	before := f.table.Revision()
	taken := f.table.Replace(clock.Now(), b)
	f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "items": len(b.Events), "revision": b.Revision,
		"up_to": b.MaxRevision, "ms": clock.Since(begun).Milliseconds(), "taken": taken}).Info("Full copy read.")
	f.noteRestore(src, before)
	if !taken && f.table.ConfirmedAt().Before(begun) {
		return ErrOutdated // back off: nothing else has brought the copy up to date either
	}
	return nil
}

// rangeTimeout is the default of Config.RangeTimeout and the timeout of ReadAll.
const rangeTimeout = 4 * time.Second

// catchUpTimeout bounds the read of changes by CatchUp. A peer answers from memory.
const catchUpTimeout = time.Second

// CatchUp applies the changes that src has beyond the table, without waiting for new
// changes. It reads the full copy if src no longer has the history after the table's revision.
func CatchUp(ctx context.Context, src Source, t *Table) error {
	if after := t.Revision(); after > 0 {
		err := catchUpChanges(ctx, src, t, after)
		if !needsFullCopy(err) {
			return err
		}
	}
	return ReadAll(ctx, src, t)
}

// ReadAll replaces the table's content by the full copy of src.
func ReadAll(ctx context.Context, src Source, t *Table) error {
	ctx, cancel := clock.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	b, err := src.Range(ctx, t.prefix)
	if err != nil {
		return err
	}
	t.Replace(clock.Now(), b)
	return nil
}

func catchUpChanges(ctx context.Context, src Source, t *Table, after Revision) error {
	ctx, cancel := clock.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	b, err := src.Watch(ctx, t.prefix, after, 0)
	if err != nil {
		return err
	}
	if !t.Apply(clock.Now(), b) {
		return ErrCompacted
	}
	return nil
}

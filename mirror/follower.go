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

// Config holds the times of a Follower.
type Config struct {
	// Wait is how long one watch waits. Each watch is one paid call, but a
	// watch that was cut without a word is noticed only after it. Default 1 s:
	// configurations must be in force within 2 s.
	Wait time.Duration
	// MinWatchInterval is the least time between the starts of two watches at a source
	// whose calls are paid for: each change ends a watch, and changes come in
	// bursts. A change after a quiet time is seen at once. Default 200 ms, a tenth
	// of the time in which a configuration must be in force.
	MinWatchInterval time.Duration
	// WatchGrace bounds how late a watch may be. Default 1 s.
	WatchGrace time.Duration
	// RangeTimeout bounds the read of a whole copy. One of 3,000 targets has 1 MB,
	// and the entries of a failure domain that start together read it over one link:
	// seven of them need 2.1 s at 27 Mbit/s. One that gives up sooner begins anew and
	// keeps the others from ending. Default 4 s.
	RangeTimeout time.Duration
	// Backoff is the pause after a failure with no other source; it doubles
	// up to MaxBackoff. In an outage of the store all processes call it so often,
	// and the first whose call works tells the others. Defaults 50 ms and 2 s.
	Backoff, MaxBackoff time.Duration
	// StaleAfter is how old the copy may grow before the store is read whatever
	// is followed. A watch at the store tells of it each Wait, at the latest
	// Wait and Interval after the last; a change must be known within 2 s, of
	// which the rest is for ReadTimeout and the way. Default 1.3 s.
	StaleAfter time.Duration
	// ReadTimeout bounds such a read; a slow store answers in 0.4 s. Default
	// 500 ms.
	ReadTimeout time.Duration
	// ProbeInterval is the time between two calls by which a process that does not
	// reach the store, but whose copy others confirm, finds out that it does
	// again. Each is paid for and none is urgent. Default 4 s.
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

// Route says whom to follow: a peer, or the store itself if that is nil. It is
// asked before each call.
type Route interface {
	// Source returns what to follow now, and a channel that is closed when that
	// changes.
	Source() (Source, <-chan struct{})
	// StoreReadDelay is how much longer than others this process waits before it
	// reads the store because its copy is old.
	StoreReadDelay() time.Duration
	// Backup reports whether enough others call the store while it is away, so
	// that this process, which hears from them when it answers again, need not
	// call it as often.
	Backup() bool
}

// Follower keeps a Table up to date. It follows what its Route says and, beside
// that, reads the store when the copy has grown old: a source that answers may
// have lost the store itself, and a call may hang.
type Follower struct {
	cfg   Config
	table *Table
	store *MonitoredStore
	route Route
	log   logrus.FieldLogger
	stats *Stats
	made  time.Time

	failures int
	watched  time.Time // when the last watch began
	lost     bool
	outage   outage
}

// Options are what a Follower is made of.
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
		made: clock.Now()}
	f.stats.age(func() int64 { return f.age(clock.Now()).Milliseconds() })
	f.stats.late(f.table.LateEvents)
	return f
}

// age is how long ago the store was last known to agree with the copy, or how
// long this has waited for a first one.
func (f *Follower) age(now time.Time) time.Duration {
	return now.Sub(later(f.made, f.table.ConfirmedAt()))
}

// freeMoves is how many sources in a row may fail before the next one is tried
// only after a pause: the store and one reader.
const freeMoves = 2

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.guard(ctx)
	for ctx.Err() == nil {
		src, moved := f.source()
		err := f.follow(ctx, src, moved)
		if err == nil {
			f.regained(src)
			continue
		}
		if errors.Is(err, ErrSourceChanged) {
			continue
		}
		f.failures++
		if next, _ := f.source(); f.failures <= freeMoves && next.Name() != src.Name() {
			continue
		}
		f.rest(ctx, src, moved)
	}
}

// rest waits after a failure of src, at most until there is something else to
// follow or the store is reached again. Calls of the store by the guard count as
// tries.
func (f *Follower) rest(ctx context.Context, src Source, moved <-chan struct{}) {
	begun, pause := clock.Now(), f.pause(f.failures, rand.Float64())
	for {
		if called, _ := f.store.last(); src == Source(f.store) {
			begun = later(begun, called)
		}
		wait := pause - clock.Since(begun)
		if wait <= 0 {
			return
		}
		timer := clock.NewTimer(wait)
		select {
		case <-timer.C:
			continue
		case <-moved:
		case <-f.store.reached():
		case <-ctx.Done():
		}
		timer.Stop()
		return
	}
}

// pause returns how long to wait after so many failures in a row. spread, from 0
// to 1, keeps processes that failed together from calling together.
func (f *Follower) pause(failures int, spread float64) time.Duration {
	most := min(f.cfg.Backoff<<min(failures, 6), f.cfg.MaxBackoff)
	return time.Duration((1 + spread) / 2 * float64(most))
}

// source returns what to follow now. A peer may have no copy yet, so who has none
// itself tries the store in turn with it.
func (f *Follower) source() (Source, <-chan struct{}) {
	src, moved := f.route.Source()
	if src == nil || f.table.Revision() == 0 && f.failures%2 == 1 {
		return f.store, moved
	}
	return src, moved
}

func (f *Follower) regained(src Source) {
	if f.lost {
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision(),
			"failures": f.failures}).Info("Source regained.")
	}
	f.lost, f.failures = false, 0
}

// follow makes one call at src and applies its result. The call ends with
// ErrMoved when moved is closed.
func (f *Follower) follow(ctx context.Context, src Source, moved <-chan struct{}) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-moved:
			cancel(ErrSourceChanged)
		case <-ctx.Done():
		}
	}()
	err := f.step(ctx, src)
	if errors.Is(err, ErrCompacted) {
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix,
			"revision": f.table.Revision()}).Info("History is gone, reading all again.")
		err = f.readAll(ctx, src)
	}
	if err != nil && errors.Is(context.Cause(ctx), ErrSourceChanged) {
		return ErrSourceChanged
	}
	if err != nil && ctx.Err() == nil && !f.lost {
		f.lost = true
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision(),
			"age_ms": f.age(clock.Now()).Milliseconds(), "error": err.Error()}).Warn("Source lost.")
	}
	return err
}

func (f *Follower) step(ctx context.Context, src Source) error {
	after := f.table.Revision()
	if after == 0 {
		return f.readAll(ctx, src)
	}
	if p, ok := src.(Paid); ok && p.Paid() && !loop.Sleep(ctx, f.cfg.MinWatchInterval-clock.Since(f.watched)) {
		return ctx.Err()
	}
	f.watched = clock.Now()
	ctx, cancel := clock.WithTimeout(ctx, f.cfg.Wait+f.cfg.WatchGrace)
	defer cancel()
	b, err := src.Watch(ctx, f.table.prefix, after, f.wait(src, f.watched))
	if err != nil {
		return err
	}
	f.table.Apply(clock.Now(), b)
	return nil
}

// wait returns how long a watch that begins now is to wait for changes. One at the
// store ends when the own reads are as old as a whole watch: an answer with
// changes that comes late in a watch confirms the copy only as of its begin.
func (f *Follower) wait(src Source, now time.Time) time.Duration {
	if src != Source(f.store) {
		return f.cfg.Wait
	}
	readAt, _ := f.table.LastStoreRead()
	return max(0, f.cfg.Wait-now.Sub(readAt)).Truncate(time.Millisecond) // as it is sent
}

func (f *Follower) readAll(ctx context.Context, src Source) error {
	ctx, cancel := clock.WithTimeout(ctx, f.cfg.RangeTimeout)
	defer cancel()
	begun := clock.Now()
	b, err := src.Range(ctx, f.table.prefix)
	if err != nil {
		return err
	}
	f.table.Replace(clock.Now(), b)
	f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "items": len(b.Events), "revision": b.Revision,
		"up_to": b.MaxRevision, "ms": clock.Since(begun).Milliseconds()}).Info("Copy read whole.")
	return nil
}

// rangeTimeout is the default of Config.RangeTimeout, which CatchUp keeps to.
const rangeTimeout = 4 * time.Second

// catchUpTimeout bounds the read of changes by CatchUp; a peer's copy lies in its
// memory.
const catchUpTimeout = time.Second

// CatchUp applies what src has beyond the table, without waiting.
func CatchUp(ctx context.Context, src Source, t *Table) error {
	if after := t.Revision(); after > 0 {
		err := catchUpChanges(ctx, src, t, after)
		if !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	return ReadAll(ctx, src, t)
}

// ReadAll replaces the table by the whole copy that src has.
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

func catchUpChanges(ctx context.Context, src Source, t *Table, after int64) error {
	ctx, cancel := clock.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	b, err := src.Watch(ctx, t.prefix, after, 0)
	if err != nil {
		return err
	}
	t.Apply(clock.Now(), b)
	return nil
}

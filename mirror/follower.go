package mirror

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/loop"
)

// Config holds the times of a Follower.
type Config struct {
	// Wait is how long one watch waits. Each watch is one paid call, but a
	// watch that was cut without a word is noticed only after it. Default 1 s:
	// configurations must be in force within 2 s.
	Wait time.Duration
	// Interval is the least time between the starts of two watches at a source
	// whose calls are paid for: each change ends a watch, and changes come in
	// bursts. A change after a quiet time is seen at once. Default 200 ms, a tenth
	// of the time in which a configuration must be in force.
	Interval time.Duration
	// PeerWait is how long a watch at a peer waits. It bounds how long the
	// store is not tried again. Default 1 s.
	PeerWait time.Duration
	// MaxAge is how long ago a peer that is followed may have heard the store.
	// A peer that watches hears it each Wait. Default 1.8 s.
	MaxAge time.Duration
	// Timeout bounds a read that does not wait, and how late a watch may be.
	// Default 1 s.
	Timeout time.Duration
	// Backoff is the pause after a failure with no other source; it doubles
	// up to MaxBackoff. Defaults 50 ms and 1 s.
	Backoff, MaxBackoff time.Duration
}

func (c Config) applyDefaults() Config {
	c.Wait = cmp.Or(c.Wait, time.Second)
	c.Interval = cmp.Or(c.Interval, 200*time.Millisecond)
	c.PeerWait = cmp.Or(c.PeerWait, time.Second)
	c.MaxAge = cmp.Or(c.MaxAge, 1800*time.Millisecond)
	c.Timeout = cmp.Or(c.Timeout, time.Second)
	c.Backoff = cmp.Or(c.Backoff, 50*time.Millisecond)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, time.Second)
	return c
}

// Follower keeps a Table up to date.
type Follower struct {
	cfg   Config
	table *Table
	// primary is the source that is followed while it works; fallback returns
	// another one, or nil.
	primary  func() Source
	fallback func() Source
	log      logrus.FieldLogger

	failures int
	watched  time.Time // when the last watch began
	lost     bool
	outage   outage
}

// outage is when neither the store nor a peer could be followed.
type outage struct {
	mu    sync.Mutex
	since time.Time // zero if there is none
	ended time.Time // of the last one
}

// outageAfter is how long all sources must fail to count as an outage: longer
// than one refused call and its repetition.
const outageAfter = 500 * time.Millisecond

func (o *outage) failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
}

func (o *outage) worked(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.since.IsZero() && now.Sub(o.since) > outageAfter {
		o.ended = now
	}
	o.since = time.Time{}
}

// Outage reports whether all sources fail now, and when that last ended.
func (f *Follower) Outage() (down bool, ended time.Time) {
	f.outage.mu.Lock()
	defer f.outage.mu.Unlock()
	return !f.outage.since.IsZero(), f.outage.ended
}

// NewFollower returns a follower of table. Sources are asked for before each
// call, so they may change at any time.
func NewFollower(cfg Config, table *Table, primary, fallback func() Source, log logrus.FieldLogger) *Follower {
	return &Follower{cfg: cfg.applyDefaults(), table: table, primary: primary, fallback: fallback, log: log}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		src := f.primary()
		if src != nil && f.follow(ctx, src, f.cfg.Wait) == nil {
			f.regained(src)
			f.outage.worked(time.Now())
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failures++
		if other := f.fallback(); other != nil && f.follow(ctx, other, f.cfg.PeerWait) == nil {
			f.outage.worked(time.Now())
			continue
		}
		f.outage.failed(time.Now())
		pause := min(f.cfg.Backoff<<min(f.failures, 6), f.cfg.MaxBackoff)
		if !loop.Sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
	}
}

func (f *Follower) regained(src Source) {
	if f.lost {
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision(),
			"failures": f.failures}).Info("Source regained.")
	}
	f.lost, f.failures = false, 0
}

// follow makes one call at src and applies its result.
func (f *Follower) follow(ctx context.Context, src Source, wait time.Duration) error {
	err := f.step(ctx, src, wait)
	if errors.Is(err, ErrCompacted) {
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix,
			"revision": f.table.Revision()}).Info("History is gone, reading all again.")
		err = f.readAll(ctx, src)
	}
	if err != nil && ctx.Err() == nil && !f.lost {
		f.lost = true
		f.log.WithFields(logrus.Fields{"source": src.Name(), "prefix": f.table.prefix, "revision": f.table.Revision(),
			"error": err.Error()}).Warn("Source lost.")
	}
	return err
}

func (f *Follower) step(ctx context.Context, src Source, wait time.Duration) error {
	after := f.table.Revision()
	if after == 0 {
		return f.readAll(ctx, src)
	}
	if p, ok := src.(Paid); ok && p.Paid() && !loop.Sleep(ctx, f.cfg.Interval-time.Since(f.watched)) {
		return ctx.Err()
	}
	f.watched = time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.Timeout)
	defer cancel()
	b, err := src.Watch(ctx, f.table.prefix, after, wait)
	if err != nil {
		return err
	}
	f.table.Apply(time.Now(), b)
	if b.Age > f.cfg.MaxAge {
		return ErrStale
	}
	return nil
}

func (f *Follower) readAll(ctx context.Context, src Source) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	b, err := src.Range(ctx, f.table.prefix)
	if err != nil {
		return err
	}
	f.table.Replace(time.Now(), b)
	return nil
}

// catchUpTimeout bounds one CatchUp; a peer's copy lies in its memory.
const catchUpTimeout = time.Second

// CatchUp applies what src has beyond the table, without waiting.
func CatchUp(ctx context.Context, src Source, t *Table) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if after := t.Revision(); after > 0 {
		b, err := src.Watch(ctx, t.prefix, after, 0)
		if err == nil {
			t.Apply(time.Now(), b)
			return nil
		}
		if !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	b, err := src.Range(ctx, t.prefix)
	if err != nil {
		return err
	}
	t.Replace(time.Now(), b)
	return nil
}

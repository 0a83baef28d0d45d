// Package clock reads the time by which ages, leases, fences and timeouts are measured: one
// that goes on while the machine is suspended, and that steps of the time of day do not
// move.
//
// The monotonic clock of package time stands still while a machine is suspended. What
// begins before a suspension and is measured by it afterwards comes out too short by that,
// for good: a copy looks young, a version seems named a moment ago, a lease seems held.
// CLOCK_BOOTTIME goes on. Now is the time of package time moved on by how much further that
// clock is.
//
// Times of this package are for differences between each other. For a date, an ID or a
// token that another process compares with its time of day, time.Now is right; AtDate
// takes the dates of others.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// readEvery is the least time between two readings of the two clocks, which are two calls
// of the kernel, 0.4 µs each. For so long after a machine wakes, times may still be those of
// before.
const readEvery = 5 * time.Millisecond

// least is the shortest suspension that counts. The two readings are some µs apart, and
// more if the process is interrupted between them.
const least = time.Millisecond

// Source reads the clock that goes on during a suspension and then the one that does not,
// in this order: what passes between the two makes a suspension look shorter, and the
// longest that was found counts.
type Source func() (boot, monotonic time.Duration)

func kernel() (boot, monotonic time.Duration) {
	return read(unix.CLOCK_BOOTTIME), read(unix.CLOCK_MONOTONIC)
}

// read returns a clock of the kernel; both are there on each Linux that runs Go programs.
func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// current is the one clock of the process.
var current atomic.Pointer[processClock]

func init() { current.Store(newClock(kernel, time.Now)) }

// SetSource reads other clocks until restore is called, for tests. timeOfDay goes on during
// a suspension.
func SetSource(s Source, timeOfDay func() time.Time) (restore func()) {
	old := current.Swap(newClock(s, timeOfDay))
	return func() { current.Store(old) }
}

// Refresh reads the clocks at once: the machine may have been suspended.
func Refresh() { current.Load().look(time.Now()) }

type processClock struct {
	source    Source
	timeOfDay func() time.Time
	atStart   time.Duration // how far the clocks were apart then
	suspended atomic.Int64  // how much further they are now, in ns
	readAt    atomic.Int64  // time of the last reading, in ns
	timers    timers
}

func newClock(s Source, timeOfDay func() time.Time) *processClock {
	boot, monotonic := s()
	return &processClock{source: s, timeOfDay: timeOfDay, atStart: boot - monotonic}
}

// epoch is what readings are counted from.
var epoch = time.Now()

// Now returns the current time.
func Now() time.Time { return current.Load().now() }

// Since returns the time that has passed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func (c *processClock) now() time.Time {
	now := time.Now()
	return now.Add(c.update(now))
}

// update returns for how long the machine has been suspended since the start.
func (c *processClock) update(now time.Time) time.Duration {
	at, last := int64(now.Sub(epoch)), c.readAt.Load()
	if passed := time.Duration(at - last); passed >= 0 && passed < readEvery || !c.readAt.CompareAndSwap(last, at) {
		return time.Duration(c.suspended.Load())
	}
	return c.look(now)
}

// look reads the clocks.
func (c *processClock) look(now time.Time) time.Duration {
	boot, monotonic := c.source()
	found := int64(boot - monotonic - c.atStart)
	for {
		old := c.suspended.Load()
		if time.Duration(found-old) < least {
			return time.Duration(old)
		}
		if c.suspended.CompareAndSwap(old, found) {
			c.timers.again(now.Add(time.Duration(found)))
			return time.Duration(found)
		}
	}
}

// FromWallTime returns the time of this clock at a date that another process made, as the time of
// day is set now. It goes by how long ago that was, and so holds for dates of before a
// suspension too.
func FromWallTime(date time.Time) time.Time {
	return Now().Add(-current.Load().timeOfDay().Round(0).Sub(date))
}

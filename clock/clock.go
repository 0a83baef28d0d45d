// Package clock provides the clock by which ages, leases, fences and timeouts are measured.
// It advances while the machine is suspended and is not affected by steps of the wall clock.
//
// The monotonic clock of package time stops while the machine is suspended. A duration that
// begins before a suspension and is measured after it is too short by the length of the
// suspension: a copy appears too fresh, a version appears recently announced, an expired
// lease appears valid. CLOCK_BOOTTIME includes suspensions. Now returns the time of package
// time plus the time by which CLOCK_BOOTTIME has advanced further than CLOCK_MONOTONIC.
//
// Times of this package may only be compared with each other. Use time.Now for dates, IDs
// and tokens that another process compares with its wall clock, and FromWallTime to convert
// wall-clock times received from other processes.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minReadInterval is the least time between two readings of the kernel clocks, which cost
// two system calls of 0.4 µs each. For this long after a resume, Now may not include the
// suspension yet.
const minReadInterval = 5 * time.Millisecond

// minSuspension is the shortest suspension that is detected. The two clocks are read some
// µs apart, or more if the process is preempted between the two readings.
const minSuspension = time.Millisecond

// Source reads the clock that includes suspensions and then the one that does not. In this
// order a delay between the two readings makes a suspension look shorter, which is harmless:
// the longest total of suspensions that was measured is used.
type Source func() (boot, monotonic time.Duration)

func kernelClocks() (boot, monotonic time.Duration) {
	return readClock(unix.CLOCK_BOOTTIME), readClock(unix.CLOCK_MONOTONIC)
}

// readClock returns the time of a kernel clock. Both clocks exist on every Linux version
// that Go supports.
func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// current is the clock of the process.
var current atomic.Pointer[processClock]

func init() { current.Store(newClock(kernelClocks, time.Now)) }

// SetSource replaces the clocks that are read until restore is called, for tests. timeOfDay
// returns the wall clock, which includes suspensions.
func SetSource(s Source, timeOfDay func() time.Time) (restore func()) {
	old := current.Swap(newClock(s, timeOfDay))
	return func() { current.Store(old) }
}

// Refresh reads the clocks immediately, to detect a suspension without delay.
func Refresh() { current.Load().refresh(time.Now()) }

type processClock struct {
	source        Source
	timeOfDay     func() time.Time
	initialOffset time.Duration // offset between the two clocks when this clock was created
	suspended     atomic.Int64  // total time of suspensions since this clock was created, in ns
	readAt        atomic.Int64  // time of the last reading of the kernel clocks, in ns since epoch
	timers        timers
}

func newClock(s Source, timeOfDay func() time.Time) *processClock {
	boot, monotonic := s()
	return &processClock{source: s, timeOfDay: timeOfDay, initialOffset: boot - monotonic}
}

// epoch is the time from which readAt counts.
var epoch = time.Now()

// Now returns the current time.
func Now() time.Time { return current.Load().now() }

// Since returns the time elapsed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func (c *processClock) now() time.Time {
	now := time.Now()
	return now.Add(c.update(now))
}

// update returns the total time of suspensions since the clock was created. It reads the
// kernel clocks at most once in minReadInterval.
func (c *processClock) update(now time.Time) time.Duration {
	sinceEpoch, last := int64(now.Sub(epoch)), c.readAt.Load()
	if elapsed := time.Duration(sinceEpoch - last); elapsed >= 0 && elapsed < minReadInterval || !c.readAt.CompareAndSwap(last, sinceEpoch) {
		return time.Duration(c.suspended.Load())
	}
	return c.refresh(now)
}

// refresh reads the kernel clocks and reschedules the timers after a suspension. It returns
// the total time of suspensions.
func (c *processClock) refresh(now time.Time) time.Duration {
	boot, monotonic := c.source()
	total := int64(boot - monotonic - c.initialOffset)
	for {
		old := c.suspended.Load()
		if time.Duration(total-old) < minSuspension {
			return time.Duration(old)
		}
		if c.suspended.CompareAndSwap(old, total) {
			c.timers.reschedule(now.Add(time.Duration(total)))
			return time.Duration(total)
		}
	}
}

// FromWallTime converts a wall-clock time, for example one received from another process, to
// a time of this clock. It subtracts the age of the date, measured by the current wall clock,
// from Now, and so is also correct for times before a suspension.
func FromWallTime(date time.Time) time.Time {
	return Now().Add(-current.Load().timeOfDay().Round(0).Sub(date))
}

package clock

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// simulateSuspension replaces the clock sources and returns a function that simulates a
// suspension of the machine.
func simulateSuspension(t *testing.T) (suspend func(time.Duration)) {
	var suspended atomic.Int64
	t.Cleanup(SetSource(func() (boot, monotonic time.Duration) { return time.Duration(suspended.Load()), 0 },
		func() time.Time { return time.Now().Add(time.Duration(suspended.Load())).Round(0) }))
	return func(d time.Duration) {
		suspended.Add(int64(d))
		Refresh()
	}
}

func TestNowIncludesSuspensions(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			suspend := simulateSuspension(t)
			start := Now()
			assert.Equal(t, time.Now(), start)
			time.Sleep(time.Second)
			suspend(d)
			assert.Equal(t, Since(start), time.Second+d)
			assert.Equal(t, Until(start), -time.Second-d)
			suspend(d)
			assert.Equal(t, Since(start), time.Second+2*d)
		})
	}
}

// Converting a wall-clock time from before a suspension must not shift it by the length of
// the suspension. With such a shift an agent assumed that its records of which hosts had
// been responsible for idempotency keys went back further than they did, and accepted keys as
// new that may have run on another host.
func TestFromWallTimeBeforeASuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			suspend := simulateSuspension(t)
			at, date := Now(), time.Now().Round(0)
			suspend(d)
			time.Sleep(time.Second)
			assert.Check(t, FromWallTime(date).Equal(at), "%v off", FromWallTime(date).Sub(at))
			assert.Check(t, FromWallTime(date.Add(d+time.Second)).Equal(Now()), "now %v off", FromWallTime(date.Add(d+time.Second)).Sub(Now()))
		})
	}
}

// A suspension is detected without a call of Refresh, at the first reading after
// minReadInterval.
func TestSuspensionIsDetectedWithoutRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		t.Cleanup(SetSource(func() (boot, monotonic time.Duration) { return time.Duration(suspended.Load()), 0 }, time.Now))
		start := Now()
		suspended.Store(int64(time.Minute))
		time.Sleep(minReadInterval)
		assert.Equal(t, Since(start), time.Minute+minReadInterval)
	})
}

// The two kernel clocks are not read at the same moment. A delay between the readings must
// neither be taken for a suspension nor cancel a detected one.
func TestDelayBetweenReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var boot, monotonic time.Duration
		t.Cleanup(SetSource(func() (time.Duration, time.Duration) { return boot, monotonic }, time.Now))
		boot, monotonic = time.Minute, time.Second
		Refresh()
		start := Now()
		monotonic += 40 * time.Millisecond // delay before the second reading
		Refresh()
		assert.Equal(t, Since(start), time.Duration(0))
		boot, monotonic = boot+900*time.Microsecond, monotonic-40*time.Millisecond // delay before the first reading, below minSuspension
		Refresh()
		assert.Equal(t, Since(start), time.Duration(0))
	})
}

func TestTimersFireOnTimeAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		var fired, stopped atomic.Bool
		AfterFunc(5*time.Second, func() { fired.Store(true) })
		AfterFunc(5*time.Second, func() { stopped.Store(true) }).Stop()
		timer, later := NewTimer(5*time.Second), NewTimer(12*time.Second)
		reset := AfterFunc(time.Hour, func() {})
		reset.Reset(5 * time.Second)
		ctx, cancel := WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.Sleep(time.Second)
		assert.Assert(t, !fired.Load() && ctx.Err() == nil)
		suspend(10 * time.Second)
		synctest.Wait()
		assert.Assert(t, fired.Load() && !stopped.Load())
		<-timer.C
		assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
		start := time.Now()
		<-later.C
		assert.Equal(t, time.Since(start), time.Second)
		assert.Assert(t, !reset.Stop(), "Stop returned true after the timer fired")
	})
}

func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, cancelParent := context.WithCancel(t.Context())
		ctx, cancel := WithTimeout(parent, time.Minute)
		defer cancel()
		at, ok := ctx.Deadline()
		assert.Assert(t, ok && at.Equal(Now().Add(time.Minute)))
		child, cancelChild := context.WithCancelCause(ctx)
		defer cancelChild(nil)
		grandchild, cancelGrandchild := WithTimeout(child, time.Hour)
		defer cancelGrandchild()
		unwatched, leave := context.WithCancel(ctx)
		leave()
		assert.ErrorIs(t, unwatched.Err(), context.Canceled)
		assert.NilError(t, grandchild.Err())
		time.Sleep(time.Minute)
		synctest.Wait()
		for _, c := range []context.Context{ctx, child, grandchild} {
			assert.ErrorIs(t, c.Err(), context.DeadlineExceeded)
			assert.ErrorIs(t, context.Cause(c), context.DeadlineExceeded)
		}

		second, cancelSecond := WithTimeout(parent, time.Minute)
		defer cancelSecond()
		cancelParent()
		synctest.Wait()
		assert.ErrorIs(t, second.Err(), context.Canceled)

		third, cancelThird := WithTimeout(t.Context(), time.Minute)
		cancelThird()
		assert.ErrorIs(t, third.Err(), context.Canceled)
		over, cancelOver := WithTimeout(t.Context(), -1)
		defer cancelOver()
		assert.ErrorIs(t, over.Err(), context.DeadlineExceeded)
	})
}

// The kernel provides both clocks, and they advance.
func TestKernel(t *testing.T) {
	boot, monotonic := kernelClocks()
	assert.Assert(t, boot > 0 && monotonic > 0)
	again, _ := kernelClocks()
	assert.Assert(t, again >= boot)
}

// BenchmarkNow: time.Now takes 107 ns, Now 133 ns, and the two system calls, which are made
// at most every 5 ms, 770 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}

func BenchmarkKernel(b *testing.B) {
	for b.Loop() {
		kernelClocks()
	}
}

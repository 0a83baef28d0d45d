package clock

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// asleep makes the clock that of a machine, and returns what suspends it.
func asleep(t *testing.T) (suspend func(time.Duration)) {
	var slept atomic.Int64
	t.Cleanup(SetSource(func() (boot, monotonic time.Duration) { return time.Duration(slept.Load()), 0 },
		func() time.Time { return time.Now().Add(time.Duration(slept.Load())).Round(0) }))
	return func(d time.Duration) {
		slept.Add(int64(d))
		Refresh()
	}
}

func TestNowGoesOnDuringASuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			suspend := asleep(t)
			began := Now()
			assert.Equal(t, time.Now(), began)
			time.Sleep(time.Second)
			suspend(d)
			assert.Equal(t, Since(began), time.Second+d)
			assert.Equal(t, Until(began), -time.Second-d)
			suspend(d)
			assert.Equal(t, Since(began), time.Second+2*d)
		})
	}
}

// An agent that knew the homes of keys since a moment, and whose machine was suspended
// after it, dated that moment earlier by the suspension: it took keys of a time that it
// knows nothing of, which may have run elsewhere, for new.
func TestDateOfATimeBeforeASuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			suspend := asleep(t)
			at, date := Now(), time.Now().Round(0)
			suspend(d)
			time.Sleep(time.Second)
			assert.Check(t, FromWallTime(date).Equal(at), "%v off", FromWallTime(date).Sub(at))
			assert.Check(t, FromWallTime(date.Add(d+time.Second)).Equal(Now()), "now %v off", FromWallTime(date.Add(d+time.Second)).Sub(Now()))
		})
	}
}

// A suspension is found without a word, at a reading some ms later.
func TestSuspensionIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slept atomic.Int64
		t.Cleanup(SetSource(func() (boot, monotonic time.Duration) { return time.Duration(slept.Load()), 0 }, time.Now))
		began := Now()
		slept.Store(int64(time.Minute))
		time.Sleep(readEvery)
		assert.Equal(t, Since(began), time.Minute+readEvery)
	})
}

// Two readings are never at the same moment: the second one late makes no suspension, nor
// ends one.
func TestReadingsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var boot, monotonic time.Duration
		t.Cleanup(SetSource(func() (time.Duration, time.Duration) { return boot, monotonic }, time.Now))
		boot, monotonic = time.Minute, time.Second
		Refresh()
		began := Now()
		monotonic += 40 * time.Millisecond // the second reading came late
		Refresh()
		assert.Equal(t, Since(began), time.Duration(0))
		boot, monotonic = boot+900*time.Microsecond, monotonic-40*time.Millisecond // the first one was
		Refresh()
		assert.Equal(t, Since(began), time.Duration(0))
	})
}

func TestTimersFireOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspend := asleep(t)
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
		began := time.Now()
		<-later.C
		assert.Equal(t, time.Since(began), time.Second)
		assert.Assert(t, !reset.Stop(), "it has fired")
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

// The kernel has both clocks, and they go on.
func TestKernel(t *testing.T) {
	boot, monotonic := kernel()
	assert.Assert(t, boot > 0 && monotonic > 0)
	again, _ := kernel()
	assert.Assert(t, again >= boot)
}

// time.Now takes 107 ns and Now 133 ns; the two calls of the kernel, each 5 ms, 770 ns.
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
		kernel()
	}
}

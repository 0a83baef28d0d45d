package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstAttemptQuantiles are quantiles of the timeout that callers of one route set on their
// first attempt: minimum, 5, 25, 50, 75, 95 % and maximum.
var firstAttemptQuantiles = []struct{ part, ms float64 }{{0, 3665}, {0.05, 5149}, {0.25, 5319}, {0.5, 5539}, {0.75, 5784}, {0.95, 5957}, {1, 5999}}

// firstAttemptTime draws a caller's timeout.
func firstAttemptTime(rng *rand.Rand) time.Duration {
	u := rng.Float64()
	for i := 1; ; i++ {
		lo, hi := firstAttemptQuantiles[i-1], firstAttemptQuantiles[i]
		if u <= hi.part {
			ms := lo.ms + (u-lo.part)/(hi.part-lo.part)*(hi.ms-lo.ms)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
}

// Callers choose their timeouts, and a spread of timeouts alone must not look like retries. At
// most one in twenty first attempts, those with the shortest timeouts, may be mistaken for a
// retry. Callers that honored Retry-After must be detected.
func TestTimeoutSpreadIsNotARetry(t *testing.T) {
	const part, spread, callers = 1.0 / 3, 0.2, 20000
	for _, refused := range []float64{0, 0.1, 0.3} {
		rng := rand.New(rand.NewPCG(7, 1))
		r := NewRetryDetector(part, spread)
		var first, mistaken, retried, detected int
		for i := range callers {
			left := firstAttemptTime(rng)
			was := r.IsRetry("a", left)
			if i < retrySampleSize {
				continue
			}
			first++
			if was {
				mistaken++
			}
			if rng.Float64() >= refused {
				continue
			}
			retried++
			if r.IsRetry("a", left-RetryAfter(left, 0, part, spread, rng.Float64())) {
				detected++
			}
		}
		assert.Assert(t, mistaken <= first/20, "refused fraction %.1f: %d of %d first attempts mistaken for retries", refused, mistaken, first)
		assert.Assert(t, detected >= retried*95/100, "refused fraction %.1f: %d of %d retries detected", refused, detected, retried)
	}
}

func TestIsRetry(t *testing.T) {
	r := NewRetryDetector(1.0/3, 0.2)
	assert.Assert(t, !r.IsRetry("a", 6*time.Second))
	assert.Assert(t, !r.IsRetry("a", 5990*time.Millisecond))
	assert.Assert(t, r.IsRetry("a", 4500*time.Millisecond))
	assert.Assert(t, !r.IsRetry("b", 3*time.Second), "routes are tracked separately")
	assert.Assert(t, !r.IsRetry("a", 0), "unknown time left")
}

// A few callers with longer timeouts than the others do not make the others look overdue.
func TestLongTimeoutsDoNotSkewTypicalTimeout(t *testing.T) {
	r := NewRetryDetector(1.0/3, 0.2)
	overdue := 0
	for i := range 500 {
		left := 6 * time.Second
		if i%25 == 3 {
			left = 12 * time.Second
		}
		if i >= retrySampleSize && r.IsRetry("a", left) {
			overdue++
		} else if i < retrySampleSize {
			r.IsRetry("a", left)
		}
	}
	assert.Equal(t, overdue, 0)
	assert.Assert(t, r.IsRetry("a", 4*time.Second))
}

func BenchmarkIsRetry(b *testing.B) {
	r := NewRetryDetector(1.0/3, 0.2)
	b.ReportAllocs()
	for b.Loop() {
		r.IsRetry("a", 6*time.Second)
	}
}

// If no target accepts requests before a time, callers retry neither before it nor all at once.
func TestRetryAfterWaitsForFreeTarget(t *testing.T) {
	const left, free = 2 * time.Second, 3 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	var sooner, later int
	for range 100 {
		switch d := RetryAfter(left, free, 1.0/3, 0.2, rng.Float64()); {
		case d < free || d > free*6/5:
			t.Fatal(d)
		case d < free*11/10:
			sooner++
		default:
			later++
		}
	}
	assert.Assert(t, sooner > 25 && later > 25, "%d delays in the first half, %d in the second", sooner, later)
	assert.Equal(t, RetryAfter(left, 100*time.Millisecond, 0.5, 0.2, 0), time.Second, "the usual delay is longer")
}

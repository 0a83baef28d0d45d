package overload

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestReturnOrder(t *testing.T) {
	assert.Equal(t, ReturnOrder(0, 1, 0.3), 0.3)
	assert.Equal(t, ReturnOrder(0, 0, 0.3), 0.3)
	assert.Equal(t, ReturnOrder(0, 2, 0), 0.5)
	assert.Equal(t, ReturnOrder(1, 2, 0.5), 0.25)
	assert.Equal(t, ReturnOrder(7, 2, 0.5), 0.25)
	assert.Equal(t, ReturnOrder(-1, 2, 0), 0.5)
}

func TestReturnOrderInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 10).Draw(t, "ranks")
		rank := rapid.IntRange(0, ranks-1).Draw(t, "rank")
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		got := ReturnOrder(rank, ranks, random)
		assert.Assert(t, got >= 0 && got < 1)
		if rank > 0 {
			assert.Assert(t, got <= ReturnOrder(rank-1, ranks, 0), "returns before a more urgent rank")
		}
		assert.Assert(t, ReturnOrder(rank, ranks, random+0.001) > got, "returns of a rank are not spread")
	})
}

func TestRetryReserve(t *testing.T) {
	assert.Equal(t, RetryReserve(0, 1), 0.0)
	assert.Equal(t, RetryReserve(0, 3), 0.0)
	assert.Equal(t, RetryReserve(1, 3), maxRetryReserve/2)
	assert.Equal(t, RetryReserve(2, 3), maxRetryReserve)
	assert.Equal(t, RetryReserve(9, 3), maxRetryReserve)
}

func TestYield(t *testing.T) {
	assert.Equal(t, Yield(0, 1), 0.0)
	assert.Equal(t, Yield(0, 3), 0.0)
	assert.Assert(t, Yield(1, 3) > 0 && Yield(2, 3) > Yield(1, 3) && Yield(2, 3) < 1)
	assert.Equal(t, Yield(7, 3), Yield(2, 3), "a rank that the configuration no longer has")
}

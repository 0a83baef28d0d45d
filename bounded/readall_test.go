package bounded

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestContentIsReadWholeWithinItsBudget(t *testing.T) {
	for _, size := range []int{0, 1, firstBufferSize - 1, firstBufferSize, firstBufferSize + 1, 100_000} {
		for _, length := range []int64{-1, int64(size)} {
			budget := NewBudget(300_000)
			first := FirstBuffer(length)
			assert.Assert(t, budget.Grow(first))
			want := strings.Repeat("x", size)
			b, err := ReadAll(strings.NewReader(want), first, 200_000, budget)
			assert.NilError(t, err)
			assert.Equal(t, string(b), want)
			budget.Shrink(int64(cap(b)))
			assert.Equal(t, budget.free.Load(), int64(300_000))
		}
	}
}

// endless is content without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against content without end, which was read into memory as far as a limit for each reader alone.
func TestEndlessContentIsReadWithinTheBudgetOnly(t *testing.T) {
	const size = 1 << 20
	budget := NewBudget(size)
	assert.Assert(t, budget.Grow(FirstBuffer(-1)))
	b, err := ReadAll(endless{}, FirstBuffer(-1), 100*size, budget)
	assert.Assert(t, errors.Is(err, ErrNoMemory))
	assert.Assert(t, cap(b) <= size)
	budget.Shrink(int64(cap(b)))
	assert.Equal(t, budget.free.Load(), int64(size))
}

func TestWithoutABudgetOnlyTheReaderBounds(t *testing.T) {
	var budget *Budget
	b, err := ReadAll(io.LimitReader(endless{}, 1<<20), FirstBuffer(-1), 1<<20, budget)
	assert.NilError(t, err)
	assert.Equal(t, len(b), 1<<20)
}

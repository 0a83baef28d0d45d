package bounded

import "sync/atomic"

// Budget is a Memory of a fixed size for everything that is read at the same time. A nil Budget is
// unlimited. Its methods may be called concurrently.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.free.Store(n)
	return b
}

// Grow implements Memory.
func (b *Budget) Grow(n int64) bool {
	if b == nil || b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

// Shrink implements Memory.
func (b *Budget) Shrink(n int64) {
	if b != nil {
		b.free.Add(n)
	}
}

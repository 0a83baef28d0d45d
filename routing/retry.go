package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// BudgetConfig bounds the retries of one service at one entry.
type BudgetConfig struct {
	// Ratio is how many retries each success adds to the budget. A higher
	// ratio hides more failures and adds more load when all requests fail.
	// Default 0.2.
	Ratio float64
	// Reserve is how many retries are allowed without any success, and the
	// level up to which the budget refills at one retry per second. Default 10.
	Reserve float64
	// Cap is the largest number of retries that the budget holds. Default 100.
	Cap float64
	// NoRefill disables the refill over time: only successes add to the budget.
	NoRefill bool
	// ReserveAt is when the reserve is added. Default: at the start.
	ReserveAt time.Time
}

// shareDelay is how long after the start of an entry the others may still spend the shares that they
// had without it: they count it when they have heard it, and resize their budgets each second.
const shareDelay = 3 * time.Second

// ReserveAt returns when an entry that starts adds its reserve: when the window over which retries are
// counted no longer holds what an earlier process of its host, or the other entries, may have spent of it.
func ReserveAt(start time.Time, window time.Duration) time.Time {
	return start.Add(shareDelay + window)
}

func (c BudgetConfig) applyDefaults() BudgetConfig {
	c.Ratio = cmp.Or(c.Ratio, 0.2)
	c.Reserve = cmp.Or(c.Reserve, 10)
	c.Cap = cmp.Or(c.Cap, 100)
	return c
}

// ArrivalRatio returns the Ratio with which the retries that arrive at targets within a window stay
// within a given ratio of the requests, if each may arrive up to delay after it was sent: one window
// may get what was sent during a window and a delay.
func ArrivalRatio(ratio float64, window, delay time.Duration) float64 {
	return ratio * float64(window) / float64(window+delay)
}

// Budget is the retry budget of one service at one entry.
type Budget struct {
	cfg BudgetConfig

	mu           sync.Mutex
	tokens       float64
	peak         float64 // the most tokens held before the reserve was added
	reserveAdded bool
	lastSpend    time.Time
}

// NewBudget returns a budget that holds its reserve, or is empty until that is added.
func NewBudget(cfg BudgetConfig) *Budget {
	b := &Budget{cfg: cfg.applyDefaults()}
	if cfg.ReserveAt.IsZero() {
		b.tokens, b.reserveAdded = b.cfg.Reserve, true
	}
	return b
}

// Resize changes the reserve and the cap. It does not restore retries that were spent.
func (b *Budget) Resize(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Reserve, b.cfg.Cap = limit, limit
	b.tokens = min(b.tokens, limit)
}

// Success adds to the budget for one completed request.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.cfg.Ratio)
}

// add adds tokens up to the cap. The caller holds the lock.
func (b *Budget) add(tokens float64) {
	b.tokens = min(b.cfg.Cap, b.tokens+tokens)
	b.peak = max(b.peak, b.tokens)
}

// addReserve adds the reserve when it is due, less what the budget has held at once before: that
// may have been spent in the same window. The caller holds the lock.
func (b *Budget) addReserve(now time.Time) {
	if b.reserveAdded || now.Before(b.cfg.ReserveAt) {
		return
	}
	b.reserveAdded = true
	b.tokens = min(b.cfg.Cap, b.tokens+max(b.cfg.Reserve-b.peak, 0))
}

// Spend takes one retry from the budget, or returns false if the budget is
// exhausted.
func (b *Budget) Spend(now time.Time) bool { return b.SpendLeaving(now, 0) }

// SpendLeaving is Spend for a request that leaves a part of the budget, from 0 to 1, to more
// urgent ones.
func (b *Budget) SpendLeaving(now time.Time, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addReserve(now)
	if b.tokens < b.cfg.Reserve && !b.lastSpend.IsZero() && !b.cfg.NoRefill {
		b.tokens = min(b.cfg.Reserve, b.tokens+now.Sub(b.lastSpend).Seconds())
	}
	b.lastSpend = now
	if !b.covers(part) {
		return false
	}
	b.tokens--
	return true
}

// covers reports whether a retry leaves a part of the budget, in whole retries: of a budget of one
// retry nothing is left to others.
func (b *Budget) covers(part float64) bool { return b.tokens >= 1+math.Floor(part*b.cfg.Cap) }

// Left returns how many retries the budget holds.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Refund returns a retry that was spent but not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(1)
}

// Empty reports whether SpendLeaving would fail, apart from what the refill adds to the budget.
func (b *Budget) Empty(now time.Time, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addReserve(now)
	return b.cfg.NoRefill && !b.covers(part)
}

// Backoff limits.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Backoff returns a random wait before retry number try (from 1), uniform
// from zero to a bound that doubles with each try ("full jitter").
func Backoff(try int, rng *rand.Rand) time.Duration {
	bound := min(backoffMax, backoffBase<<min(try, 16))
	return time.Duration(rng.Int64N(int64(bound)))
}

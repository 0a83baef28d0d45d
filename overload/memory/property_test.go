package memory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model counts what requests hold, independently of the Budget.
type model struct {
	budget *Budget
	held   map[*Holding]int64
	order  []*Holding // of held
	now    time.Time
}

func (m *model) sum(of func(n int64) bool) (sum int64) {
	for _, n := range m.held {
		if of(n) {
			sum += n
		}
	}
	return sum
}

// reserve asks for bytes and checks that small requests are served while they fit their part.
func (m *model) reserve(t *rapid.T) {
	n := rapid.OneOf(rapid.Int64Range(1, 64*kib), rapid.Int64Range(64*kib, 5*mib)).Draw(t, "bytes")
	team := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "team"))
	small := m.sum(func(n int64) bool { return n <= 64*kib })
	h, v := m.budget.Reserve(m.now, team, n, ignore)
	if n <= 64*kib && small+n <= m.budget.cfg.Bytes-m.budget.largeLimit {
		assert.Equal(t, v, Granted, "%d of a small request beside %d", n, small)
	}
	if v == Granted {
		m.held[h] = n
		m.order = append(m.order, h)
	}
}

func (m *model) pick(t *rapid.T) *Holding {
	if len(m.order) == 0 {
		t.Skip("nothing is held")
	}
	return rapid.SampledFrom(m.order).Draw(t, "holding")
}

func (m *model) grow(t *rapid.T) {
	h, n := m.pick(t), rapid.Int64Range(1, mib).Draw(t, "bytes")
	if m.budget.Grow(m.now, h, n) == Granted {
		m.held[h] += n
	}
}

func (m *model) shrink(t *rapid.T) {
	h := m.pick(t)
	n := rapid.Int64Range(0, m.held[h]).Draw(t, "bytes")
	m.budget.Shrink(h, n)
	m.held[h] -= n
}

func (m *model) release(t *rapid.T) {
	h := m.pick(t)
	m.budget.Release(h)
	delete(m.held, h)
	m.order = slices.DeleteFunc(m.order, func(other *Holding) bool { return other == h })
}

func (m *model) await(t *rapid.T)   { m.budget.Await(m.now, m.pick(t)) }
func (m *model) proceed(t *rapid.T) { m.budget.Proceed(m.pick(t)) }

func (m *model) progress(t *rapid.T) {
	m.budget.Progress(m.now, m.pick(t), rapid.Int64Range(0, 8*kib).Draw(t, "bytes"))
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

// check compares the Budget with the model.
func (m *model) check(t *rapid.T) {
	u := m.budget.Usage()
	assert.Equal(t, u.Small, m.sum(func(n int64) bool { return n <= 64*kib }))
	assert.Equal(t, u.Large, m.sum(func(n int64) bool { return n > 64*kib }))
	assert.Assert(t, u.Small+u.Large <= u.Budget && u.Large <= u.LargeLimit, "%+v", u)
	var ending int64
	for h := range m.held {
		if h.ended {
			ending += h.bytes
		}
	}
	assert.Equal(t, m.budget.ending, ending)
}

func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{budget: New(Config{Bytes: rapid.Int64Range(0, 40*mib).Draw(t, "budget")}),
			held: map[*Holding]int64{}, now: start}
		t.Repeat(map[string]func(*rapid.T){"reserve": m.reserve, "grow": m.grow, "shrink": m.shrink, "release": m.release,
			"await": m.await, "proceed": m.proceed, "progress": m.progress, "pass": m.pass, "": m.check})
		for h := range m.held {
			m.budget.Release(h)
		}
		u := m.budget.Usage()
		assert.Assert(t, u.Small == 0 && u.Large == 0, "all bytes come back: %+v", u)
		assert.Equal(t, len(m.budget.teams)+m.budget.waiting.Len(), 0, "no team or caller is left behind")
	})
}

// Teams that ask by turns for large requests of one size hold what they ask for, or equal parts with a
// margin of one request, and together at least half of the large part, which a team alone is let
// have more of.
func TestTeamsShareMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Bytes: 64 * mib})
		unit := rapid.Int64Range(65*kib, 2*mib).Draw(t, "unit")
		demand := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 24).Draw(t, "demand")
		granted := make([]int, len(demand))
		askByTurns(b, unit, demand, granted)
		least, most, refused := 500, 0, false
		for i := range demand {
			most = max(most, granted[i])
			if granted[i] < demand[i] {
				least, refused = min(least, granted[i]), true
			}
		}
		if refused {
			assert.Assert(t, most-least <= 1, "most %d, least %d of those that ask for more", most, least)
			assert.Assert(t, b.large >= b.largeLimit/2-unit, "%d of %d are used", b.large, b.largeLimit)
		}
	})
}

// askByTurns lets each team ask for one request after another until all that still ask are refused.
func askByTurns(b *Budget, unit int64, demand, granted []int) {
	for again := true; again; {
		again = false
		for i := range demand {
			if granted[i] == demand[i] {
				continue
			}
			if _, v := b.Reserve(start, fmt.Sprint(i), unit, ignore); v == Granted {
				granted[i]++
				again = true
			}
		}
	}
}

// Whatever teams hold, one that holds less of the large part is not refused where one that holds
// more is granted the same.
func TestTeamWithLessIsNotRefusedBeforeOneWithMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Bytes: 64 * mib})
		for range rapid.IntRange(0, 40).Draw(t, "requests") {
			b.Reserve(start, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "team")), rapid.Int64Range(65*kib, 5*mib).Draw(t, "bytes"), ignore)
		}
		n := rapid.Int64Range(65*kib, 5*mib).Draw(t, "bytes")
		for i := range 10 {
			for j := range 10 {
				one, other := fmt.Sprint(i), fmt.Sprint(j)
				if b.teams[one] <= b.teams[other] && b.verdict(&Holding{team: other}, n) == Granted {
					assert.Equal(t, b.verdict(&Holding{team: one}, n), Granted)
				}
			}
		}
	})
}

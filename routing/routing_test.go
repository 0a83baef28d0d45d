package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func endpoint(i int, domain string) *Endpoint {
	return &Endpoint{Host: fmt.Sprintf("h%04d", i), Domain: domain}
}

func ready(e *Endpoint, at time.Time) Candidate {
	return Candidate{e, Report{At: at, Slots: 8, Ready: true, ReadySince: at.Add(-time.Hour)}}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// picks counts how often each host is picked.
func picks(t *Table, now time.Time, n int, exclude ...string) map[string]int {
	r, out := rng(), map[string]int{}
	for range n {
		if c := t.Pick(now, r, exclude); c != nil {
			out[c.Endpoint.Host]++
		}
	}
	return out
}

func TestPickExcludesUnusableHosts(t *testing.T) {
	stale := ready(endpoint(1, "d"), start.Add(-3*time.Second))
	leaving := ready(endpoint(2, "d"), start)
	leaving.Report.Leaving = true
	loading := ready(endpoint(3, "d"), start)
	loading.Report.Ready = false
	tab := NewTable(Config{}, "d", []Candidate{ready(endpoint(0, "d"), start), stale, leaving, loading, ready(endpoint(4, "d"), start)})
	got := picks(tab, start, 100, "h0004")
	assert.DeepEqual(t, got, map[string]int{"h0000": 100})
	assert.Assert(t, tab.Pick(start.Add(time.Minute), rng(), nil) == nil, "all reports are stale")
	assert.Assert(t, NewTable(Config{}, "d", nil).Pick(start, rng(), nil) == nil)
}

func TestPickPrefersTheLessLoaded(t *testing.T) {
	busy, idle := endpoint(0, "d"), endpoint(1, "d")
	for range 6 {
		busy.Started()
	}
	got := picks(NewTable(Config{}, "d", []Candidate{ready(busy, start), ready(idle, start)}), start, 1000)
	assert.Assert(t, got["h0001"] > 700, "%v", got)
}

func TestReportWeightDecaysWithAge(t *testing.T) {
	a, b := ready(endpoint(0, "d"), start), ready(endpoint(1, "d"), start)
	a.Report.Running = 6
	tab := NewTable(Config{}, "d", []Candidate{a, b})
	fresh, old := tab.load(&a, start), tab.load(&a, start.Add(2*time.Second))
	assert.Assert(t, fresh > 3*tab.load(&b, start))
	assert.Assert(t, old < fresh/2)
}

func TestSlowStart(t *testing.T) {
	fresh, old := ready(endpoint(0, "d"), start), ready(endpoint(1, "d"), start)
	fresh.Report.ReadySince = start
	tab := NewTable(Config{}, "d", []Candidate{fresh, old})
	assert.Assert(t, picks(tab, start, 1000)["h0000"] < 400)
	later := start.Add(time.Second)
	assert.Assert(t, tab.load(&fresh, later) < tab.load(&fresh, start))
}

func TestNearHostsPreferredUnlessLoaded(t *testing.T) {
	local, remote := endpoint(0, "d"), endpoint(1, "e")
	tab := NewTable(Config{}, "d", []Candidate{ready(local, start), ready(remote, start)})
	assert.DeepEqual(t, picks(tab, start, 100), map[string]int{"h0000": 100})
	for range 9 {
		local.Started()
	}
	assert.DeepEqual(t, picks(tab, start, 100), map[string]int{"h0001": 100})
}

func TestEjectionIsLimited(t *testing.T) {
	cfg := Config{}.ApplyDefaults()
	j := NewEjector(cfg)
	var eps []*Endpoint
	for i := range 10 {
		e := endpoint(i, "d")
		eps = append(eps, e)
		for range cfg.EjectAfter {
			e.Started()
			e.Finished(false, cfg.EjectAfter)
		}
		j.Check(start, e, 10)
	}
	out := 0
	for _, e := range eps {
		if j.Ejected(start, e.Host) {
			out++
		}
	}
	assert.Equal(t, out, 3)
	assert.Assert(t, !j.Ejected(start.Add(cfg.EjectFor), eps[0].Host))
}

func TestBudgetLeavesAPart(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(BudgetConfig{Reserve: 4, Cap: 4, NoRefill: true})
	assert.Assert(t, b.SpendLeaving(now, 0.5))
	assert.Assert(t, b.SpendLeaving(now, 0.5))
	assert.Assert(t, b.Empty(now, 0.5) && !b.SpendLeaving(now, 0.5), "two of four are left to others")
	assert.Assert(t, !b.Empty(now, 0) && b.Spend(now))
	assert.Assert(t, b.Spend(now))
	assert.Assert(t, b.Empty(now, 0) && !b.Spend(now))
	single := NewBudget(BudgetConfig{Reserve: 1, Cap: 1, NoRefill: true})
	assert.Assert(t, single.SpendLeaving(now, 0.5), "a single retry is left to nobody")
}

func TestBudget(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.5, Reserve: 2, Cap: 4})
	spend := func(now time.Time) (n int) {
		for b.Spend(now) {
			n++
		}
		return n
	}
	assert.Equal(t, spend(start), 2)
	for range 100 {
		b.Success()
	}
	assert.Equal(t, spend(start), 4, "capped")
	assert.Equal(t, spend(start.Add(time.Second)), 1)
	assert.Equal(t, spend(start.Add(time.Hour)), 2, "refills to the reserve only")
}

func TestBackoffIsBounded(t *testing.T) {
	r := rng()
	for try := range 100 {
		assert.Assert(t, Backoff(try, r) < backoffMax)
	}
}

func nodes(prefix string, n, domains int) []Node {
	out := make([]Node, n)
	for i := range out {
		out[i] = Node{fmt.Sprintf("%s%04d", prefix, i), fmt.Sprintf("d%d", i%domains)}
	}
	return out
}

// TestSubsetsAreEven counts how many entries connect to each target in a large
// fleet.
func TestSubsetsAreEven(t *testing.T) {
	entries, targets := nodes("e", 390, 7), nodes("t", 4400, 7)
	entriesPerTarget := map[string]int{}
	for _, e := range entries {
		s := Subset(e, entries, targets, "svc", 64)
		assert.Equal(t, len(s), 64)
		local, seen := 0, map[string]bool{}
		for _, n := range s {
			entriesPerTarget[n.Host]++
			assert.Assert(t, !seen[n.Host])
			seen[n.Host] = true
			if n.Domain == e.Domain {
				local++
			}
		}
		assert.Assert(t, local >= 48)
	}
	lo, hi := 1<<30, 0
	for _, n := range targets {
		lo, hi = min(lo, entriesPerTarget[n.Host]), max(hi, entriesPerTarget[n.Host])
	}
	t.Logf("each target is in the subsets of %d to %d of %d entries", lo, hi, len(entries))
	assert.Assert(t, lo >= 3 && hi <= 9, "a target is in %d to %d subsets", lo, hi)
}

func TestSubsetOfFewTargetsIsAll(t *testing.T) {
	targets := nodes("t", 12, 3)
	assert.Equal(t, len(Subset(Node{"e0000", "d0"}, nodes("e", 2, 2), targets, "svc", 64)), 12)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 4400} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var cands []Candidate
			for i := range n {
				cands = append(cands, ready(endpoint(i, fmt.Sprintf("d%d", i%7)), start))
			}
			tab, r := NewTable(Config{}, "d0", cands), rng()
			exclude := []string{"h0003"}
			b.ReportAllocs()
			for b.Loop() {
				tab.Pick(start, r, exclude)
			}
		})
	}
}

func BenchmarkSubset(b *testing.B) {
	entries, targets := nodes("e", 390, 7), nodes("t", 4400, 7)
	for b.Loop() {
		Subset(entries[0], entries, targets, "svc", 64)
	}
}

package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func list(n int) []Listed {
	out := make([]Listed, n)
	for i := range out {
		out[i] = Listed{Host: fmt.Sprintf("h%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			Domain: fmt.Sprintf("d%d", i%7), Role: Agent}
	}
	return out
}

func stateOf(v *View, now time.Time, host string) State {
	m, _ := v.Get(now, host)
	return m.State
}

func TestStates(t *testing.T) {
	v := New("self", Config{})
	now := start
	assert.Assert(t, v.ApplyList(now, 2, list(3)))
	assert.Assert(t, !v.ApplyList(now, 1, nil), "an older list")
	assert.Equal(t, stateOf(v, now, "h0001"), Live)

	v.RecordFailure(now, "h0001")
	assert.Equal(t, stateOf(v, now, "h0001"), Live, "a single failure is not enough")
	now = now.Add(3 * time.Second)
	assert.Equal(t, stateOf(v, now, "h0001"), Suspect)
	v.RecordStatus(now, "h0001", 5, false, 1)
	assert.Equal(t, stateOf(v, now, "h0001"), Live)

	assert.Assert(t, v.ApplyList(now, 3, list(1)))
	now = now.Add(time.Minute)
	v.Tick(now)
	assert.Equal(t, stateOf(v, now, "h0001"), Gone)
	assert.Equal(t, v.Len(), 1)
}

func TestLeavingIsForwardedAndEndsWithIncarnation(t *testing.T) {
	v := New("self", Config{})
	v.ApplyList(start, 1, list(2))
	v.RecordStatus(start, "h0000", 5, false, 1)
	assert.Assert(t, v.RecordNotice(start, Notice{"h0000", 5}))
	assert.Assert(t, !v.RecordNotice(start, Notice{"h0000", 5}), "already known")
	assert.Equal(t, stateOf(v, start, "h0000"), Leaving)
	assert.DeepEqual(t, v.Notices(8), []Notice{{"h0000", 5}})
	v.RecordStatus(start, "h0000", 5, false, 1) // a message sent before the host announced that it is leaving
	assert.Equal(t, stateOf(v, start, "h0000"), Leaving)
	v.RecordStatus(start, "h0000", 6, false, 1)
	assert.Equal(t, stateOf(v, start, "h0000"), Live)
	v.Tick(start.Add(time.Minute))
	assert.Equal(t, len(v.Notices(8)), 0)
}

func TestListedLeavingDoesNotOutliveReplacement(t *testing.T) {
	v := New("self", Config{})
	v.ApplyList(start, 1, list(1))
	v.RecordStatus(start, "h0000", 5, false, 1)
	l := list(1)
	l[0].Leaving = true
	v.ApplyList(start, 2, l)
	assert.Equal(t, stateOf(v, start, "h0000"), Leaving)
	v.RecordStatus(start, "h0000", 6, false, 1)
	assert.Equal(t, stateOf(v, start, "h0000"), Live, "the list lags behind the replacement")
	v.ApplyList(start, 3, l)
	assert.Equal(t, stateOf(v, start, "h0000"), Live)
}

// TestOracleLeaving compares the view with an oracle that records which
// incarnations have announced that they are leaving.
func TestOracleLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, now, serial := New("self", Config{}), start, uint64(1)
		v.ApplyList(now, serial, list(3))
		newest := map[string]uint64{}
		announced := map[Notice]bool{}
		host := func(t *rapid.T) string { return list(3)[rapid.IntRange(0, 2).Draw(t, "host")].Host }
		inc := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, 4).Draw(t, "incarnation") }
		t.Repeat(map[string]func(*rapid.T){
			"heard": func(t *rapid.T) {
				h, i, leaving := host(t), inc(t), rapid.Bool().Draw(t, "leaving")
				v.RecordStatus(now, h, i, leaving, 1)
				if i >= newest[h] {
					newest[h] = i
					announced[Notice{h, i}] = announced[Notice{h, i}] || leaving
				}
			},
			"notice": func(t *rapid.T) {
				h, i := host(t), inc(t)
				v.RecordNotice(now, Notice{h, i})
				if i >= newest[h] {
					announced[Notice{h, i}] = true
				}
			},
			"failed": func(t *rapid.T) { v.RecordFailure(now, host(t)) },
			"time":   func(*rapid.T) { now = now.Add(1500 * time.Millisecond); v.Tick(now) },
			"": func(t *rapid.T) {
				for _, l := range list(3) {
					s := stateOf(v, now, l.Host)
					if announced[Notice{l.Host, newest[l.Host]}] && s != Leaving {
						t.Fatalf("%s incarnation %d announced that it is leaving but is %s", l.Host, newest[l.Host], s)
					}
				}
				for _, n := range v.Notices(100) {
					if !announced[n] {
						t.Fatalf("notice %v was never announced", n)
					}
				}
			},
		})
	})
}

func TestReadersPerDomain(t *testing.T) {
	v := New("self", Config{})
	v.ApplyList(start, 1, list(700))
	cfg := ReaderConfig{}.ApplyDefaults()
	count := func(now time.Time) map[string]int {
		members := v.Members(now)
		n := map[string]int{}
		for _, m := range members {
			if m.State == Live && cfg.IsReader(m.Host, m.Domain, members) {
				n[m.Domain]++
			}
		}
		return n
	}
	before := count(start)
	for d, n := range before {
		assert.Equal(t, n, cfg.PerDomain, d)
	}
	members := v.Members(start)
	for _, m := range members { // every reader of one domain fails
		if m.Domain == "d3" && cfg.IsReader(m.Host, m.Domain, members) {
			v.RecordFailure(start, m.Host)
		}
	}
	assert.Equal(t, count(start.Add(time.Minute))["d3"], cfg.PerDomain)
}

func TestFleetReadRatesStayBelowLimit(t *testing.T) {
	const fleet = 4790
	rng := rand.New(rand.NewPCG(1, 1))
	cfg := ReaderConfig{}.ApplyDefaults()
	perSecond := map[int]int{}
	for range fleet { // each process uses fallback reads for two minutes
		for at := cfg.FallbackDelay(fleet, rng); at < 2*time.Minute; at += cfg.FallbackDelay(fleet, rng) {
			perSecond[int(at.Seconds())]++
		}
	}
	starts := map[int]int{}
	for range fleet {
		starts[int(StartDelay(fleet, 1000, rng).Seconds())]++
	}
	for s, n := range perSecond {
		assert.Assert(t, n < 1000, "second %d: %d fallback reads", s, n)
	}
	for s, n := range starts {
		assert.Assert(t, n < 1200, "second %d: %d first reads", s, n)
	}
}

func TestGossipTargets(t *testing.T) {
	v := New("self", Config{})
	v.ApplyList(start, 1, list(100))
	rng := rand.New(rand.NewPCG(1, 1))
	members := v.Members(start)
	seen := map[string]bool{}
	for range 500 {
		out := GossipTargets("h0000", "d0", members, 2, 1, rng)
		assert.Equal(t, len(out), 3)
		for i, m := range out {
			assert.Assert(t, m.Host != "h0000")
			assert.Equal(t, m.Domain == "d0", i < 2)
			seen[m.Host] = true
		}
	}
	assert.Equal(t, len(seen), 99, "every other host is drawn eventually")
}

func BenchmarkMembers(b *testing.B) {
	v := New("self", Config{})
	v.ApplyList(start, 1, list(4790))
	b.ReportAllocs()
	for b.Loop() {
		v.Members(start)
	}
}

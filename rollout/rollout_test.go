package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func targets(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i].Host = fmt.Sprintf("h%d", i)
	}
	return out
}

func onDuty(cfg Config) (*Issuer, time.Time) {
	i := NewIssuer(cfg)
	i.SetActive(start, true)
	return i, start.Add(DefaultLease)
}

func TestNewIssuerWaitsOneLease(t *testing.T) {
	i := NewIssuer(Config{})
	i.SetActive(start, true)
	assert.Assert(t, !i.Acquire(start.Add(DefaultLease-1), "h0", targets(3), 1).Granted)
	assert.Assert(t, i.Acquire(start.Add(DefaultLease), "h0", targets(3), 1).Granted)
	i.SetActive(start, false)
	assert.Assert(t, !i.Acquire(start.Add(time.Hour), "h1", targets(3), 3).Granted)
}

func TestStuckHostDoesNotStopOthersForEver(t *testing.T) {
	i, now := onDuty(Config{StuckAfter: time.Minute})
	ts := targets(3)
	assert.Assert(t, i.Acquire(now, "h0", ts, 1).Granted)
	for k := 0; k < 60 && !i.Acquire(now, "h1", ts, 1).Granted; k++ {
		i.Acquire(now, "h0", ts, 1) // goes on renewing
		now = now.Add(2 * time.Second)
	}
	assert.DeepEqual(t, i.Holders(now), []string{"h1"})
}

func TestDownAndReportedHostsCount(t *testing.T) {
	i, now := onDuty(Config{StuckAfter: time.Minute})
	ts := targets(4)
	ts[3].Down, ts[3].DownSince = true, now
	assert.Assert(t, !i.Acquire(now, "h0", ts, 1).Granted, "one is down already")
	assert.Assert(t, i.Acquire(now, "h3", ts, 1).Granted, "the one that is out may switch")
	i.Release("h3")
	later := now.Add(2 * time.Minute)
	assert.Assert(t, i.Acquire(later, "h0", ts, 1).Granted, "down for too long to wait for")
	i.Release("h0")
	i.ReportUnavailable(later, "h1")
	assert.Assert(t, !i.Acquire(later, "h0", ts[:3], 1).Granted, "its engine does not serve")
	i.Release("h1")
	assert.Assert(t, i.Acquire(later, "h0", ts[:3], 1).Granted)
}

// TestOraclePermits lets issuers come and go and hosts ask, renew, crash and
// pause. A host acts on a permit until its lease has run out by its own
// count; at no time may more than the allowed number act.
func TestOraclePermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, allowed = 6, 2
		now := start
		issuers := []*Issuer{NewIssuer(Config{}), NewIssuer(Config{}), NewIssuer(Config{})}
		duty := 0
		issuers[0].SetActive(now, true)
		until := map[string]time.Time{} // permits as the holders see them
		host := func(t *rapid.T) string { return fmt.Sprintf("h%d", rapid.IntRange(0, hosts-1).Draw(t, "host")) }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				h := host(t)
				asked := now
				if d := issuers[duty].Acquire(now, h, targets(hosts), allowed); d.Granted {
					until[h] = asked.Add(d.Lease)
				}
			},
			"done": func(t *rapid.T) {
				h := host(t)
				delete(until, h)
				issuers[duty].Release(h)
			},
			"crash": func(t *rapid.T) { delete(until, host(t)) },
			"issuer changes": func(t *rapid.T) {
				issuers[duty].SetActive(now, false)
				duty = rapid.IntRange(0, len(issuers)-1).Draw(t, "issuer")
				issuers[duty].SetActive(now, true)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				n := 0
				for _, u := range until {
					if now.Before(u) {
						n++
					}
				}
				if n > allowed {
					t.Fatalf("%d hosts are out at once", n)
				}
			},
		})
	})
}

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

func activeIssuer(cfg Config) (*Issuer, time.Time) {
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

func TestStuckHostDoesNotBlockOthersForever(t *testing.T) {
	i, now := activeIssuer(Config{StuckAfter: time.Minute})
	ts := targets(3)
	assert.Assert(t, i.Acquire(now, "h0", ts, 1).Granted)
	for k := 0; k < 60 && !i.Acquire(now, "h1", ts, 1).Granted; k++ {
		i.Acquire(now, "h0", ts, 1) // h0 keeps renewing its permit
		now = now.Add(2 * time.Second)
	}
	assert.DeepEqual(t, i.Holders(now), []string{"h1"})
}

func TestDownAndReportedHostsCountAsUnavailable(t *testing.T) {
	i, now := activeIssuer(Config{StuckAfter: time.Minute})
	ts := targets(4)
	ts[3].Down, ts[3].DownSince = true, now
	assert.Assert(t, !i.Acquire(now, "h0", ts, 1).Granted, "another host is down already")
	assert.Assert(t, i.Acquire(now, "h3", ts, 1).Granted, "the unavailable host itself may switch")
	i.Release("h3")
	later := now.Add(2 * time.Minute)
	assert.Assert(t, i.Acquire(later, "h0", ts, 1).Granted, "down for longer than StuckAfter")
	i.Release("h0")
	i.ReportUnavailable(later, "h1")
	assert.Assert(t, !i.Acquire(later, "h0", ts[:3], 1).Granted, "its engine does not serve")
	i.Release("h1")
	assert.Assert(t, i.Acquire(later, "h0", ts[:3], 1).Granted)
}

// TestOraclePermits changes the issuer while hosts acquire, renew and release
// permits, crash and pause. A host uses a permit until the lease has expired by
// the host's own clock; at no time may more hosts than allowed use a permit.
func TestOraclePermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, allowed = 6, 2
		now := start
		issuers := []*Issuer{NewIssuer(Config{}), NewIssuer(Config{}), NewIssuer(Config{})}
		active := 0
		issuers[0].SetActive(now, true)
		until := map[string]time.Time{} // host -> when its permit expires by its own clock
		host := func(t *rapid.T) string { return fmt.Sprintf("h%d", rapid.IntRange(0, hosts-1).Draw(t, "host")) }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				h := host(t)
				requestedAt := now
				if d := issuers[active].Acquire(now, h, targets(hosts), allowed); d.Granted {
					until[h] = requestedAt.Add(d.Lease)
				}
			},
			"done": func(t *rapid.T) {
				h := host(t)
				delete(until, h)
				issuers[active].Release(h)
			},
			"crash": func(t *rapid.T) { delete(until, host(t)) },
			"issuer changes": func(t *rapid.T) {
				issuers[active].SetActive(now, false)
				active = rapid.IntRange(0, len(issuers)-1).Draw(t, "issuer")
				issuers[active].SetActive(now, true)
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
					t.Fatalf("%d hosts use a permit at once", n)
				}
			},
		})
	})
}

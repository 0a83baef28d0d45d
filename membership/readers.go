package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// readerKey prefixes the rendezvous key by which the readers of a failure domain, the processes
// that watch the platform, are chosen.
const readerKey = "reader/"

// ReaderConfig limits how the fleet as a whole reads the platform.
type ReaderConfig struct {
	// PerDomain is how many processes of a failure domain watch the platform.
	// A higher number tolerates more failures and uses more platform calls.
	// Default 3.
	PerDomain int
	// StaleAfter is the age of the last confirmation of the head, the newest
	// published revision, after which a process reads the platform itself (a
	// fallback read). Default 3 s.
	StaleAfter time.Duration
	// FallbackRate limits the calls per second of all fallback reads in the
	// fleet. Default 400, a fifth of the calls per second that the platform
	// accepts.
	FallbackRate float64
	// MinFallback is the minimum time between two fallback reads of one
	// process. Default 1 s.
	MinFallback time.Duration
}

// ApplyDefaults returns c with zero fields set to their defaults.
func (c ReaderConfig) ApplyDefaults() ReaderConfig {
	if c.PerDomain == 0 {
		c.PerDomain = 3
	}
	if c.StaleAfter == 0 {
		c.StaleAfter = 3 * time.Second
	}
	if c.FallbackRate == 0 {
		c.FallbackRate = 400
	}
	if c.MinFallback == 0 {
		c.MinFallback = time.Second
	}
	return c
}

// IsReader reports whether host is one of the hosts that watch the platform:
// the first PerDomain of the live hosts of its failure domain by rendezvous
// hashing.
func (c ReaderConfig) IsReader(host, domain string, members []Member) bool {
	score := Score(readerKey+domain, host)
	ahead := 0
	for _, m := range members {
		if m.Domain != domain || m.Host == host || m.State != Live {
			continue
		}
		if Score(readerKey+domain, m.Host) > score {
			ahead++
		}
	}
	return ahead < c.PerDomain
}

// FallbackDelay returns a random time until the next fallback read, so that
// fleetSize processes together stay below FallbackRate on average.
func (c ReaderConfig) FallbackDelay(fleetSize int, rng *rand.Rand) time.Duration {
	mean := float64(fleetSize) / c.FallbackRate * float64(time.Second)
	mean = math.Max(mean, float64(c.MinFallback))
	// A uniform distribution from 0.5 to 1.5 times the mean keeps the total
	// of many processes closer to its average than an exponential one.
	return time.Duration(mean * (0.5 + rng.Float64()))
}

// StartDelay returns a random time to wait before the first read, so that
// fleetSize processes that start together stay below rate calls per second.
func StartDelay(fleetSize int, rate float64, rng *rand.Rand) time.Duration {
	span := float64(fleetSize) / rate * float64(time.Second)
	return time.Duration(span * rng.Float64())
}

// GossipTargets returns random hosts to exchange heartbeats with. The number of
// hosts of the same failure domain is at most local, that of hosts of other
// domains at most remote. Suspect hosts are included, so that their recovery is
// detected.
func GossipTargets(self, domain string, members []Member, local, remote int, rng *rand.Rand) []Member {
	var out []Member
	out = append(out, sample(members, local, rng, func(m Member) bool {
		return m.Host != self && m.Domain == domain && m.State != Gone
	})...)
	out = append(out, sample(members, remote, rng, func(m Member) bool {
		return m.Host != self && m.Domain != domain && m.State != Gone
	})...)
	return out
}

// sample draws up to n distinct members that match. Its cost does not grow
// with the fleet unless few members match.
func sample(members []Member, n int, rng *rand.Rand, match func(Member) bool) []Member {
	if len(members) == 0 || n == 0 {
		return nil
	}
	out := make([]Member, 0, n)
	start, step := rng.IntN(len(members)), strideOf(len(members), rng)
	for i, index := 0, start; i < len(members) && len(out) < n; i++ {
		if match(members[index]) {
			out = append(out, members[index])
		}
		index = (index + step) % len(members)
	}
	return out
}

// strideOf returns a random step that is coprime to n, so that n steps modulo
// n visit every index once.
func strideOf(n int, rng *rand.Rand) int {
	for {
		if s := 1 + rng.IntN(n); gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

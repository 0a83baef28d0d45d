// Package rollout decides which engines may be taken out of service to switch
// versions or roles. It performs no I/O, and clock readings are passed as
// arguments.
//
// The first live host of a service by rendezvous hashing issues permits to take
// an engine out of service. A permit is a lease: it expires unless renewed. A
// new issuer waits one lease duration before it grants permits, so that the
// permits of the previous issuer have expired.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLease is the lease duration of a permit unless configured.
const DefaultLease = 5 * time.Second

// Config holds the durations of an Issuer.
type Config struct {
	// Lease is how long a permit is valid unless renewed. With a longer lease
	// a permit survives longer pauses of its holder, and a new issuer waits
	// longer. Default 5 s.
	Lease time.Duration
	// StuckAfter is how long one holder may renew a permit, and how long a host
	// that is unreachable or reported as not serving counts as unavailable.
	// After that time the host no longer keeps others from getting a permit.
	// Default 5 min.
	StuckAfter time.Duration
	// Retry is the time after which a host that was refused a permit should
	// request it again. Default 200 ms.
	Retry time.Duration
}

func (c Config) applyDefaults() Config {
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.StuckAfter = cmp.Or(c.StuckAfter, 5*time.Minute)
	c.Retry = cmp.Or(c.Retry, 200*time.Millisecond)
	return c
}

// Target is one host of the service as the issuer sees it.
type Target struct {
	Host string
	// Down is true if the issuer cannot reach the host; DownSince is when
	// that began.
	Down      bool
	DownSince time.Time
}

// Decision answers a request for a permit.
type Decision struct {
	Granted bool
	Lease   time.Duration // if granted: how long the permit is valid
	Retry   time.Duration // if refused: time after which to request it again
}

// permit allows a host to take its engine out of service until it expires.
type permit struct {
	host    string
	since   time.Time
	expires time.Time
}

// Issuer grants the hosts of one service permits to take their engines out of service.
type Issuer struct {
	cfg         Config
	active      bool
	activeSince time.Time // when this host became the issuer
	permits     []permit
	stuck       map[string]time.Time // host -> when its permit was revoked after StuckAfter
	reports     map[string]report    // by host whose engine does not serve
}

// report records that the engine of a host does not serve.
type report struct {
	since   time.Time
	expires time.Time
}

// NewIssuer returns an inactive issuer.
func NewIssuer(cfg Config) *Issuer {
	return &Issuer{cfg: cfg.applyDefaults(), stuck: map[string]time.Time{}, reports: map[string]report{}}
}

// SetActive sets whether this host is the issuer. An issuer that becomes
// active grants no permit for one lease duration.
func (i *Issuer) SetActive(now time.Time, on bool) {
	if on && !i.active {
		i.activeSince = now
		i.permits = nil
	}
	i.active = on
}

// Acquire grants or renews a permit of host. It grants one only if no more than
// maxUnavailable targets would then be unavailable.
func (i *Issuer) Acquire(now time.Time, host string, targets []Target, maxUnavailable int) Decision {
	refused := Decision{Retry: i.cfg.Retry}
	if !i.active || now.Sub(i.activeSince) < i.cfg.Lease {
		return refused
	}
	i.expire(now)
	if p := i.find(host); p != nil {
		return i.renew(now, p)
	}
	if at, ok := i.stuck[host]; ok && now.Sub(at) < i.cfg.Lease {
		return refused
	}
	if i.unavailable(now, host, targets)+1 > maxUnavailable {
		return refused
	}
	delete(i.stuck, host)
	i.permits = append(i.permits, permit{host, now, now.Add(i.cfg.Lease)})
	return Decision{Granted: true, Lease: i.cfg.Lease}
}

func (i *Issuer) renew(now time.Time, p *permit) Decision {
	if now.Sub(p.since) >= i.cfg.StuckAfter {
		i.stuck[p.host] = now
		i.drop(p.host)
		return Decision{Retry: i.cfg.Retry}
	}
	p.expires = now.Add(i.cfg.Lease)
	return Decision{Granted: true, Lease: i.cfg.Lease}
}

// ReportUnavailable records that the engine of host does not serve. The host
// repeats the report at least once per lease duration while that is the case.
func (i *Issuer) ReportUnavailable(now time.Time, host string) {
	r, ok := i.reports[host]
	if !ok || now.After(r.expires) {
		r.since = now
	}
	r.expires = now.Add(i.cfg.Lease)
	i.reports[host] = r
}

// Release returns the permit of host, whose engine serves again.
func (i *Issuer) Release(host string) {
	i.drop(host)
	delete(i.reports, host)
}

// Holders returns the hosts that hold a permit.
func (i *Issuer) Holders(now time.Time) []string {
	i.expire(now)
	out := make([]string, len(i.permits))
	for k, p := range i.permits {
		out[k] = p.host
	}
	return out
}

// unavailable counts the unavailable targets other than host: holders of
// permits, and hosts that have been unreachable, or reported as not serving,
// for less than StuckAfter.
func (i *Issuer) unavailable(now time.Time, host string, targets []Target) int {
	n := len(i.permits)
	for _, t := range targets {
		if t.Host == host || i.find(t.Host) != nil {
			continue
		}
		if t.Down && now.Sub(t.DownSince) < i.cfg.StuckAfter || !t.Down && i.reportedUnavailable(now, t.Host) {
			n++
		}
	}
	return n
}

func (i *Issuer) reportedUnavailable(now time.Time, host string) bool {
	r, ok := i.reports[host]
	return ok && !now.After(r.expires) && now.Sub(r.since) < i.cfg.StuckAfter
}

func (i *Issuer) find(host string) *permit {
	for k := range i.permits {
		if i.permits[k].host == host {
			return &i.permits[k]
		}
	}
	return nil
}

func (i *Issuer) drop(host string) {
	i.permits = slices.DeleteFunc(i.permits, func(p permit) bool { return p.host == host })
}

func (i *Issuer) expire(now time.Time) {
	i.permits = slices.DeleteFunc(i.permits, func(p permit) bool { return now.After(p.expires) })
	for h, r := range i.reports {
		if now.After(r.expires) {
			delete(i.reports, h)
		}
	}
}

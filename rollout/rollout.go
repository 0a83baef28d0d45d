// Package rollout decides which engines may be out of service for a switch
// of versions or roles. It is pure: clock readings are passed in.
//
// The first live host of a service by rendezvous hashing issues permits,
// which are leases. A new issuer waits one lease before it grants, so that
// the permits of the one before have run out.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLease is the lease of a permit unless configured.
const DefaultLease = 5 * time.Second

// Config holds the times of an Issuer.
type Config struct {
	// Lease is how long a permit lasts unless renewed. A longer lease
	// survives longer pauses of the holder and delays a new issuer more.
	// Default 5 s.
	Lease time.Duration
	// StuckAfter is how long one holder may renew a permit, and how long an
	// unreachable host counts as unavailable, before it no longer stops the
	// others. Default 5 min.
	StuckAfter time.Duration
	// Retry is when a refused host should ask again. Default 200 ms.
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
	Lease   time.Duration // of a granted permit
	Retry   time.Duration // of a refused one
}

type permit struct {
	host    string
	since   time.Time
	expires time.Time
}

// Issuer grants permits for one service.
type Issuer struct {
	cfg     Config
	active  bool
	since   time.Time // start of the duty
	permits []permit
	stuck   map[string]time.Time // host -> when its permit was withdrawn
	reports map[string]report    // hosts whose engine does not serve
}

type report struct {
	since   time.Time
	expires time.Time
}

// NewIssuer returns an issuer that is not on duty.
func NewIssuer(cfg Config) *Issuer {
	return &Issuer{cfg: cfg.applyDefaults(), stuck: map[string]time.Time{}, reports: map[string]report{}}
}

// SetActive tells whether this host is the issuer now. When the duty starts
// after a time without, grants begin one lease later.
func (i *Issuer) SetActive(now time.Time, on bool) {
	if on && !i.active {
		i.since = now
		i.permits = nil
	}
	i.active = on
}

// Acquire grants or renews a permit of host, if no more than maxUnavailable
// targets would be out.
func (i *Issuer) Acquire(now time.Time, host string, targets []Target, maxUnavailable int) Decision {
	refused := Decision{Retry: i.cfg.Retry}
	if !i.active || now.Sub(i.since) < i.cfg.Lease {
		return refused
	}
	i.expire(now)
	if p := i.find(host); p != nil {
		return i.renew(now, p)
	}
	if at, ok := i.stuck[host]; ok && now.Sub(at) < i.cfg.Lease {
		return refused
	}
	if i.out(now, host, targets)+1 > maxUnavailable {
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

// ReportUnavailable notes that the engine of host does not serve. The host repeats it at
// least once a lease while that lasts.
func (i *Issuer) ReportUnavailable(now time.Time, host string) {
	r, ok := i.reports[host]
	if !ok || now.After(r.expires) {
		r.since = now
	}
	r.expires = now.Add(i.cfg.Lease)
	i.reports[host] = r
}

// Release gives a permit back: the engine of host serves again.
func (i *Issuer) Release(host string) {
	i.drop(host)
	delete(i.reports, host)
}

// Holders returns the hosts with a permit, for the status page.
func (i *Issuer) Holders(now time.Time) []string {
	i.expire(now)
	out := make([]string, len(i.permits))
	for k, p := range i.permits {
		out[k] = p.host
	}
	return out
}

// out counts the targets that are out without host: holders of permits and
// hosts that have been down for less than StuckAfter.
func (i *Issuer) out(now time.Time, host string, targets []Target) int {
	n := len(i.permits)
	for _, t := range targets {
		if t.Host == host || i.find(t.Host) != nil {
			continue
		}
		if t.Down && now.Sub(t.DownSince) < i.cfg.StuckAfter || !t.Down && i.reportedOut(now, t.Host) {
			n++
		}
	}
	return n
}

func (i *Issuer) reportedOut(now time.Time, host string) bool {
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

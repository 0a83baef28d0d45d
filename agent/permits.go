package agent

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/rollout"
)

// permitTimeout bounds a call to the issuer, the host that grants the permits of a
// service.
const permitTimeout = time.Second

// permits acquires the permits to take this host's engine out of service for a version
// switch. A permit is a lease. On the host that is the issuer of the service, permits also
// issues them to the other hosts.
type permits struct {
	cfg  Config
	node *control.Node
	pool *peer.Pool

	mu         sync.Mutex
	issuers    map[string]*rollout.Issuer
	downSince  map[string]time.Time // by host: since when the host is not live
	registered bool                 // the issuer has a permit or an unavailability report of this host
	renewedAt  time.Time
	granted    bool
}

func newPermits(cfg Config, node *control.Node, pool *peer.Pool) *permits {
	return &permits{cfg: cfg, node: node, pool: pool, issuers: map[string]*rollout.Issuer{},
		downSince: map[string]time.Time{}}
}

// issuerOf returns the host that issues the permits of a service: the first one by
// rendezvous hashing among the service's hosts that this process considers live.
func issuerOf(s *control.Snapshot, service string) string {
	svc := s.Fleet().Service(service)
	if svc == nil {
		return ""
	}
	var live []string
	for _, h := range svc.Hosts {
		if m, ok := s.Member(h.Name); ok && m.State == membership.Live {
			live = append(live, h.Name)
		}
	}
	return membership.First("permit/"+service, live)
}

// renewalsPerLease is the number of renewals of a permit within the duration of its lease.
const renewalsPerLease = 4

// acquire requests or renews a permit and reports whether it is granted. A granted
// permit is assumed valid, without a call to the issuer, until the next renewal is due.
func (p *permits) acquire(ctx context.Context, service string) bool {
	p.mu.Lock()
	fresh := p.fresh(p.granted)
	p.mu.Unlock()
	if fresh {
		return true
	}
	reply := p.call(ctx, &peer.Permit{Service: service, Host: p.cfg.Control.Host})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = reply != nil && reply.Granted
	p.recordRenewal()
	p.registered = p.registered || p.granted
	return p.granted
}

// reportUnavailable reports to the issuer that the engine does not serve.
func (p *permits) reportUnavailable(ctx context.Context, service string) {
	p.mu.Lock()
	fresh := p.fresh(p.registered)
	p.mu.Unlock()
	if fresh {
		return
	}
	p.call(ctx, &peer.Permit{Service: service, Host: p.cfg.Control.Host, NotServing: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.registered = true
	p.recordRenewal()
}

// release reports to the issuer that the engine serves and returns the permit.
func (p *permits) release(ctx context.Context, service string) {
	p.mu.Lock()
	registered := p.registered
	p.registered, p.granted = false, false
	p.mu.Unlock()
	if registered {
		p.call(ctx, &peer.Permit{Service: service, Host: p.cfg.Control.Host, Release: true})
	}
}

// recordRenewal records the time of a renewal attempt, whether or not the issuer has answered.
func (p *permits) recordRenewal() { p.renewedAt = clock.Now() }

// fresh reports whether a permit or unavailability report is not due for renewal yet.
// known states whether the issuer has one of this host at all.
func (p *permits) fresh(known bool) bool {
	return known && clock.Since(p.renewedAt) < p.lease()/renewalsPerLease
}

func (p *permits) lease() time.Duration {
	if p.cfg.Rollout.Lease > 0 {
		return p.cfg.Rollout.Lease
	}
	return rollout.DefaultLease
}

func (p *permits) call(ctx context.Context, m *peer.Permit) *peer.PermitReply {
	s := p.node.Snapshot()
	issuer := issuerOf(s, m.Service)
	if issuer == p.cfg.Control.Host {
		return p.issue(m)
	}
	member, ok := s.Member(issuer)
	if !ok {
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := p.pool.Call(ctx, member.Addr, peer.Control, m)
	if err != nil {
		return nil
	}
	r, _ := reply.(*peer.PermitReply)
	return r
}

// issue processes a permit request as the issuer. It grants no permit while this host is
// not the active issuer.
func (p *permits) issue(m *peer.Permit) *peer.PermitReply {
	now := clock.Now()
	s := p.node.Snapshot()
	if s.Fleet() == nil || s.Fleet().Service(m.Service) == nil {
		return &peer.PermitReply{}
	}
	svc := s.Fleet().Service(m.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	is := p.issuer(now, s, m.Service)
	switch {
	case m.Release:
		is.Release(m.Host)
		return &peer.PermitReply{}
	case m.NotServing:
		is.ReportUnavailable(now, m.Host)
		return &peer.PermitReply{}
	}
	targets := make([]rollout.Target, len(svc.Hosts))
	for i, h := range svc.Hosts {
		targets[i] = p.targetState(now, s, h.Name)
	}
	d := is.Acquire(now, m.Host, targets, svc.MaxUnavailable)
	return &peer.PermitReply{Granted: d.Granted, LeaseMs: d.Lease.Milliseconds(), RetryMs: d.Retry.Milliseconds()}
}

// issuer returns the state of the issuer of a service, after updating whether this host is
// the active issuer. The caller must hold p.mu.
func (p *permits) issuer(now time.Time, s *control.Snapshot, service string) *rollout.Issuer {
	is := p.issuers[service]
	if is == nil {
		is = rollout.NewIssuer(p.cfg.Rollout)
		p.issuers[service] = is
	}
	is.SetActive(now, issuerOf(s, service) == p.cfg.Control.Host && p.node.Awake(now))
	return is
}

// refresh updates whether this host is the active issuer of its service, so that the
// wait of a new issuer for the end of earlier leases starts when the host becomes the issuer
// and not at the first request.
func (p *permits) refresh(s *control.Snapshot) {
	if s.Fleet() == nil {
		return
	}
	svc := s.Fleet().ServiceOf(p.cfg.Control.Host)
	if svc == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issuer(clock.Now(), s, svc.Name)
}

func (p *permits) targetState(now time.Time, s *control.Snapshot, host string) rollout.Target {
	m, _ := s.Member(host)
	if m.State == membership.Live {
		delete(p.downSince, host)
		return rollout.Target{Host: host}
	}
	if p.downSince[host].IsZero() {
		p.downSince[host] = now
	}
	return rollout.Target{Host: host, Down: true, DownSince: p.downSince[host]}
}

func (p *permits) handle(ctx context.Context, s *peer.Stream, m *peer.Permit) {
	_ = s.SendLast(ctx, p.issue(m))
}

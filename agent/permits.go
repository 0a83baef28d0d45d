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

// permitTimeout bounds a call to the issuer.
const permitTimeout = time.Second

// permits asks for permits to switch and, on the host that has the duty,
// issues them.
type permits struct {
	cfg  Config
	node *control.Node
	pool *peer.Pool

	mu      sync.Mutex
	issuers map[string]*rollout.Issuer
	down    map[string]time.Time // host -> since when it is not live
	held    bool                 // a permit or a report is with the issuer
	asked   time.Time
	granted bool
}

func newPermits(cfg Config, node *control.Node, pool *peer.Pool) *permits {
	return &permits{cfg: cfg, node: node, pool: pool, issuers: map[string]*rollout.Issuer{},
		down: map[string]time.Time{}}
}

// issuerOf returns the host that issues the permits of a service: the first by
// rendezvous among its hosts that this process takes for live.
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

// renewEvery is the part of a lease after which it is renewed.
const renewEvery = 4

// ask asks for a permit or renews it. Between renewals the last answer holds.
func (p *permits) ask(ctx context.Context, service string) bool {
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
	p.renewed()
	p.held = p.held || p.granted
	return p.granted
}

// out tells the issuer that the engine does not serve.
func (p *permits) out(ctx context.Context, service string) {
	p.mu.Lock()
	fresh := p.fresh(p.held)
	p.mu.Unlock()
	if fresh {
		return
	}
	p.call(ctx, &peer.Permit{Service: service, Host: p.cfg.Control.Host, Out: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = true
	p.renewed()
}

// done tells the issuer that the engine serves.
func (p *permits) done(ctx context.Context, service string) {
	p.mu.Lock()
	held := p.held
	p.held, p.granted = false, false
	p.mu.Unlock()
	if held {
		p.call(ctx, &peer.Permit{Service: service, Host: p.cfg.Control.Host, Done: true})
	}
}

// renewed notes that the issuer has just answered.
func (p *permits) renewed() { p.asked = clock.Now() }

// fresh reports whether what the issuer has said need not be renewed yet.
func (p *permits) fresh(said bool) bool {
	return said && clock.Since(p.asked) < p.lease()/renewEvery
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

// issue answers a request for a permit if this host has the duty.
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
	case m.Done:
		is.Release(m.Host)
		return &peer.PermitReply{}
	case m.Out:
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

// issuer returns the issuer of a service with its duty brought up to date.
// The caller holds the lock.
func (p *permits) issuer(now time.Time, s *control.Snapshot, service string) *rollout.Issuer {
	is := p.issuers[service]
	if is == nil {
		is = rollout.NewIssuer(p.cfg.Rollout)
		p.issuers[service] = is
	}
	is.SetActive(now, issuerOf(s, service) == p.cfg.Control.Host && p.node.Awake(now))
	return is
}

// refresh brings the duty of this host up to date, so that the wait of a new
// issuer starts when the duty does and not with the first request.
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
		delete(p.down, host)
		return rollout.Target{Host: host}
	}
	if p.down[host].IsZero() {
		p.down[host] = now
	}
	return rollout.Target{Host: host, Down: true, DownSince: p.down[host]}
}

func (p *permits) handle(ctx context.Context, s *peer.Stream, m *peer.Permit) {
	_ = s.SendLast(ctx, p.issue(m))
}

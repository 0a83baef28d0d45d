package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/routing"
)

const (
	reconnectDelay  = 200 * time.Millisecond
	rebuildInterval = 100 * time.Millisecond
	statusTimeout   = 3 * time.Second
)

// watchedHost is a host whose agent sends status messages to this entry.
type watchedHost struct {
	endpoint *routing.Endpoint
	stop     context.CancelFunc
	service  string
	report   routing.Report
	status   peer.Status
}

// targets maintains the connections to agents and publishes a routing table, the
// set of hosts that may receive requests, for each service. The event loop owns
// the state of targets; request handling only reads the published tables.
type targets struct {
	cfg  Config
	node *control.Node
	pool *peer.Pool
	log  *logrus.Entry
	loop *loop.Loop

	tables atomic.Pointer[map[string]*routing.Table]

	// The following fields are accessed only on the goroutine of loop.
	ctx      context.Context
	hosts    map[string]*watchedHost
	ejectors map[string]*routing.Ejector
	dirty    bool
}

func newTargets(cfg Config, node *control.Node, pool *peer.Pool, log *logrus.Entry) *targets {
	t := &targets{cfg: cfg, node: node, pool: pool, log: log, loop: loop.New(),
		hosts: map[string]*watchedHost{}, ejectors: map[string]*routing.Ejector{}}
	t.tables.Store(&map[string]*routing.Table{})
	return t
}

func (t *targets) run(ctx context.Context) {
	t.ctx = ctx
	go t.loop.Every(ctx, rebuildInterval, t.rebuildIfDirty)
	t.loop.Run(ctx)
}

// table returns the routing table of a service, or nil.
func (t *targets) table(service string) *routing.Table { return (*t.tables.Load())[service] }

// configure applies a new snapshot: it selects the subset of hosts for each
// service and starts or stops watching agents accordingly. It runs on the loop.
func (t *targets) configure(s *control.Snapshot) {
	f := s.Fleet()
	if f == nil {
		return
	}
	wanted := map[string]string{}
	self := routing.Node{Host: t.cfg.Control.Host, Domain: t.cfg.Control.Domain}
	entries := nodesInRole(s.Members, membership.Entry)
	for i := range f.Services {
		svc := &f.Services[i]
		for _, n := range routing.Subset(self, entries, listedHosts(s, svc), svc.Name, t.cfg.Subset) {
			wanted[n.Host] = svc.Name
		}
	}
	for h, w := range t.hosts {
		m, _ := s.Member(h)
		if wanted[h] != w.service || m.Addr != w.endpoint.Addr {
			w.stop()
			delete(t.hosts, h)
		}
	}
	for h, service := range wanted {
		if m, ok := s.Member(h); ok && t.hosts[h] == nil {
			t.watch(m, service)
		}
	}
	t.rebuild()
}

func nodesInRole(members []membership.Member, role membership.Role) []routing.Node {
	var out []routing.Node
	for _, m := range members {
		if m.Role == role && m.State != membership.Gone {
			out = append(out, routing.Node{Host: m.Host, Domain: m.Domain})
		}
	}
	return out
}

// listedHosts returns the hosts of a service that are known members and not in
// state membership.Gone, that is, unlisted and without recent contact.
func listedHosts(s *control.Snapshot, svc *intent.Service) []routing.Node {
	var out []routing.Node
	for _, h := range svc.Hosts {
		if m, ok := s.Member(h.Name); ok && m.State != membership.Gone {
			out = append(out, routing.Node{Host: h.Name, Domain: m.Domain})
		}
	}
	return out
}

func (t *targets) watch(m membership.Member, service string) {
	ctx, stop := context.WithCancel(t.ctx)
	w := &watchedHost{endpoint: &routing.Endpoint{Host: m.Host, Addr: m.Addr, Domain: m.Domain}, stop: stop, service: service}
	t.hosts[m.Host] = w
	go func() {
		for ctx.Err() == nil {
			t.watchOnce(ctx, w)
			t.loop.Post(func() { t.markNotReady(w) })
			loop.Sleep(ctx, reconnectDelay)
		}
	}()
}

// watchOnce receives status messages until the connection fails or stalls.
func (t *targets) watchOnce(ctx context.Context, w *watchedHost) {
	c, err := t.pool.Get(ctx, w.endpoint.Addr, peer.Traffic)
	if err != nil {
		return
	}
	s, err := c.Open(ctx, &peer.Watch{})
	if err != nil {
		return
	}
	defer s.Close()
	for {
		m, err := receiveMessage(ctx, s)
		if err != nil {
			if ctx.Err() == nil {
				c.Close() // the connection may be stalled; the next attempt dials a new one
			}
			return
		}
		if st, ok := m.(*peer.Status); ok {
			t.loop.Post(func() { t.updateStatus(w, st) })
		}
	}
}

func receiveMessage(ctx context.Context, s *peer.Stream) (peer.Message, error) {
	ctx, cancel := clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.Recv(ctx)
}

// updateStatus records a status message. It runs on the loop.
func (t *targets) updateStatus(w *watchedHost, st *peer.Status) {
	now := clock.Now()
	old := w.report
	w.status = *st
	w.report = routing.Report{At: now, Incarnation: st.Incarnation, Running: st.Running, Queued: st.Queued,
		Slots: st.Slots, OwnInflight: w.endpoint.Inflight(), ReadySince: old.ReadySince,
		Ready: st.Ready && st.Service == w.service, Leaving: st.Leaving}
	if !old.Ready || old.Incarnation != st.Incarnation {
		w.report.ReadySince = now
	}
	if old.Ready != w.report.Ready || old.Leaving != w.report.Leaving || old.Incarnation != w.report.Incarnation {
		t.rebuild()
		return
	}
	t.dirty = true
}

// markNotReady marks a host as not ready after its status stream has ended. It
// runs on the loop.
func (t *targets) markNotReady(w *watchedHost) {
	if w.report.Ready {
		w.report.Ready = false
		t.rebuild()
	}
}

func (t *targets) rebuildIfDirty() {
	if t.dirty {
		t.rebuild()
	}
}

// rebuild publishes new routing tables. It runs on the loop.
func (t *targets) rebuild() {
	t.dirty = false
	now := clock.Now()
	s := t.node.Snapshot()
	byService := map[string][]routing.Candidate{}
	total := map[string]int{}
	for h, w := range t.hosts {
		total[w.service]++
		if m, _ := s.Member(h); m.State == membership.Leaving && m.Incarnation <= w.report.Incarnation {
			continue
		}
		byService[w.service] = append(byService[w.service], routing.Candidate{Endpoint: w.endpoint, Report: w.report})
	}
	tables := make(map[string]*routing.Table, len(byService))
	for service, cands := range byService {
		tables[service] = routing.NewTable(t.cfg.Routing, t.cfg.Control.Domain, t.withoutEjected(now, service, cands, total[service]))
	}
	t.tables.Store(&tables)
}

func (t *targets) withoutEjected(now time.Time, service string, cands []routing.Candidate, total int) []routing.Candidate {
	ejector := t.ejectors[service]
	if ejector == nil {
		ejector = routing.NewEjector(t.cfg.Routing)
		t.ejectors[service] = ejector
	}
	kept := cands[:0]
	for _, c := range cands {
		ejector.Check(now, c.Endpoint, total)
		if !ejector.Ejected(now, c.Endpoint.Host) {
			kept = append(kept, c)
		}
	}
	return kept
}

// scheduleRebuild schedules an immediate rebuild of the routing tables after
// repeated failures of a host, so that the host can be ejected, that is,
// temporarily excluded.
func (t *targets) scheduleRebuild() { t.loop.Post(t.rebuild) }

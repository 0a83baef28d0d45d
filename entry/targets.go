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

// Times of the connections to targets.
const (
	rewatchDelay  = 200 * time.Millisecond
	rebuildEvery  = 100 * time.Millisecond
	statusTimeout = 3 * time.Second
)

// watched is one host whose agent this entry watches.
type watched struct {
	endpoint *routing.Endpoint
	stop     context.CancelFunc
	service  string
	report   routing.Report
	status   peer.Status
}

// targets keeps the connections to agents and publishes a routing table for
// each service. Its state is owned by one goroutine; traffic reads the tables.
type targets struct {
	cfg  Config
	node *control.Node
	pool *peer.Pool
	log  *logrus.Entry
	loop *loop.Loop

	tables atomic.Pointer[map[string]*routing.Table]

	// The fields below are owned by the loop.
	ctx      context.Context
	hosts    map[string]*watched
	ejectors map[string]*routing.Ejector
	dirty    bool
}

func newTargets(cfg Config, node *control.Node, pool *peer.Pool, log *logrus.Entry) *targets {
	t := &targets{cfg: cfg, node: node, pool: pool, log: log, loop: loop.New(),
		hosts: map[string]*watched{}, ejectors: map[string]*routing.Ejector{}}
	t.tables.Store(&map[string]*routing.Table{})
	return t
}

func (t *targets) run(ctx context.Context) {
	t.ctx = ctx
	go t.loop.Every(ctx, rebuildEvery, t.rebuildIfDirty)
	t.loop.Run(ctx)
}

// table returns the routing table of a service, or nil.
func (t *targets) table(service string) *routing.Table { return (*t.tables.Load())[service] }

// configure takes a new snapshot: it chooses the subset of each service and
// starts or stops watching agents.
func (t *targets) configure(s *control.Snapshot) {
	f := s.Fleet()
	if f == nil {
		return
	}
	wanted := map[string]string{}
	self := routing.Node{Host: t.cfg.Control.Host, Domain: t.cfg.Control.Domain}
	entries := nodesOf(s.Members, membership.Entry)
	for i := range f.Services {
		svc := &f.Services[i]
		for _, n := range routing.Subset(self, entries, listed(s, svc), svc.Name, t.cfg.Subset) {
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

func nodesOf(members []membership.Member, role membership.Role) []routing.Node {
	var out []routing.Node
	for _, m := range members {
		if m.Role == role && m.State != membership.Gone {
			out = append(out, routing.Node{Host: m.Host, Domain: m.Domain})
		}
	}
	return out
}

// listed are the hosts of a service that the host list names.
func listed(s *control.Snapshot, svc *intent.Service) []routing.Node {
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
	w := &watched{endpoint: &routing.Endpoint{Host: m.Host, Addr: m.Addr, Domain: m.Domain}, stop: stop, service: service}
	t.hosts[m.Host] = w
	go func() {
		for ctx.Err() == nil {
			t.watchOnce(ctx, w)
			t.loop.Post(func() { t.lost(w) })
			loop.Sleep(ctx, rewatchDelay)
		}
	}()
}

// watchOnce receives status messages until the connection breaks or stalls.
func (t *targets) watchOnce(ctx context.Context, w *watched) {
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
		m, err := receive(ctx, s)
		if err != nil {
			if ctx.Err() == nil {
				c.Close() // a stalled connection helps nobody
			}
			return
		}
		if st, ok := m.(*peer.Status); ok {
			t.loop.Post(func() { t.heard(w, st) })
		}
	}
}

func receive(ctx context.Context, s *peer.Stream) (peer.Message, error) {
	ctx, cancel := clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.Recv(ctx)
}

// heard takes a status message. It runs on the loop.
func (t *targets) heard(w *watched, st *peer.Status) {
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

// lost notes that a host's connection is gone. It runs on the loop.
func (t *targets) lost(w *watched) {
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

// rebuild publishes new tables. It runs on the loop.
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
	j := t.ejectors[service]
	if j == nil {
		j = routing.NewEjector(t.cfg.Routing)
		t.ejectors[service] = j
	}
	kept := cands[:0]
	for _, c := range cands {
		j.Check(now, c.Endpoint, total)
		if !j.Ejected(now, c.Endpoint.Host) {
			kept = append(kept, c)
		}
	}
	return kept
}

// failed makes the tables be rebuilt at once after repeated failures.
func (t *targets) failed() { t.loop.Post(t.rebuild) }

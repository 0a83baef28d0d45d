package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/target"
	"github.com/springgate/springgate/telemetry"
)

// Agent is the process that runs next to one target and handles all requests to it.
type Agent struct {
	cfg        Config
	log        *logrus.Entry
	metrics    metrics.Registry
	reasons    *telemetry.Reasons
	server     *peer.Server
	pool       *peer.Pool
	node       *control.Node
	requests   *requests
	weights    *weights
	supervisor *supervisor
	permits    *permits
	target     *target.Client
	active     sync.WaitGroup  // requests that run or whose answer is not delivered yet
	ctx        context.Context // of Run
	cancel     context.CancelFunc

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when the status changes
	seq     uint64
	leaving bool
}

// New returns an agent whose listener is started. If cfg.Control.Addr has port 0, a
// free port is chosen, which Addr reports. The agent serves once Run is called.
func New(cfg Config, service *configservice.Client, hosts *hostlist.Client, log logrus.FieldLogger) (*Agent, error) {
	cfg = cfg.applyDefaults()
	if cfg.Control.Incarnation == 0 {
		cfg.Control.Incarnation = target.Incarnation(time.Now())
	}
	cfg.Control.Role = membership.Agent
	log = log.WithFields(logrus.Fields{"host": cfg.Control.Host, "failure_domain": cfg.Control.Domain})
	a := &Agent{log: telemetry.Part(log, "agent"), metrics: metrics.NewRegistry(), changed: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.reasons = telemetry.NewReasons(a.metrics)
	self := peer.Hello{Host: cfg.Control.Host, Incarnation: cfg.Control.Incarnation,
		Role: string(membership.Agent), Domain: cfg.Control.Domain}
	meter := &peer.Meter{}
	ready := make(chan struct{})
	handler := func(ctx context.Context, s *peer.Stream, m peer.Message) {
		<-ready
		a.handle(ctx, s, m)
	}
	server, err := peer.Listen(cfg.Control.Addr, self, handler, meter)
	if err != nil {
		return nil, errors.Wrapf(err, "agent %s", cfg.Control.Host)
	}
	cfg.Control.Addr = server.Addr()
	a.cfg, a.server = cfg, server
	a.pool = peer.NewPool(self, handler, meter)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a.node = control.New(cfg.Control, service, hosts, a.pool, telemetry.Part(log, "control"), a.metrics, rng)
	a.permits = newPermits(cfg, a.node, a.pool)
	a.weights = newWeights(cfg, a.node, a.pool, telemetry.Part(log, "weights"), a.metrics, func() { a.supervisor.wake() })
	a.supervisor = newSupervisor(cfg, a.node, a.weights, a.permits, telemetry.Part(log, "engine"), a.metrics,
		a.runningRequests, a.statusChanged)
	a.requests = newRequests(cfg, a.node, a.supervisor.readiness, &a.active)
	a.target = target.NewClient(cfg.TargetURL)
	close(ready)
	return a, nil
}

// Addr returns the address of the peer listener.
func (a *Agent) Addr() string { return a.cfg.Control.Addr }

// Metrics returns the agent's metrics.
func (a *Agent) Metrics() metrics.Registry { return a.metrics }

// Ready reports whether the target accepts requests.
func (a *Agent) Ready() bool { return a.status().Ready }

// Run serves until ctx is done. It does not drain; call Drain first for that.
func (a *Agent) Run(ctx context.Context) {
	a.log.WithField("addr", a.Addr()).Info("Agent started.")
	defer a.cancel()
	context.AfterFunc(ctx, a.cancel)
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){a.requests.run, a.weights.run, a.supervisor.run, a.node.Run} {
		wg.Go(func() { f(ctx) })
	}
	a.node.OnChange(a.configure)
	<-ctx.Done()
	a.server.Close()
	a.pool.Close()
	wg.Wait()
}

// configure passes a new snapshot to the components. It runs on the control
// goroutine.
func (a *Agent) configure(s *control.Snapshot) {
	a.requests.loop.Post(func() { a.requests.configure(s) })
	a.weights.loop.Post(func() { a.weights.configure(s) })
	a.supervisor.configure(s)
	a.permits.refresh(s)
	if m, ok := s.Member(a.cfg.Control.Host); ok && m.Listed.Leaving {
		a.Leave()
	}
}

// Leave makes the agent refuse new requests from now on. It does not wait for running ones.
func (a *Agent) Leave() {
	a.mu.Lock()
	wasLeaving := a.leaving
	a.leaving = true
	a.mu.Unlock()
	if wasLeaving {
		return
	}
	a.log.Info("Leaving. New requests are refused.")
	a.requests.loop.Post(a.requests.leave)
	a.node.Leave()
	a.statusChanged()
}

// Drain calls Leave and waits until all requests have ended and their answers are
// delivered, at most for the drain time-out.
func (a *Agent) Drain(ctx context.Context) {
	a.Leave()
	ctx, cancel := clock.WithTimeout(ctx, a.cfg.DrainTimeout)
	defer cancel()
	_ = a.requests.loop.Call(func() {}) // runs after the function posted by Leave, so no request starts any more
	done := make(chan struct{})
	go func() {
		a.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		a.log.Info("Drained.")
	case <-ctx.Done():
		a.log.Warn("Drain timed out.")
	}
}

func (a *Agent) runningRequests() int {
	n := 0
	_ = a.requests.loop.Call(func() { n = a.requests.intake.Load().Running })
	return n
}

// handle serves a stream from another process.
func (a *Agent) handle(ctx context.Context, s *peer.Stream, m peer.Message) {
	if a.node.Handle(ctx, s, m) {
		return
	}
	switch m := m.(type) {
	case *peer.Dispatch:
		a.handleDispatch(ctx, s, m)
	case *peer.Fence:
		a.handleFence(ctx, s, m)
	case *peer.Resume:
		a.handleResume(ctx, s, m)
	case *peer.KeyFence:
		a.handleKeyFence(ctx, s, m)
	case *peer.Watch:
		a.handleWatch(ctx, s)
	case *peer.Have:
		a.weights.handleHave(ctx, s, m)
	case *peer.GetChunk:
		a.weights.handleGetChunk(ctx, s, m)
	case *peer.Permit:
		a.permits.handle(ctx, s, m)
	case *peer.GetNodeStatus:
		a.handleNodeStatus(ctx, s)
	}
}

// statusChanged makes handleWatch send the new status immediately.
func (a *Agent) statusChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// handleWatch sends the agent's status to an entry, immediately when it changes and
// otherwise at the status interval.
func (a *Agent) handleWatch(ctx context.Context, s *peer.Stream) {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		st := a.status()
		st.Host, st.Version = "", "" // not needed by the entry, and status messages are frequent
		if s.Send(ctx, st) != nil {
			return
		}
		t := clock.NewTimer(a.cfg.StatusInterval)
		select {
		case <-changed:
			t.Stop()
			loop.Sleep(ctx, minStatusInterval)
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// minStatusInterval is the minimum time between two status messages. Changes within
// that time are sent together.
const minStatusInterval = 20 * time.Millisecond

func (a *Agent) status() *peer.Status {
	service, kind, _ := a.supervisor.wanted()
	ready := a.supervisor.readiness()
	st := &peer.Status{Host: a.cfg.Control.Host, Incarnation: a.cfg.Control.Incarnation,
		Revision: a.node.Snapshot().Revision(), Service: service, Ready: ready.ready && a.node.Awake(clock.Now()),
		Version: ready.loadout}
	_ = a.requests.loop.Call(func() {
		l := a.requests.intake.Load()
		st.Running, st.Queued, st.LatencyMs = l.Running, l.Queued, l.Service.Milliseconds()
	})
	if f := a.node.Snapshot().Fleet(); f != nil {
		if svc := f.Service(service); svc != nil {
			st.Slots = svc.Limits.Concurrency
		}
	}
	if kind == intent.Engine {
		st.WeightsHave, st.WeightsWant, _ = a.weights.progress()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	st.Seq, st.Leaving = a.seq, a.leaving
	return st
}

func (a *Agent) handleNodeStatus(ctx context.Context, s *peer.Stream) {
	st := a.node.Status()
	st.Target = *a.status()
	_ = s.SendLast(ctx, st)
}

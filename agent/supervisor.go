package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/target"
)

// Intervals and time-outs of the supervisor.
const (
	superviseInterval = 100 * time.Millisecond
	// orderGrace is how long a new agent process waits before it sends a load
	// order to an engine that does not check fencing tokens. By then an order of
	// the previous agent process has arrived or timed out.
	orderGrace = 6 * time.Second
	// orderRetry is the back-off after a load order has failed or timed out.
	orderRetry = 2 * time.Second
	// drainLimit bounds the wait for running requests before a version switch.
	drainLimit = 2 * time.Minute
)

// stagedChunk identifies a chunk that has been sent to the engine.
type stagedChunk struct {
	manifest digest.Digest
	index    int
}

// supervisor makes the engine load the versions in force. It sends all orders to the
// engine, one at a time. Its steps run on one goroutine.
type supervisor struct {
	cfg     Config
	node    *control.Node
	engine  *target.Engine
	weights *weights
	permits *permits
	log     *logrus.Entry
	started time.Time
	running func() int
	changed func() // called when readiness has changed
	wakeup  chan struct{}

	orders, refusals, staged metrics.Counter

	state    atomic.Pointer[readiness]
	draining atomic.Bool

	mu      sync.Mutex // guards kind, want and service, which other goroutines read
	kind    intent.Kind
	want    target.Loadout
	service string

	boot         string // identifies the engine's process start for which chunks were staged
	stagedChunks map[stagedChunk]bool
	orderedAt    time.Time // time of the outstanding load order; zero if none
	drainSince   time.Time
	notBefore    time.Time
}

func newSupervisor(cfg Config, node *control.Node, w *weights, p *permits, log *logrus.Entry, reg metrics.Registry, running func() int, changed func()) *supervisor {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("engine."+name, reg) }
	s := &supervisor{cfg: cfg, node: node, engine: target.NewEngine(cfg.TargetURL), weights: w, permits: p, log: log,
		started: clock.Now(), running: running, changed: changed, wakeup: make(chan struct{}, 1),
		orders: c("orders"), refusals: c("orders_refused"), staged: c("chunks_staged"),
		stagedChunks: map[stagedChunk]bool{}}
	s.state.Store(&readiness{})
	return s
}

// readiness returns whether the target accepts requests, and the ID of the loadout that
// the target's answers must name.
func (s *supervisor) readiness() readiness {
	r := *s.state.Load()
	r.ready = r.ready && !s.draining.Load()
	return r
}

func (s *supervisor) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// configure sets the service of this host and the loadout (model, adapters and role) that
// its engine must load according to the fleet file in force.
func (s *supervisor) configure(snap *control.Snapshot) {
	f := snap.Fleet()
	if f == nil {
		return
	}
	svc := f.ServiceOf(s.cfg.Control.Host)
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc == nil {
		s.service, s.kind = "", ""
		return
	}
	s.service, s.kind, s.want = svc.Name, svc.Kind, target.LoadoutOf(svc)
}

func (s *supervisor) wanted() (service string, kind intent.Kind, want target.Loadout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service, s.kind, s.want
}

func (s *supervisor) run(ctx context.Context) {
	t := time.NewTicker(superviseInterval)
	defer t.Stop()
	for {
		s.step(ctx)
		select {
		case <-t.C:
		case <-s.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

func (s *supervisor) setReady(r readiness) {
	if *s.state.Load() != r {
		s.state.Store(&r)
		s.changed()
	}
}

// step takes the next step towards the loadout that the engine must load.
func (s *supervisor) step(ctx context.Context) {
	service, kind, want := s.wanted()
	switch kind {
	case intent.Plain:
		s.setReady(readiness{ready: true})
		return
	case intent.Engine:
	default:
		s.setReady(readiness{})
		return
	}
	st, err := s.engine.Status(ctx)
	if err != nil {
		s.setReady(readiness{})
		s.permits.reportUnavailable(ctx, service)
		return
	}
	s.resetOnRestart(st)
	s.setReady(readiness{ready: st.Loadout != "" && !st.Loading, loadout: st.Loadout})
	if st.Loadout == want.ID() && !st.Loading {
		s.finishSwitch(ctx, service)
		return
	}
	if st.Loadout == "" || st.Loading {
		s.permits.reportUnavailable(ctx, service)
	}
	s.advance(ctx, service, want, st)
}

// resetOnRestart clears the record of staged chunks and the outstanding order if the
// engine has restarted.
func (s *supervisor) resetOnRestart(st target.EngineStatus) {
	if st.Boot != s.boot {
		s.boot = st.Boot
		s.stagedChunks = map[stagedChunk]bool{}
		s.orderedAt = time.Time{}
	}
}

// finishSwitch ends a version switch that has succeeded.
func (s *supervisor) finishSwitch(ctx context.Context, service string) {
	s.orderedAt = time.Time{}
	s.stopDraining()
	s.permits.release(ctx, service)
}

func (s *supervisor) stopDraining() {
	s.drainSince = time.Time{}
	if s.draining.Swap(false) {
		s.changed()
	}
}

// advance stages missing chunks, then acquires a permit, drains the target and sends the
// load order.
func (s *supervisor) advance(ctx context.Context, service string, want target.Loadout, st target.EngineStatus) {
	now := clock.Now()
	if s.orderInProgress(ctx, service, now) || now.Before(s.notBefore) {
		return
	}
	if !s.stage(ctx, want) {
		return
	}
	if !s.mayOrder(now) {
		return
	}
	if st.Loadout != "" && !s.permits.acquire(ctx, service) {
		return
	}
	if !s.drain(now) {
		return
	}
	s.order(ctx, service, want)
}

// orderInProgress reports whether a load order is outstanding. It abandons the order after
// the load time-out.
func (s *supervisor) orderInProgress(ctx context.Context, service string, now time.Time) bool {
	if s.orderedAt.IsZero() {
		return false
	}
	if now.Sub(s.orderedAt) < s.cfg.LoadTimeout {
		s.permits.acquire(ctx, service) // renew the permit
		return true
	}
	s.log.Warn("Engine did not load the ordered versions in time.")
	s.abandon(ctx, service)
	return true
}

// abandon aborts a version switch, which is retried after orderRetry. The engine keeps its
// current versions.
func (s *supervisor) abandon(ctx context.Context, service string) {
	s.orderedAt = time.Time{}
	s.notBefore = clock.Now().Add(orderRetry)
	s.stopDraining()
	s.permits.release(ctx, service)
}

// mayOrder reports whether a load order may be sent now. None may be sent after a
// pause of this process until its state is up to date again, nor, if the engine does not
// check fencing tokens, while an order of the previous process may still be in transit.
func (s *supervisor) mayOrder(now time.Time) bool {
	if !s.node.Awake(now) {
		return false
	}
	f := s.node.Snapshot().Fleet()
	svc := f.ServiceOf(s.cfg.Control.Host)
	return svc != nil && (svc.Fenced || now.Sub(s.started) >= orderGrace)
}

// drain stops the admission of new requests. It reports true once no request runs, or
// drainLimit has passed.
func (s *supervisor) drain(now time.Time) bool {
	if !s.draining.Swap(true) {
		s.drainSince = now
		s.changed()
	}
	return s.running() == 0 || now.Sub(s.drainSince) > drainLimit
}

func (s *supervisor) order(ctx context.Context, service string, want target.Loadout) {
	snap := s.node.Snapshot()
	if svc := snap.Fleet().ServiceOf(s.cfg.Control.Host); svc == nil || target.LoadoutOf(svc).ID() != want.ID() {
		return // the fleet file has changed in the meantime
	}
	s.orders.Inc(1)
	o := target.Order{Loadout: want, ID: want.ID(), Fence: target.Fence(snap.Revision(), s.cfg.Control.Incarnation)}
	err := s.engine.Load(ctx, o)
	if err == nil {
		s.orderedAt = clock.Now()
		s.log.WithField("loadout", want.Model.Short()).WithField("revision", snap.Revision()).Info("Load ordered.")
		s.wake()
		return
	}
	s.refusals.Inc(1)
	s.log.WithError(err).Warn("Load order failed.")
	if errors.Is(err, target.ErrRefused) {
		s.stagedChunks = map[stagedChunk]bool{} // the engine may have lost chunks
	}
	s.abandon(ctx, service)
}

// stage sends the chunks that have arrived to the engine. It reports whether the complete
// loadout is staged.
func (s *supervisor) stage(ctx context.Context, want target.Loadout) bool {
	manifests := s.weights.manifests(want)
	complete := true
	for _, id := range want.Manifests() {
		m := manifests[id]
		if m == nil {
			complete = false
			continue
		}
		complete = s.stageVersion(ctx, id, m) && complete
	}
	return complete
}

// stageBatch is the maximum number of chunks that are staged in one step. It bounds the
// time until the engine's status is checked again.
const stageBatch = 64

func (s *supervisor) stageVersion(ctx context.Context, id digest.Digest, m *spread.Manifest) bool {
	remaining, sent := 0, 0
	for i, d := range m.Chunks {
		key := stagedChunk{id, i}
		if s.stagedChunks[key] {
			continue
		}
		b := s.weights.chunks.get(d)
		if b == nil || sent == stageBatch {
			remaining++
			continue
		}
		if err := s.engine.Stage(ctx, id, i, len(m.Chunks), b); err != nil {
			s.log.WithError(err).Debug("Could not stage chunk.")
			return false
		}
		sent++
		s.staged.Inc(1)
		s.stagedChunks[key] = true
	}
	if remaining > 0 && sent > 0 {
		s.wake()
	}
	return remaining == 0
}

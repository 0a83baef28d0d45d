package entry

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/submission"
	"github.com/springgate/springgate/target"
	"github.com/springgate/springgate/telemetry"
)

// Parameters of the exponentially decaying samples behind the histograms, as
// recommended by go-metrics: the number of values in a sample and the decay factor.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

type counters struct {
	completed, notRun, unknown, resumed, dropped metrics.Counter
	firstByte, duration                          metrics.Histogram // milliseconds
	inflight                                     metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("requests."+name, r) }
	h := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram("requests."+name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return counters{completed: c("completed"), notRun: c("not_run"), unknown: c("unknown"), resumed: c("resumed"),
		dropped: c("frames_dropped"), firstByte: h("first_byte_ms"), duration: h("duration_ms"),
		inflight: metrics.NewRegisteredGauge("requests.inflight", r)}
}

// Entry accepts requests from callers and forwards them to agents.
type Entry struct {
	cfg      Config
	log      *logrus.Entry
	access   *logrus.Entry
	metrics  metrics.Registry
	reasons  *telemetry.Reasons
	count    counters
	server   *peer.Server
	pool     *peer.Pool
	node     *control.Node
	targets  *targets
	listener net.Listener
	http     *http.Server
	inflight atomic.Int64
	leaving  atomic.Bool
	stopping context.Context // cancelled when requests are ended that the drain has not waited for
	stop     context.CancelFunc

	mu           sync.Mutex
	retryBudgets map[string]*routing.Budget
}

// New returns an entry with open listeners. Run starts serving.
func New(cfg Config, service *configservice.Client, hosts *hostlist.Client, log logrus.FieldLogger) (*Entry, error) {
	cfg = cfg.applyDefaults()
	if cfg.Control.Incarnation == 0 {
		cfg.Control.Incarnation = target.Incarnation(time.Now())
	}
	cfg.Control.Role = membership.Entry
	log = log.WithFields(logrus.Fields{"host": cfg.Control.Host, "failure_domain": cfg.Control.Domain})
	e := &Entry{log: telemetry.Part(log, "entry"), access: telemetry.Part(log, "access"),
		metrics: metrics.NewRegistry(), retryBudgets: map[string]*routing.Budget{}}
	e.stopping, e.stop = context.WithCancel(context.Background())
	e.reasons = telemetry.NewReasons(e.metrics)
	e.count = newCounters(e.metrics)
	self := peer.Hello{Host: cfg.Control.Host, Incarnation: cfg.Control.Incarnation,
		Role: string(membership.Entry), Domain: cfg.Control.Domain}
	meter := &peer.Meter{}
	initialized := make(chan struct{})
	handler := func(ctx context.Context, s *peer.Stream, m peer.Message) {
		<-initialized
		e.handle(ctx, s, m)
	}
	var err error
	if e.server, err = peer.Listen(cfg.Control.Addr, self, handler, meter); err != nil {
		return nil, errors.Wrapf(err, "entry %s", cfg.Control.Host)
	}
	if e.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		e.server.Close()
		return nil, errors.Wrapf(err, "entry %s: listen for callers", cfg.Control.Host)
	}
	cfg.Control.Addr = e.server.Addr()
	e.cfg = cfg
	e.pool = peer.NewPool(self, handler, meter)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.node = control.New(cfg.Control, service, hosts, e.pool, telemetry.Part(log, "control"), e.metrics, rng)
	e.targets = newTargets(cfg, e.node, e.pool, telemetry.Part(log, "targets"))
	if e.http, err = e.newServer(); err != nil {
		return nil, err
	}
	close(initialized)
	return e, nil
}

// Addr returns the address on which other processes of the fleet connect.
func (e *Entry) Addr() string { return e.cfg.Control.Addr }

// CallerAddr returns the address on which requests from callers are accepted.
func (e *Entry) CallerAddr() string { return e.listener.Addr().String() }

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() metrics.Registry { return e.metrics }

// Run serves until ctx is done, then closes all connections without draining.
// Call Drain first for a graceful shutdown.
func (e *Entry) Run(ctx context.Context) {
	e.log.WithField("addr", e.CallerAddr()).Info("Entry started.")
	var wg sync.WaitGroup
	wg.Go(func() { e.targets.run(ctx) })
	wg.Go(func() { _ = e.http.Serve(e.listener) })
	e.node.OnChange(func(s *control.Snapshot) { e.targets.loop.Post(func() { e.targets.configure(s) }) })
	wg.Go(func() { e.node.Run(ctx) })
	<-ctx.Done()
	e.http.Close()
	e.server.Close()
	e.pool.Close()
	wg.Wait()
}

// Drain makes /readyz fail and keeps serving for Config.ShutdownDelay. It then
// stops accepting connections and waits for the requests in flight. Those that take longer
// than Config.DrainTimeout are answered with what is known of them.
func (e *Entry) Drain(ctx context.Context) {
	if e.leaving.Swap(true) {
		return
	}
	e.log.WithField("notice", e.cfg.ShutdownDelay.String()).Info("Draining; the readiness check fails from now on.")
	e.node.Leave()
	e.http.SetKeepAlivesEnabled(false)
	loop.Sleep(ctx, e.cfg.ShutdownDelay)
	drainCtx, cancel := clock.WithTimeout(ctx, e.cfg.DrainTimeout)
	defer cancel()
	if err := e.http.Shutdown(drainCtx); err != nil {
		e.log.WithError(err).Warn("Drain timed out.")
		e.endRequests(ctx)
		return
	}
	e.log.Info("Drained.")
}

// answerTimeout bounds the wait for the answers to requests that the drain has not waited for.
const answerTimeout = 5 * time.Second

// endRequests ends all requests and waits until their callers are answered.
func (e *Entry) endRequests(ctx context.Context) {
	e.stop()
	ctx, cancel := clock.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := e.http.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("Remaining requests are cut off.")
	}
}

// Ready reports whether the load balancer should send requests to this entry.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.node.Snapshot().Fleet() != nil && e.node.Awake(clock.Now())
}

func (e *Entry) handle(ctx context.Context, s *peer.Stream, m peer.Message) {
	if e.node.Handle(ctx, s, m) {
		return
	}
	if _, ok := m.(*peer.GetNodeStatus); ok {
		_ = s.SendLast(ctx, e.node.Status())
	}
}

func (e *Entry) retryBudget(service string) *routing.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.retryBudgets[service]
	if b == nil {
		b = routing.NewBudget(e.cfg.Budget)
		e.retryBudgets[service] = b
	}
	return b
}

// defaultTeam is the team of requests that do not name one.
const defaultTeam = "default"

// serveCall handles one request from a caller.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	x := &exchange{entry: e, w: w, r: r, arrived: clock.Now(), id: uuid.New()}
	e.count.inflight.Update(e.inflight.Add(1))
	defer func() { e.count.inflight.Update(e.inflight.Add(-1)) }()
	if reason, detail := x.prepare(); reason != "" {
		x.finish(submission.Action{Outcome: outcome.NotRun, Reason: reason, RetryAfter: retryAfterOf(reason)}, detail)
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), x.deadline.Add(resultGrace))
	defer cancel()
	defer context.AfterFunc(e.stopping, cancel)()
	x.finish(x.run(ctx), "")
}

func retryAfterOf(r outcome.Reason) time.Duration {
	if outcome.Lookup(r).Status == http.StatusServiceUnavailable {
		return time.Second
	}
	return 0
}

// prepare validates a request before it is sent to any host. It returns the
// reason for a rejection and a detail for the caller, or "".
func (x *exchange) prepare() (outcome.Reason, string) {
	var err error
	if x.req, err = caller.Parse(x.r); err != nil {
		return outcome.BadRequest, err.Error()
	}
	if x.entry.inflight.Load() > int64(x.entry.cfg.MaxInflight) {
		return outcome.EntryFull, ""
	}
	f := x.entry.node.Snapshot().Fleet()
	if f == nil {
		return outcome.NoIntent, ""
	}
	if x.svc = f.Service(x.req.Service); x.svc == nil {
		return outcome.NoService, "service " + x.req.Service
	}
	if reason := x.checkTeam(f); reason != "" {
		return reason, "team " + x.req.Team
	}
	timeout := x.svc.Limits.Timeout
	if x.req.Timeout > 0 {
		timeout = min(timeout, x.req.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
	stop := context.AfterFunc(x.entry.stopping, x.stopReading)
	x.body, err = readBody(x.w, x.r, x.entry.cfg.MaxBody)
	switch {
	case !stop():
		return outcome.ShuttingDown, ""
	case errors.Is(err, errBodyTooLarge):
		return outcome.BodyTooLarge, ""
	case err != nil:
		return outcome.CallerLeft, err.Error()
	case x.req.Key != "" && x.body.streamed():
		return outcome.BodyTooLarge, "a request with an idempotency key must fit in 256 KiB"
	}
	x.fingerprint = x.body.fingerprint(x.r, x.req.URI)
	return "", ""
}

func (x *exchange) checkTeam(f *intent.Fleet) outcome.Reason {
	if x.req.Team == "" {
		x.req.Team = defaultTeam
	}
	if f.Team(x.req.Team) == nil {
		return outcome.NoTeam
	}
	return ""
}

func (x *exchange) requestID() string { return hex.EncodeToString(x.id[:]) }

// finish reports the outcome to the caller, counts it and writes the access log.
func (x *exchange) finish(act submission.Action, detail string) {
	x.record(act)
	switch {
	case act.Abort:
		panic(http.ErrAbortHandler) // a truncated response must not look complete to the caller
	case act.Outcome == outcome.Completed:
		x.w.Header().Set(http.TrailerPrefix+caller.HeaderOutcome, string(act.Outcome))
	case act.Reason == outcome.CallerLeft:
	default:
		caller.WriteProblem(x.w, caller.Refusal{Outcome: act.Outcome, Reason: act.Reason,
			RetryAfter: act.RetryAfter, RequestID: x.requestID(), Detail: detail})
	}
}

func (x *exchange) record(act submission.Action) {
	c := &x.entry.count
	switch act.Outcome {
	case outcome.Completed:
		c.completed.Inc(1)
		c.firstByte.Update(x.firstByte.Milliseconds())
		c.duration.Update(clock.Since(x.arrived).Milliseconds())
		x.entry.retryBudget(x.svc.Name).Success()
	case outcome.NotRun:
		c.notRun.Inc(1)
	default:
		c.unknown.Inc(1)
	}
	if act.Reason != "" {
		x.entry.reasons.Refused(act.Reason)
	}
	tries := uint16(0)
	if x.machine != nil {
		tries = x.machine.Try()
		c.dropped.Inc(int64(x.machine.Dropped()))
	}
	x.entry.access.WithFields(logrus.Fields{"request_id": x.requestID(), "service": x.req.Service, "team": x.req.Team,
		"target_host": x.host.Host, "method": x.r.Method, "outcome": act.Outcome, "reason": act.Reason,
		"status": x.status, "tries": tries, "bytes": x.written, "first_ms": x.firstByte.Milliseconds(),
		"took_ms": clock.Since(x.arrived).Milliseconds(), "revision": x.entry.node.Snapshot().Revision()}).Info("Request ended.")
}

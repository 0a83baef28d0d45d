package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"golang.org/x/time/rate"
)

// tickEvery is how often the state is looked over.
const tickEvery = 250 * time.Millisecond

// callTimeout bounds a call to another process.
const callTimeout = time.Second

// directBurst is how many direct calls a process may make in a row.
const directBurst = 4

// Counters of a Node.
type counters struct {
	staleHeads, rejectedHeads, accepted, pauses        metrics.Counter
	heartbeatsOut, heartbeatsIn, directCalls, pulls    metrics.Counter
	platformFailures                                   metrics.Counter
	revision, bytesIn, bytesOut, trafficIn, trafficOut metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("control."+name, r) }
	return counters{
		staleHeads: c("stale_heads"), rejectedHeads: c("rejected_heads"), accepted: c("accepted"),
		pauses: c("pauses"), heartbeatsOut: c("heartbeats_out"), heartbeatsIn: c("heartbeats_in"),
		directCalls: c("platform_calls"), pulls: c("pulls"), platformFailures: c("platform_failures"),
		revision:   metrics.NewRegisteredGauge("control.revision", r),
		bytesIn:    metrics.NewRegisteredGauge("control.bytes_in", r),
		bytesOut:   metrics.NewRegisteredGauge("control.bytes_out", r),
		trafficIn:  metrics.NewRegisteredGauge("control.traffic_bytes_in", r),
		trafficOut: metrics.NewRegisteredGauge("control.traffic_bytes_out", r),
	}
}

// Node is the control state of one process.
type Node struct {
	cfg     Config
	log     *logrus.Entry
	count   counters
	service *configservice.Client
	hosts   *hostlist.Client
	pool    *peer.Pool

	loop     *loop.Loop
	snapshot atomic.Pointer[Snapshot]
	leaving  atomic.Bool
	direct   *rate.Limiter

	mu        sync.Mutex
	listeners []func(*Snapshot)

	ctx context.Context // of Run; set before the loop starts

	// The fields below are owned by the loop.
	fold         *intent.Tracker
	view         *membership.View
	rng          *rand.Rand
	hostsRaw     []byte
	knownSince   time.Time // the past is complete from here
	knownUpTo    uint64    // up to this revision
	proof        time.Time
	lastTick     time.Time
	lastRound    time.Time
	nextFallback time.Time
	awake        bool
	reader       bool
	stopReader   context.CancelFunc
	partners     []membership.Member // hosts that heartbeats are exchanged with
	partnersAt   time.Time
	pulling      map[string]bool
	asked        map[string]bool // peers whose history was asked for
	past         []PastHosts     // learned from them
}

// New returns a node. Run starts it.
func New(cfg Config, service *configservice.Client, hosts *hostlist.Client, pool *peer.Pool, log *logrus.Entry, reg metrics.Registry, rng *rand.Rand) *Node {
	cfg = cfg.applyDefaults()
	n := &Node{cfg: cfg, log: log, count: newCounters(reg), service: service, hosts: hosts, pool: pool,
		loop: loop.New(), direct: rate.NewLimiter(rate.Inf, directBurst),
		fold: intent.NewTracker(cfg.HistoryRetention), view: membership.New(cfg.Host, cfg.Membership), rng: rng,
		awake: true, pulling: map[string]bool{}, asked: map[string]bool{}}
	n.snapshot.Store(&Snapshot{})
	return n
}

// Snapshot returns the newest state.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// OnChange registers a function that is called with each new snapshot, on the
// control goroutine; it must not block.
func (n *Node) OnChange(f func(*Snapshot)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, f)
}

// Awake reports whether the process may act on what it knows: it has not been
// paused since its state was last looked over.
func (n *Node) Awake(now time.Time) bool {
	s := n.snapshot.Load()
	return s.Awake && now.Sub(s.CheckedAt) <= n.cfg.PauseThreshold
}

// Leave makes the process say that it is leaving, from now on.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.loop.Post(func() { n.round(clock.Now()) })
}

// Run keeps the state until ctx is done.
func (n *Node) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.ctx = ctx
	go n.start()
	go n.loop.Every(ctx, tickEvery, func() { n.tick(clock.Now()) })
	n.loop.Run(ctx)
}

// start makes the first reads after a random delay, so that a fleet that
// starts all at once stays under the platform's limit.
func (n *Node) start() {
	var delay time.Duration
	if n.loop.Call(func() {
		n.lastTick = clock.Now()
		n.knownSince = n.lastTick
		delay = membership.StartDelay(n.cfg.FleetSize, n.cfg.StartRate, n.rng)
	}) != nil {
		return
	}
	select {
	case <-time.After(delay):
	case <-n.ctx.Done():
		return
	}
	n.readHosts()
}

// tick looks over the state. It runs on the loop.
func (n *Node) tick(now time.Time) {
	if !n.lastTick.IsZero() && now.Sub(n.lastTick) > n.cfg.PauseThreshold {
		n.count.pauses.Inc(1)
		n.awake = false
		n.log.WithField("gap", now.Sub(n.lastTick).String()).Warn("Process was paused. Catching up.")
		n.nextFallback = time.Time{}
	}
	n.lastTick = now
	n.noteBytes()
	n.view.Tick(now)
	n.fold.Expire(now)
	n.publish(now)
	n.updateReader(now)
	if now.Sub(n.lastRound) >= n.cfg.HeartbeatInterval {
		n.round(now)
	}
	n.fallback(now)
}

// noteBytes brings the gauges of exchanged bytes up to date.
func (n *Node) noteBytes() {
	in, out := n.pool.Meter().Bytes(peer.Control)
	n.count.bytesIn.Update(in)
	n.count.bytesOut.Update(out)
	in, out = n.pool.Meter().Bytes(peer.Traffic)
	n.count.trafficIn.Update(in)
	n.count.trafficOut.Update(out)
}

// publish stores a new snapshot and tells the listeners.
func (n *Node) publish(now time.Time) {
	s := &Snapshot{Accepted: n.fold.Accepted(), PastHosts: n.pastHosts(now), KnownSince: n.knownSince,
		ConfirmedAt: n.proof, Members: n.view.Members(now), HostsSerial: n.view.Serial(), CheckedAt: n.lastTick,
		Awake: n.awake, Reader: n.reader}
	n.snapshot.Store(s)
	n.count.revision.Update(int64(s.Revision()))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.listeners {
		f(s)
	}
}

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

// tickInterval is the time between two calls of tick.
const tickInterval = 250 * time.Millisecond

// callTimeout limits the heartbeat exchange with one host.
const callTimeout = time.Second

// directBurst is the number of calls that directLimiter allows in a burst.
const directBurst = 4

// counters are the metrics of a Node.
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

// Node maintains the control state of one process.
type Node struct {
	cfg     Config
	log     *logrus.Entry
	count   counters
	service *configservice.Client
	hosts   *hostlist.Client
	pool    *peer.Pool

	loop          *loop.Loop
	snapshot      atomic.Pointer[Snapshot]
	leaving       atomic.Bool
	directLimiter *rate.Limiter // limits reads of file parts by fallback

	mu        sync.Mutex
	listeners []func(*Snapshot)

	ctx context.Context // of Run; set before the loop starts

	// The fields below are accessed only on the goroutine of loop.
	tracker          *intent.Tracker
	view             *membership.View
	rng              *rand.Rand
	hostsRaw         []byte
	knownSince       time.Time // time since which the past hosts of all services are known
	knownUpTo        uint64    // number of the revision up to which they are known
	confirmedAt      time.Time // when the platform last confirmed the head
	lastTick         time.Time
	lastGossip       time.Time
	nextFallback     time.Time
	awake            bool
	reader           bool
	stopReader       context.CancelFunc
	gossipPeers      []membership.Member // set from which each round of heartbeats selects its hosts
	gossipPeersSince time.Time
	pulling          map[string]bool // kinds of fetches in progress
	historyRequested map[string]bool // peers whose history was requested
	peerPastHosts    []PastHosts     // received from peers
}

// New returns a Node that has not been started; see Run.
func New(cfg Config, service *configservice.Client, hosts *hostlist.Client, pool *peer.Pool, log *logrus.Entry, reg metrics.Registry, rng *rand.Rand) *Node {
	cfg = cfg.applyDefaults()
	n := &Node{cfg: cfg, log: log, count: newCounters(reg), service: service, hosts: hosts, pool: pool,
		loop: loop.New(), directLimiter: rate.NewLimiter(rate.Inf, directBurst),
		tracker: intent.NewTracker(cfg.HistoryRetention), view: membership.New(cfg.Host, cfg.Membership), rng: rng,
		awake: true, pulling: map[string]bool{}, historyRequested: map[string]bool{}}
	n.snapshot.Store(&Snapshot{})
	return n
}

// Snapshot returns the latest snapshot.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// OnChange registers a function that is called with each new snapshot. It is
// called on the control goroutine and must not block.
func (n *Node) OnChange(f func(*Snapshot)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, f)
}

// Awake reports whether the process may act on its snapshot: it is not recovering
// from a pause, and the last tick is recent enough to rule out a new pause.
func (n *Node) Awake(now time.Time) bool {
	s := n.snapshot.Load()
	return s.Awake && now.Sub(s.CheckedAt) <= n.cfg.PauseThreshold
}

// Leave makes all further heartbeats announce that the process is leaving the
// fleet, and sends a round of heartbeats at once.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.loop.Post(func() { n.gossip(clock.Now()) })
}

// Run maintains the state until ctx is done.
func (n *Node) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.ctx = ctx
	go n.start()
	go n.loop.Every(ctx, tickInterval, func() { n.tick(clock.Now()) })
	n.loop.Run(ctx)
}

// start reads the host list from the platform after a random delay, so that a
// fleet whose processes start at the same time stays under the platform's rate
// limit.
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

// tick detects pauses, expires old state, publishes a snapshot, and starts the
// heartbeats and reads that are due. It runs on the loop.
func (n *Node) tick(now time.Time) {
	if !n.lastTick.IsZero() && now.Sub(n.lastTick) > n.cfg.PauseThreshold {
		n.count.pauses.Inc(1)
		n.awake = false
		n.log.WithField("gap", now.Sub(n.lastTick).String()).Warn("Process was paused. Catching up.")
		n.nextFallback = time.Time{}
	}
	n.lastTick = now
	n.updateByteGauges()
	n.view.Tick(now)
	n.tracker.Expire(now)
	n.publish(now)
	n.updateReader(now)
	if now.Sub(n.lastGossip) >= n.cfg.HeartbeatInterval {
		n.gossip(now)
	}
	n.fallback(now)
}

// updateByteGauges updates the gauges of bytes sent and received.
func (n *Node) updateByteGauges() {
	in, out := n.pool.Meter().Bytes(peer.Control)
	n.count.bytesIn.Update(in)
	n.count.bytesOut.Update(out)
	in, out = n.pool.Meter().Bytes(peer.Traffic)
	n.count.trafficIn.Update(in)
	n.count.trafficOut.Update(out)
}

// publish stores a new snapshot and calls the listeners.
func (n *Node) publish(now time.Time) {
	s := &Snapshot{Accepted: n.tracker.Accepted(), PastHosts: n.pastHosts(now), KnownSince: n.knownSince,
		ConfirmedAt: n.confirmedAt, Members: n.view.Members(now), HostsSerial: n.view.Serial(), CheckedAt: n.lastTick,
		Awake: n.awake, Reader: n.reader}
	n.snapshot.Store(s)
	n.count.revision.Update(int64(s.Revision()))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.listeners {
		f(s)
	}
}

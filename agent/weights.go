package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/target"
	"github.com/springgate/springgate/weightstore"
)

// Intervals and time-outs of the weight transfer.
const (
	scheduleInterval = 50 * time.Millisecond
	manifestRetry    = 300 * time.Millisecond
	manifestTimeout  = 5 * time.Second
	subscribeRetry   = 500 * time.Millisecond
)

type weightCounters struct {
	fromPeer, fromOtherDomain, fromStore, fromOrigin, served metrics.Counter // bytes
	corrupt, failed, limited                                 metrics.Counter
}

func newWeightCounters(r metrics.Registry) weightCounters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("weights."+name, r) }
	return weightCounters{fromPeer: c("bytes_from_peer"), fromOtherDomain: c("bytes_from_other_domain"),
		fromStore: c("bytes_from_store"), fromOrigin: c("bytes_from_origin"), served: c("bytes_served"),
		corrupt: c("corrupt_chunks"), failed: c("failed_fetches"), limited: c("limited_fetches")}
}

// weights transfers versions of weights to this host and serves their chunks to other
// hosts.
type weights struct {
	cfg        Config
	self       spread.Node
	node       *control.Node
	pool       *peer.Pool
	log        *logrus.Entry
	counters   weightCounters
	chunks     *chunks
	up         *linkPacer
	down       *linkPacer
	loop       *loop.Loop
	onComplete func() // called when all chunks of a version are held

	mu           sync.Mutex
	holdings     map[digest.Digest]*holding
	holdingAdded chan struct{} // closed and replaced when a holding is added

	// The fields below are accessed only on the goroutine of loop.
	ctx       context.Context
	wanted    target.Loadout
	nodes     []spread.Node
	nodesKey  string // identifies the nodes for which the readers (see readers) were computed
	sources   map[intent.SourceKind]*weightstore.Client
	transfers map[digest.Digest]*transfer
}

// transfer is the transfer of one version to this host.
type transfer struct {
	ctx           context.Context
	stop          context.CancelFunc
	id            digest.Digest
	manifest      *spread.Manifest // nil until known
	planner       *spread.Planner
	holding       *holding
	subscriptions map[string]context.CancelFunc
	fetches       map[spread.Fetch]context.CancelFunc
	failed        error // set if the version does not fit in the weight memory
}

func newWeights(cfg Config, node *control.Node, pool *peer.Pool, log *logrus.Entry, reg metrics.Registry, onComplete func()) *weights {
	return &weights{cfg: cfg, self: spread.Node{Host: cfg.Control.Host, Domain: cfg.Control.Domain},
		node: node, pool: pool, log: log, counters: newWeightCounters(reg), chunks: newChunks(cfg.WeightMemory),
		up: newLinkPacer(cfg.LinkRate), down: newLinkPacer(cfg.LinkRate), loop: loop.New(), onComplete: onComplete,
		holdings: map[digest.Digest]*holding{}, holdingAdded: make(chan struct{}),
		sources: map[intent.SourceKind]*weightstore.Client{}, transfers: map[digest.Digest]*transfer{}}
}

func (w *weights) run(ctx context.Context) {
	w.ctx = ctx
	go w.loop.Every(ctx, scheduleInterval, w.scheduleAll)
	w.loop.Run(ctx)
}

// configure applies the versions of the fleet file in force. It stops the transfers of
// versions that are no longer wanted and keeps their chunks that a wanted version shares.
func (w *weights) configure(s *control.Snapshot) {
	f := s.Fleet()
	if f == nil {
		return
	}
	svc := f.ServiceOf(w.self.Host)
	if svc == nil || svc.Kind != intent.Engine {
		return
	}
	w.configureSources(f)
	w.nodes = participants(s, svc)
	w.wanted = target.LoadoutOf(svc)
	wanted := map[digest.Digest]bool{}
	for _, m := range w.wanted.Manifests() {
		wanted[m] = true
	}
	for id, t := range w.transfers {
		if !wanted[id] {
			t.stop()
			delete(w.transfers, id)
		}
	}
	for id := range wanted {
		w.start(id, svc.Spread)
	}
	if key := fmt.Sprint(w.nodes); key != w.nodesKey {
		w.nodesKey = key
		w.updateNodes()
	}
	w.discard()
}

func (w *weights) configureSources(f *intent.Fleet) {
	seen := map[intent.SourceKind]bool{}
	for _, src := range f.Sources {
		if seen[src.Kind] {
			continue // the first source of each kind is used
		}
		seen[src.Kind] = true
		if c := w.sources[src.Kind]; c == nil || c.Base() != src.URL {
			w.sources[src.Kind] = weightstore.New(src.URL)
		}
	}
	for k := range w.sources {
		if !seen[k] {
			delete(w.sources, k)
		}
	}
}

// participants returns the hosts of the service that are known members and not in state
// membership.Gone, that is, unlisted and without recent contact.
func participants(s *control.Snapshot, svc *intent.Service) []spread.Node {
	var out []spread.Node
	for _, h := range svc.Hosts {
		m, ok := s.Member(h.Name)
		if ok && m.State != membership.Gone {
			out = append(out, spread.Node{Host: h.Name, Domain: m.Domain})
		}
	}
	return out
}

func (w *weights) updateNodes() {
	for _, t := range w.transfers {
		if t.planner != nil {
			t.planner.SetReaders(w.readers(t))
			w.subscribe(t)
		}
	}
}

// readers assigns each chunk to the participating hosts that read it from a source.
func (w *weights) readers(t *transfer) *spread.Readers {
	return spread.Assign(t.id.String(), len(t.manifest.Chunks), w.nodes)
}

// discard frees chunks that belong to no wanted version.
func (w *weights) discard() {
	keep := map[digest.Digest]bool{}
	for id, t := range w.transfers {
		keep[id] = true
		if t.manifest == nil {
			return // this version, whose chunks are not known yet, may share chunks with those held
		}
		for _, d := range t.manifest.Chunks {
			keep[d] = true
		}
	}
	w.chunks.retain(keep)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.holdings {
		if w.transfers[id] == nil {
			delete(w.holdings, id)
		}
	}
}

func (w *weights) start(id digest.Digest, goal intent.Spread) {
	if w.transfers[id] != nil {
		return
	}
	ctx, stop := context.WithCancel(w.ctx)
	t := &transfer{ctx: ctx, stop: stop, id: id, subscriptions: map[string]context.CancelFunc{},
		fetches: map[spread.Fetch]context.CancelFunc{}}
	w.transfers[id] = t
	w.log.WithField("version", id.Short()).Info("Transfer started.")
	go w.fetchManifest(t, goal)
}

// begin starts fetching chunks once the manifest is known. It runs on the loop.
func (w *weights) begin(t *transfer, m *spread.Manifest, raw []byte, goal intent.Spread) {
	if t.ctx.Err() != nil {
		return
	}
	t.manifest = m
	w.discard()
	if err := w.chunks.put(t.id, raw); err != nil {
		w.fail(t, err)
		return
	}
	cfg := w.cfg.Spread
	cfg.Goal = goal
	t.planner = spread.NewPlanner(cfg, w.self, w.readers(t), w.sources[intent.Store] != nil,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	t.holding = newHolding(len(m.Chunks))
	for i, d := range m.Chunks {
		if w.chunks.get(d) != nil {
			t.planner.MarkHeld(i)
			t.holding.add(i)
		}
	}
	w.mu.Lock()
	w.holdings[t.id] = t.holding
	close(w.holdingAdded)
	w.holdingAdded = make(chan struct{})
	w.mu.Unlock()
	w.subscribe(t)
	w.schedule(t)
	if t.planner.Complete() {
		w.onComplete()
	}
}

func (w *weights) fail(t *transfer, err error) {
	if t.failed == nil {
		t.failed = err
		w.log.WithField("version", t.id.Short()).WithError(err).Error("Transfer aborted.")
	}
}

// progress returns how many chunks of the wanted versions are held here and how many
// chunks the wanted versions with a known manifest have in total. complete is true if all
// chunks of all wanted versions are held.
func (w *weights) progress() (have, want int, complete bool) {
	_ = w.loop.Call(func() {
		complete = len(w.transfers) > 0
		for _, t := range w.transfers {
			if t.planner == nil {
				complete = false
				continue
			}
			have += t.planner.Held()
			want += len(t.manifest.Chunks)
			complete = complete && t.planner.Complete()
		}
	})
	return have, want, complete
}

// manifests returns those manifests of the loadout that are known.
func (w *weights) manifests(l target.Loadout) map[digest.Digest]*spread.Manifest {
	out := map[digest.Digest]*spread.Manifest{}
	_ = w.loop.Call(func() {
		for _, id := range l.Manifests() {
			if t := w.transfers[id]; t != nil && t.manifest != nil {
				out[id] = t.manifest
			}
		}
	})
	return out
}

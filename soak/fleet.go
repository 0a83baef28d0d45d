// Package soak runs the real programs as processes of their own on loopback
// against stand-ins of the platform, injects faults from outside and checks the
// promises of the system from what callers and targets see.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Only     *regexp.Regexp // kinds of fault, by name; nil is all
	SkipOnceFaults    bool           // without the faults beside those that are drawn
	Duration time.Duration
	// Entries and Engines are how many of each are run; an agent runs beside each
	// engine. PlainTargets is how many plain targets there are.
	Entries, Engines, PlainTargets int
	// Bin is the folder of the programs, Dir where settings and logs go.
	Bin, Dir string
	Logf     func(format string, args ...any)
}

// Names of the fleet.
const (
	hostName      = "soak.example"
	model         = "model-a"
	pieces        = 8
	engineService = "chat"
	plainService  = "plain"
	grace         = 6 * time.Second
)

var domains = []string{"north", "south", "west"}

// Fleet is everything that a run starts.
type Fleet struct {
	cfg     Config
	rng     *rand.Rand
	store   *fake.Store
	origin  *fake.Origin
	runs    *fake.Runs
	entries []*Process
	agents  []*Process
	engines []*fake.Target
	plains  []*fake.Target
	links   []*Link // before the store, one for each entry
	ways    []*Link // before the targets
	record  record
	notes   *notes
	contact contact // with the store, of all

	publishing sync.Mutex   // one configuration or version is written after the other
	config     atomic.Int64 // newest configuration
	version    atomic.Int64 // newest version of the model

	mu       sync.Mutex
	troubled map[*fake.Target]time.Time // until when it, or the way to it, misbehaves
}

func rotatingKey(n int) string { return fmt.Sprintf("key-%d", n) }

// Ports of the programs lie below those that the kernel gives to connections, so
// that none is taken between the choice and the start.
const (
	firstPort = 12000
	portCount = 18000
)

// ports hands out addresses of loopback that nothing listens on, each once.
type ports struct{ next int }

// newPorts begins at a place of its own for each test process.
func newPorts() *ports { return &ports{next: os.Getpid() * 397 % portCount} }

func (p *ports) addr() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+p.next)
		p.next = (p.next + 1) % portCount
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("soak: no free port from %d on", firstPort)
}

// newFleet starts the stand-ins and the programs.
func newFleet(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), runs: fake.NewRuns(), notes: newNotes(),
		troubled: map[*fake.Target]time.Time{}}
	var err error
	if f.store, err = fake.NewStore(); err != nil {
		return nil, err
	}
	if f.origin, err = fake.NewOrigin(model, pieces); err != nil {
		return nil, err
	}
	f.version.Store(1)
	f.nextConfig()
	if err := f.startTargets(); err != nil {
		return nil, err
	}
	return f, f.startProcesses()
}

func (f *Fleet) startTargets() error {
	for i := range f.cfg.Engines + f.cfg.PlainTargets {
		var way *Link
		// Every other target starts again under its ID.
		cfg := fake.TargetConfig{Service: plainService, Domain: domains[i%len(domains)], KeepID: i%2 == 1}
		if i < f.cfg.Engines {
			cfg.Service, cfg.Model, cfg.Holds = engineService, model, 1
			cfg.RequireFencing = i%2 == 0
			cfg.LateFrom, cfg.LateTo = lateFrom, lateTo
		}
		var linkErr error
		cfg.Listed = func(own string) string {
			if way, linkErr = NewLink(own); linkErr != nil {
				return own
			}
			return way.Addr()
		}
		if i%2 == 0 { // before the others stands something that takes connections meanwhile
			cfg.Down = func(down bool) { way.SetDown(down) }
		}
		t, err := fake.NewTarget(cfg, f.store, f.runs, f.origin)
		if err != nil {
			return err
		}
		if linkErr != nil {
			return linkErr
		}
		f.ways = append(f.ways, way)
		if i < f.cfg.Engines {
			f.engines = append(f.engines, t)
		} else {
			f.plains = append(f.plains, t)
		}
	}
	return nil
}

func (f *Fleet) startProcesses() error {
	var seeds []string
	var nodes []fake.Node
	free := newPorts()
	for i := range f.cfg.Entries {
		n := fake.Node{Name: fmt.Sprintf("entry-%d", i), Domain: domains[i%len(domains)], Serves: []string{"front", "control"},
			Grace: grace, FirstStart: true}
		link, err := NewLink(f.store.Addr())
		if err != nil {
			return err
		}
		f.links = append(f.links, link)
		n.Store = link.Addr()
		for _, addr := range []*string{&n.Callers, &n.Ready, &n.Peers} {
			if *addr, err = free.addr(); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, n.Peers)
		}
		nodes = append(nodes, n)
	}
	for i, e := range f.engines {
		n := fake.Node{Name: fmt.Sprintf("agent-%d", i), Domain: domains[i%len(domains)], Serves: []string{"side"},
			Engine: e.Addr(), Service: engineService, Store: f.store.Addr(), Grace: grace, FirstStart: true}
		var err error
		if n.Peers, err = free.addr(); err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.Seeds = seeds
		if err := f.startProcess(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startProcess(n fake.Node) error {
	var p *Process
	if n.Engine == "" {
		p = NewProcess(n, f.cfg.Dir, filepath.Join(f.cfg.Bin, "springgate"), "gateway")
		f.entries = append(f.entries, p)
	} else {
		p = NewProcess(n, f.cfg.Dir, filepath.Join(f.cfg.Bin, "springgate-agent"), "sidecar")
		f.agents = append(f.agents, p)
	}
	return p.Start()
}

// close ends all processes by their ids, and the stand-ins.
func (f *Fleet) close() {
	for _, p := range append(f.entries, f.agents...) {
		p.Kill()
	}
	for _, l := range append(f.links, f.ways...) {
		l.Close()
	}
	for _, t := range append(f.engines, f.plains...) {
		t.Close()
	}
	f.store.Close()
	f.origin.Close()
}

// nextConfig publishes a configuration that allows the next rotating key only.
func (f *Fleet) nextConfig() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	n := int(f.config.Load()) + 1
	route := func(k kind, service string) fake.Route {
		return fake.Route{Name: k.name, Host: hostName, Prefix: k.path, Kind: k.name, Service: service, TimeoutMs: 3000,
			TargetLatencyMs: 500, GapTargetMs: 400, Attempts: 2, ResumeStreams: k.name == fake.KindStreaming}
	}
	cfg := fake.Config{Version: n,
		Routes: []fake.Route{route(kinds[0], plainService), route(kinds[1], plainService), route(kinds[2], engineService)},
		Services: []fake.Service{{Name: plainService, MaxConnections: 200}, {Name: "origin", MaxConnections: 48, Origin: f.origin.Addr(), Zone: domains[0]},
			{Name: engineService, MaxConnections: 200, Engine: &fake.Engine{Slots: 16, Stride: 5, StepMs: 1, ReadPerS: 100000,
				Models: []fake.EngineModel{{Name: model, WarmS: 0.1}}, Usual: map[string]int{"prompt": 100, "answer": 20}, Layers: 4, Chunks: pieces, ChunkBytes: 4096}}},
		Limits: map[string]int{"HeaderBytes": 8192, "BodyBytes": 1 << 20, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 30000},
		Teams:  []fake.Team{{Name: "lasting", ApiKeys: []string{lastingKey}}, {Name: "rotating", ApiKeys: []string{rotatingKey(n)}}}}
	f.notes.write(n, func() { f.store.Put(fake.KeyConfig, cfg) })
	f.logf("configuration %d written", n)
	f.config.Store(int64(n))
}

// nextVersion names a new version of the model.
func (f *Fleet) nextVersion() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	n := int(f.version.Add(1))
	f.store.Put(fake.KeyVersion(model), fake.Version{Model: model, Version: n})
	f.logf("version %d written", n)
}

// logf logs with the time since the start of the run.
func (f *Fleet) logf(format string, args ...any) {
	f.cfg.Logf("%7.3f s: %s", f.notes.now().Seconds(), fmt.Sprintf(format, args...))
}

// inTouch reports whether an entry could reach the store for touchFor.
func (f *Fleet) inTouch(p *Process) bool { return f.contact.lasts() && p.contact.lasts() }

// targets returns all targets, in the order of the ways to them.
func (f *Fleet) targets() []*fake.Target { return append(slices.Clone(f.engines), f.plains...) }

// troubleTarget notes that a target or the way to it misbehaves for a time.
func (f *Fleet) troubleTarget(t *fake.Target, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := time.Now().Add(d); until.After(f.troubled[t]) {
		f.troubled[t] = until
	}
}

// troubledSince reports whether one of the targets that ran a request
// misbehaved at a time or later, or crashed under another one.
func (f *Fleet) troubledSince(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, instance := range f.runs.Of(id) {
		if f.runs.Crashed(instance) {
			return true
		}
		for t, until := range f.troubled {
			if t.Owns(instance) && until.After(since) {
				return true
			}
		}
	}
	return false
}

// Result is what a run found.
type Result struct {
	Violations []Violation
	Mixed      []fake.MixedLoad
	Unserved   []string
	Attempts   int
	Served     int
	Faults     map[string]int
	UnexpectedExits   int // processes that ended by themselves, and were started again
	DifferingCopies  int // lines in which entries say that copies of the store differ
}

// Run runs the fleet under faults and judges it.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	f, err := newFleet(cfg)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if missing := f.awaitService(ctx); len(missing) > 0 {
		return nil, fmt.Errorf("soak: not serving after the start: %v", missing)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, e := range f.entries {
		for k := range callersPerEntry {
			c := newCaller(f, e, fmt.Sprintf("s%d-%d-%d", cfg.Seed, i, k), rand.New(rand.NewPCG(cfg.Seed, uint64(100+i*callersPerEntry+k))))
			load.Go(func() { c.run(loadCtx) })
		}
	}
	faults := f.breakThings(ctx)
	unserved := f.awaitService(ctx)
	stopLoad()
	load.Wait()
	r := &Result{Unserved: unserved, Faults: faults}
	for _, e := range f.engines {
		r.Mixed = append(r.Mixed, e.Mixed()...)
	}
	for _, p := range slices.Concat(f.entries, f.agents) {
		r.UnexpectedExits += p.UnexpectedExits()
	}
	if r.DifferingCopies, err = f.differing(); err != nil {
		return nil, err
	}
	attempts := f.record.attempts()
	r.Violations = Judge(attempts, f.notes.facts(f.runs))
	r.Attempts = len(attempts)
	for _, a := range attempts {
		if a.Status == 200 && !a.Truncated {
			r.Served++
		}
	}
	return r, nil
}

// differsLine is in the line of an entry that finds another's copy of the store not as
// its own.
const differsLine = "Copies of the store differ."

// differing counts these lines in the entries' logs.
func (f *Fleet) differing() (n int, err error) {
	for _, e := range f.entries {
		b, err := os.ReadFile(e.logPath())
		if err != nil {
			return 0, err
		}
		n += bytes.Count(b, []byte(differsLine))
	}
	return n, nil
}

// recoverWithin bounds how long the fleet may take until it serves again.
const recoverWithin = 30 * time.Second

// awaitService waits until each entry serves each kind of request and each
// engine has the newest version; it returns what is missing at the end.
func (f *Fleet) awaitService(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for round := 0; ; round++ {
		missing := f.missing(ctx, round)
		if len(missing) == 0 || ctx.Err() != nil {
			return missing
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) missing(ctx context.Context, round int) []string {
	var out []string
	for i, e := range f.entries {
		c := newCaller(f, e, fmt.Sprintf("probe%d-%d-%d", f.record.order.Load(), i, round), f.rng)
		for _, k := range kinds {
			if a := c.call(ctx, k, 0); a.Status != 200 || a.Truncated {
				out = append(out, fmt.Sprintf("%s at %s: status %d", k.name, e.node.Name, a.Status))
			}
		}
		c.client.CloseIdleConnections()
	}
	for _, e := range f.engines {
		if v := int64(e.Version()); v != f.version.Load() {
			out = append(out, fmt.Sprintf("engine %s has version %d", e.Addr(), v))
		}
	}
	return out
}

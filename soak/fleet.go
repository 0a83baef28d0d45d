// Package soak runs the real programs as separate processes on loopback against a fake
// platform, injects faults from outside and checks the system's invariants against what
// callers and targets observe.
//
// An incarnation of a process or target is its run from one start to the next. A target that
// is leaving still serves but is about to be removed; entries must send it no new requests. A
// plain target is one that is not an engine. Each configuration accepts the permanent API key
// and one rotating key, whose number is that of the configuration.
package soak

import (
	"bytes"
	"cmp"
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
	Seed           uint64
	Only           *regexp.Regexp // kinds of fault to inject, by name; nil means all
	SkipOnceFaults bool           // do not inject the onceFaults
	Duration       time.Duration
	// Entries and Engines are the number of each to run; an agent runs beside each engine.
	// PlainTargets is the number of targets that are not engines.
	Entries, Engines, PlainTargets int
	// Slots and StepMs describe the engines in the configuration; 0 means 16 and 1 ms. Entries let
	// in what engines of this kind can do; the fake ones do more.
	Slots  int
	StepMs float64
	// EventInterval is the time between two events of a target's streams; 0 means the default of the
	// fake targets.
	EventInterval time.Duration
	// Unframed makes the answers of targets end with their connections.
	Unframed bool
	// Grace is the time between the signal to stop and the kill in the processes' settings; 0 means
	// the time after which the fleet kills them. It is written in whole seconds.
	Grace time.Duration
	// RetryExtra is the part of the retry budgets that does not depend on the number of requests; 0
	// leaves the budgets unchecked.
	RetryExtra int
	// Bin is the directory of the programs, Dir the directory for settings and logs.
	Bin, Dir string
	Logf     func(format string, args ...any)
}

// Names and settings of the fleet.
const (
	hostName      = "soak.example"
	model         = "model-a"
	pieces        = 8
	engineService = "chat"
	plainService  = "plain"
	shutdownGrace = 6 * time.Second
)

// Limits of the fleet.
const (
	maxBody       = 1 << 20   // bytes of a request's body
	hostMemory    = 256 << 20 // bytes
	defaultSlots  = 16
	defaultStepMs = 1
)

var domains = []string{"north", "south", "west"}

// Fleet is everything that a run starts.
type Fleet struct {
	cfg          Config
	rng          *rand.Rand
	store        *fake.Store
	origin       *fake.Origin
	requestLog   *fake.RequestLog
	entries      []*Process
	agents       []*Process
	engines      []*fake.Target
	plainTargets []*fake.Target
	storeLinks   []*Link // in front of the store, one for each entry
	targetLinks  []*Link // in front of the targets
	attemptLog   attemptLog
	recorder     *factRecorder
	reachability reachability // of the store, for all processes

	firstRevision int64 // of the store, when the processes start

	publishing    sync.Mutex   // serializes writes of configurations and versions
	latestConfig  atomic.Int64 // number of the latest configuration
	latestVersion atomic.Int64 // latest version of the model

	mu           sync.Mutex
	targetFaults map[*fake.Target][]timeSpan // when the target or the link to it may misbehave
}

func rotatingKey(n int) string { return fmt.Sprintf("key-%d", n) }

// The programs' ports lie below the kernel's ephemeral ports, so that no outgoing
// connection takes a port after it was selected and before the program that listens on it
// starts.
const (
	firstPort = 12000
	portCount = 18000
)

// ports allocates unused loopback addresses, each once.
type ports struct{ next int }

// newPorts starts at an offset that depends on the process ID, so that concurrent test
// processes try different ports.
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
	return "", fmt.Errorf("soak: no free port at or above %d", firstPort)
}

// newFleet starts the fake platform, the targets and the programs.
func newFleet(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), requestLog: fake.NewRequestLog(), recorder: newFactRecorder(),
		targetFaults: map[*fake.Target][]timeSpan{}}
	var err error
	if f.store, err = fake.NewStore(); err != nil {
		return nil, err
	}
	if f.origin, err = fake.NewOrigin(model, pieces); err != nil {
		return nil, err
	}
	f.latestVersion.Store(1)
	f.nextConfig()
	if err := f.startTargets(); err != nil {
		return nil, err
	}
	f.firstRevision = f.store.Revision()
	return f, f.startProcesses()
}

func (f *Fleet) startTargets() error {
	restartsOften := len(named(f.cfg.Only, weightFaults)) > 0
	for i := range f.cfg.Engines + f.cfg.PlainTargets {
		var link *Link
		// Every other target keeps its ID when it restarts.
		cfg := fake.TargetConfig{Service: plainService, Domain: domains[i%len(domains)], KeepID: i%2 == 1, Unframed: f.cfg.Unframed, EventInterval: f.cfg.EventInterval}
		if i < f.cfg.Engines {
			cfg.Service, cfg.Model, cfg.InitialVersion = engineService, model, 1
			// Orders that are on their way while an engine restarts name its incarnation by its ID.
			cfg.KeepID = cfg.KeepID && !restartsOften
			cfg.RequireFencing = i%2 == 0
			cfg.MinOrderDelay, cfg.MaxOrderDelay = lateOrderMin, lateOrderMax
		}
		var linkErr error
		cfg.AdvertisedAddr = func(own string) string {
			if link, linkErr = NewLink(own); linkErr != nil {
				return own
			}
			return link.Addr()
		}
		// The links to the other targets accept connections while the target is down. A link that listens
		// again and again would lose its port to an outgoing connection at some time.
		if i%2 == 0 && !restartsOften {
			cfg.OnDown = func(down bool) { link.SetDown(down) }
		}
		t, err := fake.NewTarget(cfg, f.store, f.requestLog, f.origin)
		if err != nil {
			return err
		}
		if linkErr != nil {
			return linkErr
		}
		f.targetLinks = append(f.targetLinks, link)
		if i < f.cfg.Engines {
			f.engines = append(f.engines, t)
		} else {
			f.plainTargets = append(f.plainTargets, t)
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
			Grace: cmp.Or(f.cfg.Grace, shutdownGrace), FirstStart: true, RetryExtra: f.cfg.RetryExtra}
		link, err := NewLink(f.store.Addr())
		if err != nil {
			return err
		}
		f.storeLinks = append(f.storeLinks, link)
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
			Engine: e.Addr(), Service: engineService, Store: f.store.Addr(), Grace: shutdownGrace, FirstStart: true}
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

// close kills all processes, each by its process ID, and closes the links, the targets and
// the fake platform.
func (f *Fleet) close() {
	for _, p := range append(f.entries, f.agents...) {
		p.Kill()
	}
	for _, l := range append(f.storeLinks, f.targetLinks...) {
		l.Close()
	}
	for _, t := range append(f.engines, f.plainTargets...) {
		t.Close()
	}
	f.store.Close()
	f.origin.Close()
}

// nextConfig publishes a configuration that accepts only the next rotating key, besides
// the permanent one.
func (f *Fleet) nextConfig() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	n := int(f.latestConfig.Load()) + 1
	route := func(k kind, service string) fake.Route {
		return fake.Route{Name: k.name, Host: hostName, Prefix: k.path, Kind: k.name, Service: service, TimeoutMs: 3000,
			TargetLatencyMs: 500, GapTargetMs: 400, Attempts: 2, ResumeStreams: k.name == fake.KindStreaming}
	}
	cfg := fake.Config{Version: n,
		Routes: []fake.Route{route(kinds[0], plainService), route(kinds[1], plainService), route(kinds[2], engineService)},
		Services: []fake.Service{{Name: plainService, MaxConnections: 200}, {Name: "origin", MaxConnections: 48, Origin: f.origin.Addr(), Zone: domains[0]},
			{Name: engineService, MaxConnections: 200, Engine: &fake.Engine{Slots: cmp.Or(f.cfg.Slots, defaultSlots), Stride: 5, StepMs: cmp.Or(f.cfg.StepMs, defaultStepMs), ReadPerS: 100000,
				Models: []fake.EngineModel{{Name: model, WarmS: 0.1}}, Usual: map[string]int{"prompt": 100, "answer": 20}, Layers: 4, Chunks: pieces, ChunkBytes: 4096}}},
		Limits: map[string]int{"HeaderBytes": 8192, "BodyBytes": maxBody, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 30000},
		Teams: []fake.Team{{Name: lastingTeam, ApiKeys: []string{permanentKey}}, {Name: rotatingTeam, ApiKeys: []string{rotatingKey(n)}},
			{Name: "bulk", ApiKeys: []string{bulkKey}}}}
	f.recorder.recordWrite(n, func() {
		f.store.Put(fake.KeyConfig, cfg)
		f.store.AwaitAvailable()
	})
	f.logf("configuration %d written", n)
	f.latestConfig.Store(int64(n))
}

// nextVersion publishes a new version of the model.
func (f *Fleet) nextVersion() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	n := int(f.latestVersion.Add(1))
	f.store.Put(fake.KeyVersion(model), fake.Version{Model: model, Version: n})
	f.logf("version %d written", n)
}

// logf logs with the time since the start of the run.
func (f *Fleet) logf(format string, args ...any) {
	f.cfg.Logf("%7.3f s: %s", f.recorder.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// storeReachable reports whether an entry has been able to reach the store for
// storeReachableWindow.
func (f *Fleet) storeReachable(p *Process) bool {
	return f.reachability.reachable() && p.reachability.reachable()
}

// targets returns all targets, in the order of targetLinks.
func (f *Fleet) targets() []*fake.Target { return append(slices.Clone(f.engines), f.plainTargets...) }

// timeSpan is a period of time.
type timeSpan struct{ from, until time.Time }

// markTargetFaulty records that a target or the link to it may misbehave for d.
func (f *Fleet) markTargetFaulty(t *fake.Target, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.targetFaults[t] = append(f.targetFaults[t], timeSpan{now, now.Add(d)})
}

// targetFaulty reports whether a target was faulty between two times.
func (f *Fleet) targetFaulty(t *fake.Target, from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.targetFaults[t], func(s timeSpan) bool { return s.from.Before(until) && s.until.After(from) })
}

// anyFaulty reports whether one of the target incarnations was faulty between two times, or
// has crashed while running any request.
func (f *Fleet) anyFaulty(incarnations []string, from, until time.Time) bool {
	for _, incarnation := range incarnations {
		if f.requestLog.Crashed(incarnation) {
			return true
		}
		for _, t := range f.targets() {
			if t.Owns(incarnation) && f.targetFaulty(t, from, until) {
				return true
			}
		}
	}
	return false
}

// markDisturbed clears Undisturbed of the attempts that reached a faulty target. It is called
// after the run, since a request may still reach a target after its attempt has ended.
func (f *Fleet) markDisturbed(attempts []Attempt) {
	reached, start := f.requestLog.Reached(), f.recorder.start
	for i, a := range attempts {
		attempts[i].Undisturbed = a.Undisturbed && !f.anyFaulty(reached[a.ID], start.Add(a.Sent), start.Add(a.Answered))
	}
}

// Result is the outcome of a run.
type Result struct {
	Violations      []Violation
	BadLoads        []fake.BadLoad // engine loads that started without all pieces of their version
	Unserved        []string       // what entries did not serve and engines had not loaded within recoveryTimeout after the faults
	Attempts        int
	Served          int              // attempts with a complete response of status 200
	Faults          map[string]int   // number of faults drawn, by name
	UnexpectedExits int              // process exits that the run did not cause; the processes were restarted
	DifferingCopies int              // log lines in which entries report copiesDifferMessage
	OverMemory      []string         // processes that held more memory than their host has
	ByTeam          map[string]tally // streaming attempts while the bulk team sent
}

// Run runs a fleet under load and faults and checks the invariants.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	f, err := newFleet(cfg)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if missing := f.awaitService(ctx); len(missing) > 0 {
		return nil, fmt.Errorf("soak: not serving after start-up: %v", missing)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, e := range f.entries {
		for k := range callersPerEntry {
			c := newCaller(f, e, fmt.Sprintf("s%d-%d-%d", cfg.Seed, i, k), rand.New(rand.NewPCG(cfg.Seed, uint64(100+i*callersPerEntry+k))))
			load.Go(func() { c.sendRequests(loadCtx) })
		}
	}
	faults := f.injectFaults(ctx)
	unserved := f.awaitService(ctx)
	stopLoad()
	load.Wait()
	r := &Result{Unserved: unserved, Faults: faults}
	for _, e := range f.engines {
		r.BadLoads = append(r.BadLoads, e.BadLoads()...)
	}
	for _, p := range slices.Concat(f.entries, f.agents) {
		r.UnexpectedExits += p.UnexpectedExits()
	}
	if r.DifferingCopies, err = f.countDifferingCopies(); err != nil {
		return nil, err
	}
	if r.OverMemory, err = f.overMemory(); err != nil {
		return nil, err
	}
	attempts := f.attemptLog.attempts()
	r.ByTeam = tallyByTeam(attempts, f.recorder.bulk)
	f.markDisturbed(attempts)
	r.Violations = Judge(attempts, f.recorder.facts(f.requestLog))
	if cfg.RetryExtra > 0 {
		r.Violations = append(r.Violations, overRetryBudget(attempts, f.recorder.facts(f.requestLog), cfg.RetryExtra)...)
	}
	r.Attempts = len(attempts)
	for _, a := range attempts {
		if a.Status == 200 && !a.Truncated {
			r.Served++
		}
	}
	return r, nil
}

// copiesDifferMessage is logged by an entry when another entry's copy of the store differs
// from its own.
const copiesDifferMessage = "Copies of the store differ."

// countDifferingCopies counts copiesDifferMessage in the entries' logs.
func (f *Fleet) countDifferingCopies() (n int, err error) {
	for _, e := range f.entries {
		b, err := os.ReadFile(e.logPath())
		if err != nil {
			return 0, err
		}
		n += bytes.Count(b, []byte(copiesDifferMessage))
	}
	return n, nil
}

// recoveryTimeout limits how long the fleet may take until it serves all kinds of request,
// after its start and after the faults.
const recoveryTimeout = 30 * time.Second

// awaitService waits until each entry serves each kind of request and each engine has the
// latest version. It returns what was missing at the last check.
func (f *Fleet) awaitService(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
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
		c := newCaller(f, e, fmt.Sprintf("probe%d-%d-%d", f.attemptLog.sequence.Load(), i, round), f.rng)
		for _, k := range kinds {
			if a := c.call(ctx, k, 0); a.Status != 200 || a.Truncated {
				out = append(out, fmt.Sprintf("%s at %s: status %d", k.name, e.node.Name, a.Status))
			}
		}
		c.client.CloseIdleConnections()
	}
	for _, e := range f.engines {
		if v := int64(e.Version()); v != f.latestVersion.Load() {
			out = append(out, fmt.Sprintf("engine %s has version %d", e.Addr(), v))
		}
	}
	return out
}

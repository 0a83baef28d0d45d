// Package demo demonstrates the system in one process on loopback, with embedded stand-ins for
// the platform and the targets: it rolls out a new version to all hosts while live requests are
// being served, and measures both. A loadout is what an engine serves: a model version with its
// adapters. A replica is an engine that serves a given loadout.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/agent"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/entry"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/standin"
)

// Config holds the settings of a demonstration.
type Config struct {
	Hosts    int
	Entries  int
	Size     int64
	Spread   string
	Faults   bool
	Seed     uint64
	Duration time.Duration
	JSON     bool
	Live     bool // redraw one progress line instead of printing new ones
	// Fleet replaces the default fleet if set. Its hosts, teams and limits are used, with
	// the versions and sources of the stand-ins; Hosts and Spread are ignored.
	Fleet *intent.Fleet
}

// Parameters of the demonstration.
const (
	chunksPerVersion = 256
	// linkWindowShare is the length of the link window as a fraction of Config.Duration. In
	// one link window the origin's link can carry originCopies copies of a version and each
	// host's link hostCopies copies.
	linkWindowShare = 0.4
	originCopies    = 4
	hostCopies      = 2

	keyWindow = 4 * time.Second
	clockSkew = 50 * time.Millisecond
	loadTime  = 150 * time.Millisecond
	// baselineTime is how long live requests are measured before the second version is published.
	baselineTime = 5 * time.Second
	loopback     = "127.0.0.1:0"
)

// host is one host of the fleet with its target and agent.
type host struct {
	name   string
	domain string
	engine *standin.Engine // nil for a plain service
	url    string
	agent  *agent.Agent
	stop   context.CancelFunc
}

// fleet holds the stand-ins and the processes of the demonstration.
type fleet struct {
	cfg      Config
	log      *logrus.Logger
	platform *standin.Platform
	origin   *standin.Source
	runs     *standin.Runs
	hosts    []*host
	entries  []*entry.Entry
	names    []string // host names of the entries
	versions map[digest.Digest]*spread.Manifest
	// linkWindow is the time in which the origin's link can carry originCopies copies of a
	// version and each host's link hostCopies copies.
	linkWindow time.Duration
	layout     layout
}

// hostRate returns the rate of a host's link in bytes per second.
func (f *fleet) hostRate() float64 { return hostCopies * float64(f.cfg.Size) / f.linkWindow.Seconds() }

// lowerBound returns the minimum time in which the rate-limited links can distribute a version
// to the n hosts: no host receives faster than its link allows, the origin sends at least one copy,
// and all links together carry n copies.
func (f *fleet) lowerBound() time.Duration {
	size, n := float64(f.cfg.Size), float64(f.cfg.Hosts)
	host, origin := f.hostRate(), originCopies*float64(f.cfg.Size)/f.linkWindow.Seconds()
	s := max(size/min(host, origin), size/origin, n*size/(origin+n*host))
	return time.Duration(s * float64(time.Second))
}

// Run runs the demonstration and writes its progress and results to out.
func Run(ctx context.Context, cfg Config, log *logrus.Logger, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := newLayout(cfg)
	if err != nil {
		return err
	}
	cfg.Hosts = l.engines
	f := &fleet{cfg: cfg, layout: l, log: log, runs: standin.NewRuns(), versions: map[digest.Digest]*spread.Manifest{},
		linkWindow: time.Duration(float64(cfg.Duration) * linkWindowShare)}
	if err := f.start(ctx); err != nil {
		return err
	}
	defer f.close()
	p := &progress{out: out, fleet: f, live: cfg.Live}
	if err := f.addAdapters(); err != nil {
		return err
	}
	first, err := f.addVersion("v1", cfg.Seed)
	if err != nil {
		return err
	}
	second, err := f.addVersion("v2", cfg.Seed+1)
	if err != nil {
		return err
	}
	p.printf("%d engine hosts, %d plain hosts, %d entries; version of %d bytes; link window %s",
		cfg.Hosts, len(f.hosts)-cfg.Hosts, cfg.Entries, cfg.Size, f.linkWindow.Round(time.Millisecond))
	f.platform.Publish(f.layout.file(first, f.origin.URL()))
	if _, err := f.awaitReplicas(ctx, p, f.layout.loadout(first), cfg.Duration); err != nil {
		return err
	}
	return f.measure(ctx, p, second)
}

// measure sends live requests, publishes the second version while they are being served, and
// prints the results.
func (f *fleet) measure(ctx context.Context, p *progress, second digest.Digest) error {
	load := newLoad(f)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go load.run(loadCtx)
	p.load = load
	p.printf("All hosts serve version 1. Measuring for %s.", baselineTime)
	p.wait(ctx, baselineTime)

	load.setPhase(during)
	servedBefore := f.origin.BytesServed()
	start := time.Now()
	revision := f.platform.Publish(f.layout.file(second, f.origin.URL()))
	p.printf("Revision %d with version 2 published.", revision)
	inForce := make(chan time.Duration, 1)
	go func() { inForce <- f.awaitRevision(ctx, revision, start) }()
	if f.cfg.Faults {
		go f.injectFaults(ctx, p)
	}
	took, err := f.awaitReplicas(ctx, p, f.layout.loadout(second), f.cfg.Duration)
	if err != nil {
		return err
	}
	r := f.newResult(took, f.origin.BytesServed()-servedBefore)
	select {
	case d := <-inForce:
		r.ConfigInForce = d.Seconds()
	case <-time.After(f.cfg.Duration):
		return errors.New("demo: timed out waiting for the revision to be in force in all processes")
	}
	stopLoad()
	load.wait()
	load.evaluate(r)
	return p.report(r)
}

func (f *fleet) start(ctx context.Context) error {
	var err error
	if f.platform, err = standin.NewPlatform(loopback); err != nil {
		return err
	}
	if f.origin, err = standin.NewSource(loopback, originCopies*float64(f.cfg.Size)/f.linkWindow.Seconds()); err != nil {
		return err
	}
	for _, spec := range f.layout.hosts {
		h, err := f.startTarget(spec)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		if err := f.startAgent(ctx, h); err != nil {
			return err
		}
	}
	for i := range f.cfg.Entries {
		if err := f.startEntry(ctx, i); err != nil {
			return err
		}
	}
	f.publishHosts()
	return nil
}

func (f *fleet) startTarget(spec hostSpec) (*host, error) {
	h := &host{name: spec.Name, domain: spec.Domain}
	if !spec.engine {
		p, err := standin.NewPlain(loopback, standin.PlainConfig{Latency: 5 * time.Millisecond}, f.runs)
		if err != nil {
			return nil, err
		}
		h.url = p.URL()
		return h, nil
	}
	cfg := standin.EngineConfig{FirstToken: 60 * time.Millisecond, NextToken: 10 * time.Millisecond, Tokens: 16,
		Slots: 8, LoadTime: loadTime, Fenced: spec.fenced}
	e, err := standin.NewEngine(loopback, cfg, f.runs, func(d digest.Digest) *spread.Manifest { return f.versions[d] })
	if err != nil {
		return nil, err
	}
	h.engine, h.url = e, e.URL()
	return h, nil
}

func (f *fleet) control(name, domain, addr string) control.Config {
	return control.Config{Host: name, Domain: domain, Addr: addr}
}

func (f *fleet) clients() (*configservice.Client, *hostlist.Client) {
	return configservice.New(f.platform.URL()), hostlist.New(f.platform.URL())
}

func (f *fleet) startAgent(ctx context.Context, h *host) error {
	cs, hl := f.clients()
	cfg := agent.Config{Control: f.control(h.name, h.domain, loopback), TargetURL: h.url,
		LinkRate: f.hostRate(), WeightMemory: 2*f.cfg.Size + 1<<20,
		Idempotency: idempotency.Config{KeyWindow: keyWindow, ClockSkew: clockSkew}}
	a, err := agent.New(cfg, cs, hl, f.log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	h.agent, h.stop = a, stop
	go a.Run(ctx)
	return nil
}

func (f *fleet) startEntry(ctx context.Context, i int) error {
	cs, hl := f.clients()
	name := fmt.Sprintf("entry-%d", i)
	cfg := entry.Config{Control: f.control(name, f.layout.domain(i), loopback), Listen: loopback}
	e, err := entry.New(cfg, cs, hl, f.log)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	f.names = append(f.names, name)
	go e.Run(ctx)
	return nil
}

func (f *fleet) publishHosts() {
	var list []hostlist.Host
	for _, h := range f.hosts {
		list = append(list, hostlist.Host{Host: h.name, Addr: h.agent.Addr(), Domain: h.domain, Role: string(membership.Agent)})
	}
	for i, e := range f.entries {
		list = append(list, hostlist.Host{Host: f.names[i], Addr: e.Addr(), Domain: f.layout.domain(i), Role: string(membership.Entry)})
	}
	f.platform.SetHosts(list)
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.stop()
	}
	f.platform.Close()
	f.origin.Close()
}

// addAdapters adds generated content to the origin for the adapters of the fleet.
func (f *fleet) addAdapters() error {
	for i := range f.layout.fleet.Services {
		svc := &f.layout.fleet.Services[i]
		for k := range svc.Adapters {
			id, m, err := f.origin.Add(svc.Adapters[k].Name, adapterSize/adapterChunks, standin.Content(adapterSize, uint64(k+100)))
			if err != nil {
				return err
			}
			svc.Adapters[k].Manifest = id
			f.versions[id] = m
		}
	}
	return nil
}

// addVersion adds a version with content generated from seed to the origin and returns the
// digest of its manifest.
func (f *fleet) addVersion(name string, seed uint64) (digest.Digest, error) {
	size := int(f.cfg.Size)
	chunk := (size + chunksPerVersion - 1) / chunksPerVersion
	id, m, err := f.origin.Add(name, chunk, standin.Content(size, seed))
	f.versions[id] = m
	return id, err
}

// replicas returns the number of engines that serve a loadout. It asks the stand-in engines
// directly, not the system under demonstration.
func (f *fleet) replicas(loadout string) int {
	n := 0
	for _, h := range f.hosts[:f.cfg.Hosts] {
		if h.engine.Loadout() == loadout {
			n++
		}
	}
	return n
}

package main

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/platform/fake"
)

// Names and sizes of the fleet. The timing is that of the small deployments.
const (
	hostName     = "review.example"
	model        = "model-r"
	apiKey       = "key-r"
	chatService  = "chat"
	plainService = "plain"
	chatPath     = "/stream/"
	// The stand-ins answer with a stream what is below chatPath.
	plainStreamPath = "/stream/plain/"
	routeTimeout    = 6 * time.Second
	grace           = 8 * time.Second
	contact         = 3 * time.Second  // ContactMs of the small deployments
	recovery        = 12 * time.Second // RecoveryS
)

var domains = []string{"hall-a", "hall-b", "hall-c"}

// sizes are the numbers of processes and targets of a fleet.
type sizes struct {
	entries, engines, plain, pieces int
}

// fleet is the stand-ins of the platform and the project's own processes.
type fleet struct {
	rec      *record
	dir, bin string
	size     sizes
	store    *fake.Store
	origin   *fake.Origin
	proxy    *originProxy
	log      *fake.RequestLog
	engines  []*engine
	plain    []*fake.Target // without a model
	padded   []*padded      // their addresses
	entries  []*process
	agents   []*process
	config   int
	// plainKind is the kind of the route to the plain targets; streaming if it is empty.
	plainKind string
}

// engine is a model engine at a fixed address, which outlasts a loss of power.
type engine struct {
	gate   *gate
	target *fake.Target
	domain string
}

func newFleet(rec *record, bin string, size sizes) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, bin: bin, size: size, log: fake.NewRequestLog()}
	if f.store, err = fake.NewStore(); err != nil {
		return nil, err
	}
	if f.origin, err = fake.NewOrigin(model, size.pieces); err != nil {
		return nil, err
	}
	if f.proxy, err = newOriginProxy(rec, f.origin.Addr()); err != nil {
		return nil, err
	}
	return f, nil
}

// startTargets starts the engines, which hold version 1, and the plain targets.
func (f *fleet) startTargets() error {
	for i := range f.size.engines {
		g, err := newGate()
		if err != nil {
			return err
		}
		e := &engine{gate: g, domain: domains[i%len(domains)]}
		if err := f.startEngine(e, 1); err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	for i := range f.size.plain {
		p, err := newPadded(f.rec)
		if err != nil {
			return err
		}
		f.padded = append(f.padded, p)
		t, err := fake.NewTarget(fake.TargetConfig{Service: plainService, Domain: domains[i%len(domains)],
			AdvertisedAddr: func(own string) string { p.point(own); return p.addr() }}, f.store, f.log, nil)
		if err != nil {
			return err
		}
		f.plain = append(f.plain, t)
	}
	return nil
}

// startEngine starts an engine's process; version is what it holds, 0 for nothing.
func (f *fleet) startEngine(e *engine, version int) error {
	cfg := fake.TargetConfig{Service: chatService, Domain: e.domain, Model: model, InitialVersion: version,
		AdvertisedAddr: func(own string) string { e.gate.point(own); return e.gate.addr() }}
	t, err := fake.NewTarget(cfg, f.store, f.log, f.origin)
	if err != nil {
		return err
	}
	if e.target != nil {
		t.Restart() // gives the new incarnation an ID of its own
	}
	e.target = t
	return nil
}

// cutPower ends an engine's process with its connections and all that is staged on its machine. Its
// entry stays in the store, as it does until its heartbeats are missed.
func (e *engine) cutPower() {
	e.gate.point("")
	e.target.Close()
}

// writeConfig writes a new version of the configuration.
func (f *fleet) writeConfig() {
	f.config += 3
	route := func(name, kind, path, service string) fake.Route {
		return fake.Route{Name: name, Host: hostName, Prefix: path, Kind: kind, Service: service, TimeoutMs: int(routeTimeout.Milliseconds()),
			TargetLatencyMs: 500, GapTargetMs: 400, Attempts: 2, ResumeStreams: kind == fake.KindStreaming}
	}
	f.store.Put(fake.KeyConfig, fake.Config{Version: f.config,
		Routes: []fake.Route{route("chat", fake.KindStreaming, chatPath, chatService), route("plain", cmp.Or(f.plainKind, fake.KindStreaming), plainStreamPath, plainService)},
		Services: []fake.Service{{Name: plainService, MaxConnections: 110}, {Name: "origin", MaxConnections: 48, Origin: f.proxy.addr(), Zone: domains[0]},
			{Name: chatService, MaxConnections: 374, Engine: &fake.Engine{Slots: 16, Stride: 5, StepMs: 1, ReadPerS: 19100,
				Models: []fake.EngineModel{{Name: model, WarmS: 0.3}}, Usual: map[string]int{"prompt": 100, "answer": 40}, Layers: 4, Chunks: f.size.pieces, ChunkBytes: 4096}}},
		Limits: map[string]int{"HeaderBytes": 16384, "BodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Teams:  []fake.Team{{Name: "team-r", ApiKeys: []string{apiKey}}}})
	f.rec.logf("operator: configuration %d acknowledged", f.config)
}

// declareVersion declares a version of the model's weights.
func (f *fleet) declareVersion(n int) {
	f.store.Put(fake.KeyVersion(model), fake.Version{Model: model, Version: n})
	f.rec.logf("operator: version %d of the weights acknowledged", n)
}

// prepareProcesses lays out the settings of all processes.
func (f *fleet) prepareProcesses() error {
	ports := newPorts()
	var seeds []string
	var nodes []fake.Node
	for i := range f.size.entries {
		n := fake.Node{Name: fmt.Sprintf("front-%d", i), Domain: domains[i%len(domains)], Serves: []string{"front", "control"}, Store: f.store.Addr(), Grace: grace, RetryExtra: 106}
		for _, addr := range []*string{&n.Callers, &n.Ready, &n.Peers} {
			var err error
			if *addr, err = ports.next(); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, n.Peers)
		}
		nodes = append(nodes, n)
	}
	for i, e := range f.engines {
		n := fake.Node{Name: fmt.Sprintf("side-%d", i), Domain: e.domain, Serves: []string{"side"}, Engine: e.gate.addr(), Service: chatService,
			Store: f.store.Addr(), Grace: grace, RetryExtra: 106}
		var err error
		if n.Peers, err = ports.next(); err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.Seeds = seeds
		admin, err := ports.next()
		if err != nil {
			return err
		}
		p := &process{node: n, dir: f.dir}
		if n.Engine == "" {
			p.args = []string{filepath.Join(f.bin, "springgate"), "gateway", "--admin-listen", admin}
			f.entries = append(f.entries, p)
		} else {
			p.args = []string{filepath.Join(f.bin, "springgate-agent"), "sidecar", "--admin-listen", admin}
			f.agents = append(f.agents, p)
		}
	}
	return nil
}

func (f *fleet) processes() []*process {
	return append(append([]*process(nil), f.entries...), f.agents...)
}

// startProcesses starts all processes; first is set if the whole system starts for the first time.
func (f *fleet) startProcesses(first bool) error {
	for _, p := range f.processes() {
		p.node.FirstStart = first
		if err := p.start(); err != nil {
			return err
		}
	}
	f.rec.logf("platform: %d processes started", len(f.processes()))
	return nil
}

func (f *fleet) killProcesses() {
	for _, p := range f.processes() {
		p.kill()
	}
}

// close ends everything that the fleet has started.
func (f *fleet) close() {
	f.killProcesses()
	for _, e := range f.engines {
		e.gate.close()
		e.target.Close()
	}
	for i, t := range f.plain {
		f.padded[i].close()
		t.Close()
	}
	f.proxy.close()
	f.origin.Close()
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept:", f.dir)
	}
}

// process is one of the project's own programs.
type process struct {
	node   fake.Node
	dir    string
	args   []string
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.dir, p.node.Name+".toml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, p.node.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process, by its ID, and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-p.exited
	p.cmd = nil
}

// reload changes the settings file and tells the process: the seeds come in another order.
func (p *process) reload() error {
	p.mu.Lock()
	seeds := p.node.Seeds
	p.node.Seeds = append(append([]string(nil), seeds[1:]...), seeds[0])
	err := os.WriteFile(filepath.Join(p.dir, p.node.Name+".toml"), []byte(p.settings()), 0o600)
	p.mu.Unlock()
	if err == nil {
		p.signal(syscall.SIGHUP)
	}
	return err
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// ports hands out free loopback addresses below the kernel's ephemeral ports, each once.
type ports struct{ port int }

func newPorts() *ports { return &ports{10000 + os.Getpid()*397%20000} }

func (p *ports) next() (string, error) {
	for range 20000 {
		p.port = 10000 + (p.port-10000+1)%20000
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.port))
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

// settings returns the settings file of the process.
func (p *process) settings() string {
	return memoryLine.ReplaceAllString(p.node.Settings(), fmt.Sprintf("MemoryMb = %d", memoryMb))
}

// memoryMb is what a process of an entry's machine may hold in the small deployment.
const memoryMb = 284

var memoryLine = regexp.MustCompile(`MemoryMb = \d+`)

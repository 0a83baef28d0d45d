package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"github.com/springgate/springgate/soak"
)

// Sizes and names of the fleet: five entries and some engines in three failure domains.
const (
	entries       = 5
	engines       = 4
	plainTargets  = 2
	pieces        = 8
	pieceBytes    = 4096
	hostName      = "cases.example"
	model         = "model-a"
	engineService = "chat"
	plainService  = "plain"
	lastingKey    = "key-lasting"
	grace         = 8 * time.Second
	startTimeout  = 20 * time.Second
)

var domains = []string{"north", "south", "west"}

// fleet is everything that a case starts.
type fleet struct {
	record     *record
	store      *fake.Store
	origin     *fake.Origin
	requestLog *fake.RequestLog
	engines    []*fake.Target
	entries    []*entry
	processes  []*soak.Process
	dir        string
	nextPort   int
}

// entry is one process of the entry role.
type entry struct {
	name, callers string
	process       *soak.Process
}

// startPlatform starts the stand-ins of the platform.
func startPlatform(rec *record) (*fleet, error) {
	f := &fleet{record: rec, requestLog: fake.NewRequestLog(), nextPort: 21000 + os.Getpid()*37%5000}
	var err error
	if f.dir, err = os.MkdirTemp("", "cases2-"); err != nil {
		return nil, err
	}
	if f.store, err = fake.NewStore(); err != nil {
		return nil, err
	}
	if f.origin, err = fake.NewOrigin(model, pieces); err != nil {
		return nil, err
	}
	return f, nil
}

// startTargets starts the engines and the plain targets, which register in the store.
func (f *fleet) startTargets() error {
	for i := range engines + plainTargets {
		cfg := fake.TargetConfig{Service: plainService, Domain: domains[i%len(domains)]}
		if i < engines {
			cfg.Service, cfg.Model, cfg.InitialVersion, cfg.RequireFencing = engineService, model, 1, true
		}
		t, err := fake.NewTarget(cfg, f.store, f.requestLog, f.origin)
		if err != nil {
			return err
		}
		if i < engines {
			f.engines = append(f.engines, t)
		}
	}
	return nil
}

// startProcesses starts the programs with the commands of the deploy file.
func (f *fleet) startProcesses() error {
	var nodes []fake.Node
	var seeds []string
	for i := range entries {
		n := fake.Node{Name: fmt.Sprintf("entry-%d", i), Domain: domains[i%len(domains)], Serves: []string{"front", "control"},
			Callers: f.freeAddr(), Ready: f.freeAddr(), Peers: f.freeAddr()}
		if len(seeds) < 3 {
			seeds = append(seeds, n.Peers)
		}
		nodes = append(nodes, n)
	}
	for i, e := range f.engines {
		nodes = append(nodes, fake.Node{Name: fmt.Sprintf("agent-%d", i), Domain: domains[i%len(domains)], Serves: []string{"side"},
			Engine: e.Addr(), Service: engineService, Peers: f.freeAddr()})
	}
	for _, n := range nodes {
		n.Seeds, n.Store, n.Grace, n.FirstStart = seeds, f.store.Addr(), grace, true
		args := []string{"target/springgate-agent", "sidecar", "--admin-listen", f.freeAddr()}
		if n.Engine == "" {
			args[0], args[1] = "target/springgate", "gateway"
		}
		p := soak.NewProcess(n, f.dir, args...)
		if err := p.Start(); err != nil {
			return err
		}
		f.processes = append(f.processes, p)
		if n.Engine == "" {
			f.entries = append(f.entries, &entry{n.Name, n.Callers, p})
		}
	}
	return nil
}

// close ends all processes and stand-ins that the case started.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, p := range f.processes {
		ending.Go(p.Kill)
	}
	ending.Wait()
	f.store.Close()
	f.origin.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// freeAddr returns an unused loopback address below the ephemeral ports.
func (f *fleet) freeAddr() string {
	for {
		f.nextPort++
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(f.nextPort))
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
}

// config returns a configuration of the given number: it accepts the lasting key and one key that
// belongs to this configuration alone. padding is how many further routes it has, which no caller uses.
func (f *fleet) config(n, padding int) fake.Config {
	route := func(name, path, kind, service string) fake.Route {
		return fake.Route{Name: name, Host: hostName, Prefix: path, Kind: kind, Service: service, TimeoutMs: 3000,
			TargetLatencyMs: 500, GapTargetMs: 400, Attempts: 2, ResumeStreams: kind == fake.KindStreaming}
	}
	cfg := fake.Config{Version: n,
		Routes: []fake.Route{route("safe", "/safe/", fake.KindSafe, plainService), route("stream", "/stream/", fake.KindStreaming, engineService)},
		Services: []fake.Service{{Name: plainService, MaxConnections: 200}, {Name: "origin", MaxConnections: 48, Origin: f.origin.Addr(), Zone: domains[0]},
			{Name: engineService, MaxConnections: 200, Engine: &fake.Engine{Slots: 16, Stride: 5, StepMs: 1, ReadPerS: 100000,
				Models: []fake.EngineModel{{Name: model, WarmS: 0.1}}, Usual: map[string]int{"prompt": 100, "answer": 20}, Layers: 4, Chunks: pieces, ChunkBytes: pieceBytes}}},
		Limits: map[string]int{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Teams:  []fake.Team{{Name: "lasting", ApiKeys: []string{lastingKey}}, {Name: "rotating", ApiKeys: []string{configKey(n)}}}}
	for i := range padding {
		cfg.Routes = append(cfg.Routes, route(fmt.Sprintf("route-%05d", i), fmt.Sprintf("/idle/%05d/", i), fake.KindSafe, plainService))
	}
	return cfg
}

func configKey(n int) string { return fmt.Sprintf("key-of-%d", n) }

// call sends one attempt of a request over a new connection. It returns the status of the answer, 0 if
// there was no complete one.
func call(e *entry, path, id, key string, timeout time.Duration) (status int) {
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := fake.NewRequest(e.callers, hostName, path, fake.Call{ID: id, Key: key, Timeout: timeout, Prompt: 100, Parts: []string{"a1", fmt.Sprintf("%x", id)}})
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Transport: t}).Do(r.WithContext(ctx))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitService waits until each entry serves both kinds of request.
func (f *fleet) awaitService() error {
	deadline := time.Now().Add(startTimeout)
	for n := 0; ; n++ {
		var missing []string
		for _, e := range f.entries {
			for _, path := range []string{"/safe/", "/stream/"} {
				if status := call(e, path, fmt.Sprintf("start-%s-%d%s", e.name, n, strings.Trim(path, "/")), lastingKey, 3*time.Second); status != http.StatusOK {
					missing = append(missing, fmt.Sprintf("%s%s: %d", e.name, path, status))
				}
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not serving after the start: %v", missing)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

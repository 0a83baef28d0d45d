package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/gateway"
	"github.com/springgate/springgate/mesh"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/operator"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/settings"
	"github.com/springgate/springgate/sidecar"
	"github.com/springgate/springgate/targetconn"
	"github.com/springgate/springgate/telemetry"
	"github.com/springgate/springgate/weights"
	"github.com/urfave/cli/v3"
)

// Roles of a process towards its peers.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// Constants of the processes on the platform.
const (
	// memoryShare is the part of the memory allowed that the runtime may use
	// before it collects garbage eagerly; the rest is for the kernel's buffers
	// and the program itself.
	memoryShare = 0.6
	// garbagePercent keeps the heap small: memory is paid for at its peak.
	garbagePercent = 60
	// logFlush bounds the wait for the last log lines at the end.
	logFlush = 500 * time.Millisecond
	// rosterHold is how long a target that vanished from the list is kept. It
	// is under the 2 s in which a target that left may still get requests.
	rosterHold = 1300 * time.Millisecond
	// rosterCatchUp is how long after an outage of the store targets may be
	// missing from its list: they register again within about 2 s.
	rosterCatchUp = 2500 * time.Millisecond
	// budgetShare is the part of the retry budget that entries use without
	// knowing of each other's retries; the rest is for the error of that.
	budgetShare = 0.6
	// sweepEvery is the time between two looks at idle connections.
	sweepEvery = time.Second
)

// onPlatform is what both programs share when they run on the platform.
type onPlatform struct {
	settings  *platform.Settings
	log       *logrus.Logger
	logWriter *telemetry.AsyncWriter
	metrics   metrics.Registry
	self      peer.Presence
	pool      *peer.Pool
	meter     *peer.Meter
}

// platformFlags are the own settings of the programs on the platform.
type platformFlags struct {
	logLevel string
	admin    string
}

func (f *platformFlags) add(s *settings.Set) {
	s.Choice(&f.logLevel, "log-level", "least severe level that is logged", "info", "debug", "info", "warning", "error")
	s.Address(&f.admin, "admin-listen", "address of /healthz, /readyz and /metrics", "", false)
}

// newOnPlatform reads the settings and prepares logging. role is told to peers.
func newOnPlatform(f platformFlags, role string) (*onPlatform, error) {
	s, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	log, err := telemetry.NewLogger(out, f.logLevel, telemetry.FormatJSON)
	if err != nil {
		return nil, err
	}
	if err := telemetry.TameLibraries(log); err != nil {
		return nil, err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(garbagePercent)
	p := &onPlatform{settings: s, log: log, logWriter: out, metrics: metrics.NewRegistry(), meter: &peer.Meter{}}
	p.self = peer.Presence{Host: s.Host, Role: role, Domain: s.Domain, Incarnation: uint64(time.Now().UnixNano())}
	if role == roleEntry {
		p.self.Addr = s.PeerAddr()
	} else {
		p.self.Service, p.self.Engine, p.self.Pieces = s.Service, s.EngineAddr, s.PeerAddr()
	}
	telemetry.Part(log, "main").WithFields(logrus.Fields{"version": Version, "role": role, "host": s.Host,
		"failure_domain": s.Domain, "incarnation": p.self.Incarnation, "seeds": strings.Join(s.Seeds, ","),
		"store": s.Store.Addr, "memory_mb": s.Limits.MemoryMB}).Info("Started.")
	return p, nil
}

func (p *onPlatform) hello() peer.Hello {
	return peer.Hello{Host: p.self.Host, Incarnation: p.self.Incarnation, Role: p.self.Role, Domain: p.self.Domain}
}

// call asks another entry.
func (p *onPlatform) call(ctx context.Context, addr string, m peer.Message) (peer.Message, error) {
	return p.pool.Call(ctx, addr, peer.Bulk, m)
}

// serveAdmin serves metrics, if an address is set.
func (p *onPlatform) serveAdmin(f platformFlags, ready func() bool) (stop func(), err error) {
	if f.admin == "" {
		return func() {}, nil
	}
	return operator.ServeAdmin(f.admin, ready, p.metrics)
}

// untilSignal waits for the signal to stop. A change of the settings is read
// and logged; addresses stay as they are until the next start.
func (p *onPlatform) untilSignal() {
	log := telemetry.Part(p.log, "main")
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			log.WithField("signal", sig.String()).Info("Stopping.")
			return
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.WithError(err).Error("Settings not readable, the last ones stay.")
			continue
		}
		log.WithField("seeds", strings.Join(next.Seeds, ",")).Info("Settings read again.")
	}
}

func (p *onPlatform) stopped() {
	telemetry.Part(p.log, "main").WithField("log_lines_dropped", p.logWriter.Dropped()).Info("Stopped.")
	p.logWriter.Flush(logFlush)
}

// gatewayCommand runs an entry whose requests go straight to the targets.
func gatewayCommand() *cli.Command {
	var f platformFlags
	set := &settings.Set{}
	f.add(set)
	return &cli.Command{Name: "gateway", Usage: "run an entry on the platform that " + platform.SettingsVariable + " describes",
		Flags: set.Flags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			return runGateway(f)
		}}
}

// entryProcess are the parts of an entry.
type entryProcess struct {
	*onPlatform
	gateway  *gateway.Gateway
	book     *dispatch.Book
	conns    *targetconn.Pool
	control  *gateway.Control
	mesh     *mesh.Mesh
	relay    *weights.Relay
	homes    *mesh.Reserver
	follower *mirror.Follower
	server   *gateway.Server
}

func runGateway(f platformFlags) error {
	p, err := newOnPlatform(f, roleEntry)
	if err != nil {
		return err
	}
	e := newEntryProcess(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers, err := peer.Listen(p.self.Addr, p.hello(), e.servePeer, p.meter)
	if err != nil {
		return err
	}
	defer peers.Close()
	e.start(ctx)
	if err := e.server.Start(ctx); err != nil {
		return err
	}
	stopAdmin, err := p.serveAdmin(f, e.gateway.Ready)
	if err != nil {
		return err
	}
	defer stopAdmin()
	p.untilSignal()
	e.mesh.Leave()
	e.server.Drain()
	p.stopped()
	return nil
}

func newEntryProcess(p *onPlatform) *entryProcess {
	s := p.settings
	e := &entryProcess{onPlatform: p}
	p.pool = peer.NewPool(p.hello(), e.servePeer, p.meter)
	store := platform.NewStore(s.Store.Addr)
	table := mirror.NewTable(platform.PrefixAll)
	e.book = dispatch.NewBook(dispatch.Config{VersionTimeout: s.VersionTimeout()}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.conns = targetconn.NewPool(targetconn.Config{})
	e.mesh = mesh.New(mesh.Options{Self: p.self, Seeds: s.Seeds, Pool: p.pool, Listener: e,
		Table: table, Log: telemetry.Part(p.log, "mesh")})
	e.homes = mesh.NewReserver(e.mesh, e.book)
	e.gateway = gateway.New(gateway.Config{Domain: s.Domain, RetryRatio: budgetShare * s.Bounds.RetryBudgetRatio,
		RetryBurst: budgetShare * s.Bounds.RetryBudgetExtra}, platform.Dialect{}, e.book, e.conns, e.homes,
		gateway.NewStats(p.metrics), telemetry.Part(p.log, "gateway"))
	e.follower = mirror.NewFollower(mirror.Config{}, table, func() mirror.Source { return store }, e.mesh.Source,
		telemetry.Part(p.log, "mirror"))
	e.relay = weights.NewRelay(weights.Config{}, p.self, e.mesh.Entries, e.holders, e.origin, platform.NewEngines(), p.call,
		telemetry.Part(p.log, "weights"))
	e.control = gateway.NewControl(gateway.ControlOptions{Config: gateway.ControlConfig{VersionTimeout: s.VersionTimeout()},
		Gateway: e.gateway, Book: e.book, Decoder: platform.Decoder{}, Table: table,
		Outage: e.follower.Outage, Roster: gateway.Roster{Hold: rosterHold, CatchUp: rosterCatchUp}, Relay: e.relay,
		Log: telemetry.Part(p.log, "control")})
	e.server = gateway.NewServer(gateway.ServerConfig{CallerAddr: s.Listen.Callers, ReadyAddr: s.Listen.Readiness,
		DrainTimeout: s.DrainTimeout()}, e.gateway, telemetry.Part(p.log, "server"))
	return e
}

func (e *entryProcess) start(ctx context.Context) {
	go e.follower.Run(ctx)
	go e.control.Run(ctx)
	go e.mesh.Run(ctx, e.control.OwnLoads)
	go e.sweep(ctx)
}

func (e *entryProcess) holders(domain, model string, version int) []string {
	return e.control.Holders(domain, model, version)
}

func (e *entryProcess) origin() *fleet.Origin {
	if c := e.gateway.Config(); c != nil {
		return c.OriginOf()
	}
	return nil
}

// sweep closes connections that are not needed and keeps the number of entries
// up to date.
func (e *entryProcess) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.gateway.SetEntries(len(e.mesh.Entries()) + 1)
			e.conns.Sweep(e.book.Knows)
		case <-ctx.Done():
			return
		}
	}
}

// servePeer handles a stream that another process opened.
func (e *entryProcess) servePeer(ctx context.Context, s *peer.Stream, first peer.Message) {
	switch m := first.(type) {
	case *peer.Presence:
		e.mesh.Serve(ctx, s, m)
	case *peer.MirrorRead:
		e.mesh.ServeMirror(ctx, s, m)
	case *peer.Reserve:
		e.homes.Serve(ctx, s, m)
	case *peer.GetManifest, *peer.GetPiece:
		e.relay.Serve(ctx, s, first)
	}
}

// The mesh's listener is the control, which is made after the mesh.

// Loads implements mesh.Listener.
func (e *entryProcess) Loads(l *peer.Loads) { e.control.Loads(l) }

// Lost implements mesh.Listener.
func (e *entryProcess) Lost(addr string) { e.control.Lost(addr) }

// EngineState implements mesh.Listener.
func (e *entryProcess) EngineState(p peer.Presence, s *peer.EngineState) { e.control.EngineState(p, s) }

// Assignment implements mesh.Listener.
func (e *entryProcess) Assignment(p peer.Presence) (*peer.Assignment, <-chan struct{}) {
	return e.control.Assignment(p)
}

// sidecarCommand runs an agent that only looks after the engine's weights.
func sidecarCommand() *cli.Command {
	var f platformFlags
	set := &settings.Set{}
	f.add(set)
	return &cli.Command{Name: "sidecar", Usage: "run the agent beside an engine on the platform that " + platform.SettingsVariable + " describes",
		Flags: set.Flags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			return runSidecar(f)
		}}
}

// entrySource reads weights from the entries.
type entrySource struct {
	mesh *mesh.Mesh
	call weights.Caller
}

// Manifest implements sidecar.Source.
func (e entrySource) Manifest(ctx context.Context, model string, version int) (*weights.Manifest, error) {
	addr, ok := e.mesh.Near(weights.ManifestKey(model, version))
	if !ok {
		return nil, weights.ErrNoSource
	}
	msg, err := e.call(ctx, addr, &peer.GetManifest{Model: model, Version: version})
	if err != nil {
		return nil, err
	}
	return weights.DecodeManifest(model, version, msg)
}

// Piece implements sidecar.Source.
func (e entrySource) Piece(ctx context.Context, m *weights.Manifest, index int) ([]byte, error) {
	addr, ok := e.mesh.Near(weights.PieceKey(m.Model, m.Version, index))
	if !ok {
		return nil, weights.ErrNoSource
	}
	msg, err := e.call(ctx, addr, &peer.GetPiece{Model: m.Model, Version: m.Version, Index: index})
	if err != nil {
		return nil, err
	}
	blob, ok := msg.(*peer.Blob)
	if !ok || !blob.Found {
		return nil, fmt.Errorf("%w: piece %d", weights.ErrNoSource, index)
	}
	return blob.Data, m.Verify(index, blob.Data)
}

func runSidecar(f platformFlags) error {
	p, err := newOnPlatform(f, roleAgent)
	if err != nil {
		return err
	}
	p.pool = peer.NewPool(p.hello(), nil, p.meter)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var agent *sidecar.Sidecar
	network := mesh.New(mesh.Options{Self: p.self, Seeds: p.settings.Seeds, Pool: p.pool, Log: telemetry.Part(p.log, "mesh"),
		Assigned: func(a peer.Assignment) { agent.Assign(time.Now(), a) }})
	agent = sidecar.New(sidecar.Config{FirstStart: p.settings.FirstStart}, platform.NewEngines(), p.settings.EngineAddr, entrySource{network, p.call},
		network.Say, telemetry.Part(p.log, "sidecar"))
	peers, err := peer.Listen(p.self.Pieces, p.hello(), agent.ServePiece, p.meter)
	if err != nil {
		return err
	}
	defer peers.Close()
	stopAdmin, err := p.serveAdmin(f, func() bool { return true })
	if err != nil {
		return err
	}
	defer stopAdmin()
	go network.Run(ctx, nil)
	go agent.Run(ctx)
	p.untilSignal()
	p.stopped()
	return nil
}

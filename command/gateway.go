package command

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/gateway"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/mesh"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/overload/memory"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/quarantine"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/settings"
	"github.com/springgate/springgate/targetconn"
	"github.com/springgate/springgate/telemetry"
	"github.com/springgate/springgate/weights"
	"github.com/urfave/cli/v3"
)

// gatewayCommand returns the command that runs an entry in gateway mode, in which requests
// go directly to the targets instead of through their agents.
func gatewayCommand() *cli.Command {
	var f platformFlags
	var contentKey string
	var memoryBudget int64
	set := &settings.Set{}
	f.add(set)
	set.Text(&contentKey, "content-key", "secret key of the fingerprints that identify request content in logs and between peers; must be the same on all entries", "", false)
	set.Bytes(&memoryBudget, "memory-budget", "how much memory callers' requests may hold together; 0 derives it from the memory limit in the platform's settings", "0", 0, 1<<40)
	return &cli.Command{Name: "gateway", Usage: "run an entry on the platform, with the settings from the file that " + platform.SettingsVariable + " names",
		Flags: set.Flags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			return runGateway(f, contentKey, memoryBudget)
		}}
}

// entryProcess holds the components of an entry.
type entryProcess struct {
	*platformProcess
	gateway  *gateway.Gateway
	balancer *dispatch.Balancer
	conns    *targetconn.Pool
	control  *gateway.Control
	mesh     *mesh.Mesh
	relay    *weights.Relay
	reserver *mesh.Reserver
	follower *mirror.Follower
	server   *gateway.Server
}

func runGateway(f platformFlags, contentKey string, memoryBudget int64) error {
	p, err := newPlatformProcess(f, roleEntry)
	if err != nil {
		return err
	}
	e := newEntryProcess(p, f.off, contentKey, memoryBudget)
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
	p.waitForSignal()
	e.mesh.Leave()
	e.server.Drain()
	p.logStopped()
	return nil
}

// retryRatio returns how many retries each request adds to the budget of its service.
func retryRatio(s *platform.Settings) float64 {
	window := cmp.Or(s.RetryWindow(), gateway.DefaultRetryWindow)
	return routing.ArrivalRatio(s.Bounds.RetryBudgetRatio, window, httpclient.DeliveryTimeout)
}

func newEntryProcess(p *platformProcess, off mechanism.Off, contentKey string, memoryBudget int64) *entryProcess {
	s := p.settings
	e := &entryProcess{platformProcess: p}
	p.pool = peer.NewPool(p.hello(), e.servePeer, p.meter)
	table := mirror.NewTable(platform.PrefixAll)
	e.balancer = dispatch.NewBalancer(dispatch.Config{Off: off, Regions: s.Regions, VersionTimeout: s.VersionTimeout()}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.conns = targetconn.NewPool(targetconn.Config{})
	crashes := quarantine.NewTable()
	level := overload.NewController(overload.Config{})
	e.mesh = mesh.New(mesh.Options{Self: p.self, Seeds: s.Seeds, Pool: p.pool, Listener: e, Crashes: crashes,
		Table: table, TargetDomain: e.balancer.DomainOf, Log: telemetry.Part(p.log, "mesh"), Metrics: p.metrics})
	e.reserver = mesh.NewReserver(e.mesh, e.balancer, off)
	e.gateway = gateway.New(gateway.Config{Off: off, Domain: s.Domain, MirrorState: mirrorState(table), Crashes: crashes, Level: level,
		Hasher: quarantine.NewHasher(contentKey), Host: p.self.Host, Probes: e.mesh.Probes, RetryRatio: retryRatio(s),
		RetryBurst: budgetShare * s.Bounds.RetryBudgetExtra, RetryWindow: s.RetryWindow(), Memory: p.newBudget(memoryBudget)}, platform.Dialect{}, e.balancer, e.conns, e.reserver,
		gateway.NewStats(p.metrics), telemetry.Part(p.log, "gateway"))
	e.follower = e.mesh.NewFollower(mirror.Config{}, platform.NewStore(s.Store.Addr), telemetry.Part(p.log, "mirror"))
	e.relay = weights.NewRelay(weights.Config{Off: off}, p.self, e.mesh.Entries, e.holders, e.origin, e.pieceCount, platform.NewOrigin(), p.call,
		telemetry.Part(p.log, "weights"))
	e.control = gateway.NewControl(gateway.ControlOptions{Addr: p.self.Addr, Config: gateway.ControlConfig{Off: off, VersionTimeout: s.VersionTimeout()},
		Gateway: e.gateway, Balancer: e.balancer, Decoder: platform.Decoder{}, Table: table,
		Outage: e.follower.Outage, Roster: gateway.Roster{RetainFor: rosterHold, CatchUp: rosterCatchUp}, Relay: e.relay, Level: level,
		Log: telemetry.Part(p.log, "control"), Metrics: p.metrics})
	e.server = gateway.NewServer(gateway.ServerConfig{CallerAddr: s.Listen.Callers, ReadyAddr: s.Listen.Readiness,
		DrainTimeout: s.DrainTimeout()}, e.gateway, telemetry.Part(p.log, "server"))
	return e
}

// newBudget returns the budget of bytes of callers' requests. size is zero if it is to be derived
// from the memory limit of the process. Without that there is no budget.
func (p *platformProcess) newBudget(size int64) *memory.Budget {
	size = cmp.Or(size, memory.Size(heapLimit(p.settings)))
	if size == 0 {
		return nil
	}
	telemetry.Part(p.log, "main").WithField("budget", size).Info("Memory of requests is bounded.")
	return memory.New(memory.Config{Bytes: size})
}

// mirrorState returns a function that reports the state of this entry's mirror, its local
// copy of the store.
func mirrorState(t *mirror.Table) func() gateway.MirrorState {
	return func() gateway.MirrorState {
		return gateway.MirrorState{Revision: t.Revision(), Age: clock.Since(t.ConfirmedAt())}
	}
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
		return c.FirstOrigin()
	}
	return nil
}

// pieceCount returns the number of pieces of a model by the configuration in force; 0 if unknown.
func (e *entryProcess) pieceCount(model string) int {
	if c := e.gateway.Config(); c != nil {
		return c.PieceCount(model)
	}
	return 0
}

// sweep periodically closes idle connections that are no longer needed and updates the
// number of entries that share the retry budget.
func (e *entryProcess) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.gateway.SetEntries(e.mesh.BudgetShares())
			e.conns.Sweep(e.balancer.HasAddr)
		case <-ctx.Done():
			return
		}
	}
}

// servePeer handles a stream opened by another process.
func (e *entryProcess) servePeer(ctx context.Context, s *peer.Stream, first peer.Message) {
	switch m := first.(type) {
	case *peer.Presence:
		e.mesh.Serve(ctx, s, m)
	case *peer.MirrorRead:
		e.mesh.ServeMirror(ctx, s, m)
	case *peer.Reserve:
		e.reserver.Serve(ctx, s, m)
	case *peer.Place:
		e.reserver.ServePlace(ctx, s, m)
	case *peer.GetManifest, *peer.GetPiece:
		e.relay.Serve(ctx, s, first)
	}
}

// The methods below implement mesh.Listener. They forward to e.control, which is created
// after the mesh, the connections to the other processes, and so cannot be passed to it.

// Loads implements mesh.Listener.
func (e *entryProcess) Loads(from string, l *peer.Loads) { e.control.Loads(from, l) }

// EntryLost implements mesh.Listener.
func (e *entryProcess) EntryLost(addr string) { e.control.EntryLost(addr) }

// EngineState implements mesh.Listener.
func (e *entryProcess) EngineState(p peer.Presence, s *peer.EngineState) { e.control.EngineState(p, s) }

// Announced implements mesh.Listener.
func (e *entryProcess) Announced(now time.Time) []peer.ObservedVersion {
	return e.control.Announced(now)
}

// Notices implements mesh.Listener.
func (e *entryProcess) Notices() []peer.TargetNotice { return e.control.Notices() }

// Shortages implements mesh.Listener.
func (e *entryProcess) Shortages(now time.Time) map[string]overload.Report {
	return e.control.Shortages(now)
}

// Assignment implements mesh.Listener.
func (e *entryProcess) Assignment(p peer.Presence) (*peer.Assignment, <-chan struct{}) {
	return e.control.Assignment(p)
}

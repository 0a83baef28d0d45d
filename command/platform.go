package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/operator"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/settings"
	"github.com/springgate/springgate/telemetry"
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
	garbagePercent = 30
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
	budgetShare = 0.8
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
	off      mechanism.Off
}

func (f *platformFlags) add(s *settings.Set) {
	s.Choice(&f.logLevel, "log-level", "least severe level that is logged", "info", "debug", "info", "warning", "error")
	s.List("without", "mechanisms that are switched off, to measure what they are worth", mechanism.Names(), func(v string) (err error) {
		f.off, err = mechanism.Parse(v)
		return err
	})
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
	if err := telemetry.ConfigureGoZero(log); err != nil {
		return nil, err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(garbagePercent)
	p := &onPlatform{settings: s, log: log, logWriter: out, metrics: metrics.NewRegistry(), meter: &peer.Meter{}}
	if err := p.meter.Register(p.metrics); err != nil {
		return nil, err
	}
	p.self = peer.Presence{Host: s.Host, Role: role, Domain: s.Domain, Incarnation: uint64(time.Now().UnixNano()),
		LinkMbps: s.Limits.LinkMbps}
	if role == roleEntry {
		p.self.Addr = s.PeerAddr()
	} else {
		p.self.Service, p.self.EngineAddr, p.self.PiecesAddr = s.Service, s.EngineAddr, s.PeerAddr()
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

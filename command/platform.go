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

// Roles that a process announces to its peers.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// Settings of processes on the platform.
const (
	// memoryShare is the fraction of the process's memory limit that is set as the soft
	// limit of the Go runtime; the rest is for kernel buffers and the program itself.
	memoryShare = 0.6
	// gcPercent is lower than Go's default of 100 because it is the peak memory use that
	// counts, not the average.
	gcPercent = 30
	// logFlushTimeout bounds the wait at exit for the last log lines to be written.
	logFlushTimeout = 500 * time.Millisecond
	// rosterHold is how long a target that disappeared from the store's list is retained. It
	// must be less than the 2 s during which a target that left may still get requests.
	rosterHold = 1300 * time.Millisecond
	// rosterCatchUp is how long after an outage of the store running targets may be missing
	// from the store's list: they register again within about 2 s.
	rosterCatchUp = 2500 * time.Millisecond
	// budgetShare is the fraction that the entries use of the retries that all entries together may
	// send without regard to the number of requests. Each entry spends its part without coordination
	// with the others; the rest covers the resulting error.
	budgetShare = 0.8
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
)

// platformProcess holds what entries and sidecars have in common when they run on the
// platform.
type platformProcess struct {
	settings  *platform.Settings
	log       *logrus.Logger
	logWriter *telemetry.AsyncWriter
	metrics   metrics.Registry
	self      peer.Presence
	pool      *peer.Pool
	meter     *peer.Meter
	signals   chan os.Signal
}

// platformFlags holds the flags of `springgate gateway` and `springgate-agent sidecar`, which
// run on the external platform that package platform describes. All other settings come from
// the platform's settings file.
type platformFlags struct {
	logLevel string
	admin    string
	off      mechanism.Off
}

func (f *platformFlags) add(s *settings.Set) {
	s.Choice(&f.logLevel, "log-level", "minimum severity of log records", "info", "debug", "info", "warning", "error")
	s.List("without", "mechanisms to disable, to measure their effect", mechanism.Names(), func(v string) (err error) {
		f.off, err = mechanism.Parse(v)
		return err
	})
	s.Address(&f.admin, "admin-listen", "address of /healthz, /readyz and /metrics", "", false)
}

// newPlatformProcess reads the settings and sets up logging, memory limits and metrics. The role
// is announced to peers.
func newPlatformProcess(f platformFlags, role string) (*platformProcess, error) {
	signals := catchSignals()
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
	if limit := heapLimit(s); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	debug.SetGCPercent(gcPercent)
	p := &platformProcess{settings: s, log: log, logWriter: out, metrics: metrics.NewRegistry(), meter: &peer.Meter{}, signals: signals}
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

// heapLimit returns the soft limit of the Go runtime in bytes, or zero if the memory limit of the
// process is not known.
func heapLimit(s *platform.Settings) int64 {
	return int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20))
}

func (p *platformProcess) hello() peer.Hello {
	return peer.Hello{Host: p.self.Host, Incarnation: p.self.Incarnation, Role: p.self.Role, Domain: p.self.Domain}
}

// call sends m to another entry and returns its answer.
func (p *platformProcess) call(ctx context.Context, addr string, m peer.Message) (peer.Message, error) {
	return p.pool.Call(ctx, addr, peer.Bulk, m)
}

// serveAdmin serves health checks and metrics if an address is set.
func (p *platformProcess) serveAdmin(f platformFlags, ready func() bool) (stop func(), err error) {
	if f.admin == "" {
		return func() {}, nil
	}
	return operator.ServeAdmin(f.admin, ready, p.metrics)
}

// catchSignals begins to collect the signals that waitForSignal handles, which would end the process
// otherwise.
func catchSignals() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// waitForSignal returns on SIGTERM or SIGINT. On SIGHUP it reads the settings file again and
// logs the new seeds; changes, such as of addresses, take effect at the next start.
func (p *platformProcess) waitForSignal() {
	log := telemetry.Part(p.log, "main")
	for sig := range p.signals {
		if sig != syscall.SIGHUP {
			log.WithField("signal", sig.String()).Info("Stopping.")
			return
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.WithError(err).Error("Failed to read the settings file again; the settings in use remain.")
			continue
		}
		log.WithField("seeds", strings.Join(next.Seeds, ",")).Info("Settings file read again; changes take effect at the next start.")
	}
}

func (p *platformProcess) logStopped() {
	telemetry.Part(p.log, "main").WithField("log_lines_dropped", p.logWriter.Dropped()).Info("Stopped.")
	p.logWriter.Flush(logFlushTimeout)
}

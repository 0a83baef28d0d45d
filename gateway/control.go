package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overload"
)

// Decoder decodes items of the store into fleet types.
type Decoder interface {
	// Config returns nil if the item is not the configuration.
	Config(i mirror.Item) (*fleet.Config, error)
	Version(i mirror.Item) (v fleet.VersionTarget, ok bool, err error)
	// Evacuation returns the failure domain that the item evacuates; ok is false for other
	// items.
	Evacuation(i mirror.Item) (domain string, ok bool)
	IsInstance(i mirror.Item) bool
	Instance(i mirror.Item) (*fleet.Instance, error)
}

// ControlConfig holds the timing and the switches of a Control.
type ControlConfig struct {
	// Tick is the interval at which state that changes without a change of the mirror is
	// checked. Default 200 ms.
	Tick time.Duration
	// Off is the set of mechanisms that are switched off.
	Off mechanism.Off
	// VersionTimeout is the time within which all engines must serve a new version.
	VersionTimeout time.Duration
}

// Relay fetches the weights of model versions, which are divided into pieces, for the
// agents.
type Relay interface {
	// Prefetch reads the pieces of a new version before agents request them.
	Prefetch(ctx context.Context, model string, version, pieces int)
	// Hold makes a version available that was announced before this process started; its
	// pieces are read when agents request them. Hold reports whether the version is newer
	// than those made available before.
	Hold(model string, version int) bool
	// Failing reports whether the latest prefetch of a piece of a version failed.
	Failing(model string, version int) bool
}

// Control maintains an entry's view of the fleet. Its goroutine follows the mirror of the
// store and applies changes to the gateway and its balancer.
type Control struct {
	cfg      ControlConfig
	addr     string // of this entry, sent to agents
	gateway  *Gateway
	balancer *dispatch.Balancer
	decoder  Decoder
	table    *mirror.Table
	outage   func() (down bool, ended time.Time)
	relay    Relay
	log      logrus.FieldLogger
	level    *overload.Controller // nil if no level is held
	monitor  *levelMonitor

	evacuations evacuations
	evacuated   []string // failure domains, sorted
	// unknownEvacuations counts evacuations of failure domains that are not configured.
	unknownEvacuations metrics.Gauge
	slow               slowTargets
	quarantine         quarantineMonitor
	foreign            metrics.Gauge // items of the target list that describe no usable target
	configFaults       metrics.Gauge // values of the configuration that are not usable
	// endedWithRequests counts targets that disappeared from the list after requests of
	// this entry had lost their connections to them.
	endedWithRequests metrics.Counter
	roster            Roster
	decoded           map[string]decodedInstance
	configRev         mirror.Revision
	registrations     registrations
	mirrorRevision    mirror.Revision            // when its items were last applied
	restoredAt        time.Time                  // when the store was last found restored from an older copy
	versions          map[string]int             // newest announced version, by model
	versionRev        map[string]mirror.Revision // last revision applied of each version item, by key
	list              []*fleet.Instance

	mu          sync.Mutex
	assignments map[string]*assignment // by service
	holders     map[string]holder      // by address of the engine
	unproven    unprovenLoads
	changed     chan struct{}
}

// decodedInstance is a decoded item of the target list.
type decodedInstance struct {
	revision mirror.Revision
	instance *fleet.Instance // nil if the item describes no target
}

// ControlOptions are the dependencies of a Control.
type ControlOptions struct {
	Config   ControlConfig
	Addr     string
	Gateway  *Gateway
	Balancer *dispatch.Balancer
	Decoder  Decoder
	Table    *mirror.Table
	Outage   func() (down bool, ended time.Time)
	Roster   Roster
	Relay    Relay
	Level    *overload.Controller // optional; the one of the gateway
	Log      logrus.FieldLogger
	Metrics  metrics.Registry // optional
}

// NewControl returns a Control that is not running.
func NewControl(o ControlOptions) *Control {
	o.Config.Tick = cmp.Or(o.Config.Tick, 200*time.Millisecond)
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Config.Off.Has(mechanism.AdmissionLevel) {
		o.Level = nil
	}
	return &Control{cfg: o.Config, level: o.Level, monitor: newLevelMonitor(o.Metrics, o.Log), slow: newSlowTargets(o.Metrics), quarantine: newQuarantineMonitor(o.Metrics),
		unknownEvacuations: metrics.NewRegisteredGauge("control.unknown_evacuations", o.Metrics),
		foreign:            metrics.NewRegisteredGauge("control.foreign_entries", o.Metrics),
		configFaults:       metrics.NewRegisteredGauge("control.config_faults", o.Metrics),
		endedWithRequests:  metrics.NewRegisteredCounter("control.targets_ended_at_work", o.Metrics),
		addr:               o.Addr, gateway: o.Gateway, balancer: o.Balancer, decoder: o.Decoder, table: o.Table,
		outage: o.Outage, relay: o.Relay, log: o.Log, roster: o.Roster,
		decoded: map[string]decodedInstance{}, versionRev: map[string]mirror.Revision{}, versions: map[string]int{}, evacuations: evacuations{catchUp: o.Roster.CatchUp}, assignments: map[string]*assignment{},
		holders: map[string]holder{}, unproven: unprovenLoads{},
		changed: make(chan struct{})}
}

// Run follows the mirror until ctx is done.
func (c *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Tick)
	defer ticker.Stop()
	for {
		changed := c.round(ctx)
	wait:
		for {
			select {
			case <-changed:
				break wait
			case <-ticker.C:
				c.updateUnreadable()
				c.slow.update(c.balancer.SlowTargets(clock.Now()), c.log)
				c.quarantine.update(clock.Now(), c.gateway.findings(), c.log)
				c.updateLevel(clock.Now())
				if c.roster.Pending() || c.evacuations.holding || c.registrations.pending() {
					break wait
				}
			case <-ctx.Done():
				return
			}
		}
	}
}

// round applies the mirror's content. It returns a channel that is closed when that changes.
func (c *Control) round(ctx context.Context) (changed <-chan struct{}) {
	items, revision, changed := c.table.Snapshot()
	c.noteRestore(revision)
	c.mirrorRevision = revision
	c.applyOperator(ctx, items)
	c.applyInstances(items)
	c.updateOrders()
	c.assign(ctx)
	return changed
}

// noteRestore notes that the store was restored from an older copy if its era has changed.
func (c *Control) noteRestore(now mirror.Revision) {
	if c.mirrorRevision == 0 || now.Era() == c.mirrorRevision.Era() {
		return
	}
	c.restoredAt = clock.Now()
	f := logrus.Fields{"from_era": c.mirrorRevision.Era(), "from_revision": c.mirrorRevision.Number(), "to_era": now.Era(),
		"to_revision": now.Number(), "targets": len(c.list), "evacuated": c.evacuated, "versions": c.versions}
	if cfg := c.gateway.Config(); cfg != nil {
		f["config"] = cfg.Version
	}
	c.log.WithFields(f).Warn("The store was restored; keeping what is in force.")
}

func (c *Control) applyOperator(ctx context.Context, items []mirror.Item) {
	for _, i := range items {
		c.applyConfig(i)
	}
	for _, i := range items {
		c.applyVersion(ctx, i)
	}
	c.applyEvacuations(items)
}

func (c *Control) applyConfig(i mirror.Item) {
	if i.Revision == c.configRev {
		return
	}
	cfg, err := c.decoder.Config(i)
	if err != nil {
		c.configRev = i.Revision
		c.log.WithError(err).WithFields(logrus.Fields{"key": i.Key, "revision": i.Revision}).Error("Configuration not readable; keeping the previous one.")
		return
	}
	if cfg == nil {
		return
	}
	c.configRev = i.Revision
	if !c.gateway.SetConfig(cfg) {
		return
	}
	c.log.WithFields(logrus.Fields{"config": cfg.Version, "revision": i.Revision}).Info("Configuration applied.")
	c.logFaults(cfg)
	c.balancer.Apply(c.list, cfg.Services)
}

// maxFaultsLogged bounds how many faults of a configuration are listed in its log record.
const maxFaultsLogged = 10

// logFaults logs values of a configuration that are not usable.
func (c *Control) logFaults(cfg *fleet.Config) {
	c.configFaults.Update(int64(len(cfg.Faults)))
	if len(cfg.Faults) == 0 {
		return
	}
	first := make([]string, 0, maxFaultsLogged)
	for _, f := range cfg.Faults[:min(len(cfg.Faults), maxFaultsLogged)] {
		first = append(first, f.String())
	}
	c.log.WithFields(logrus.Fields{"config": cfg.Version, "faults": len(cfg.Faults), "first": first}).Warn("Values of the configuration are not usable; defaults apply.")
}

// applyVersion applies the version that the operators announced for a model. A version
// announced before this process started may be old: engines that lack it get no requests
// until other entries report its age.
func (c *Control) applyVersion(ctx context.Context, i mirror.Item) {
	if i.Revision == c.versionRev[i.Key] {
		return
	}
	v, ok, err := c.decoder.Version(i)
	if err != nil {
		c.versionRev[i.Key] = i.Revision
		c.log.WithError(err).WithFields(logrus.Fields{"key": i.Key, "revision": i.Revision}).Error("Version not readable; keeping the previous one.")
		return
	}
	cfg := c.gateway.Config()
	if !ok || cfg == nil {
		return
	}
	if v.Version <= c.versions[v.Model] {
		c.versionRev[i.Key] = i.Revision // the store was restored, or the version was written again
		return
	}
	c.versions[v.Model] = v.Version
	now := clock.Now()
	announced := i.Revision > c.table.FirstRevision() // announced since this process started
	announcement := announcementAt(now, announced, c.cfg.VersionTimeout)
	c.versionRev[i.Key] = i.Revision
	c.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version, "revision": i.Revision,
		"age_ms": now.Sub(announcement.At).Milliseconds(), "guessed": announcement.Estimated}).Info("Version announced.")
	c.balancer.SetVersion(v, announcement.At)
	c.notifyRelay(ctx, v, announced)
	for name, s := range cfg.Services {
		if s.Engine != nil && s.Engine.Model == v.Model {
			c.assignVersion(name, s.Engine, v.Version, announcement.At, !announcement.Estimated)
		}
	}
}

// notifyRelay passes a version to the relay. A version announced before this process
// started is not prefetched, since few engines lack it.
func (c *Control) notifyRelay(ctx context.Context, v fleet.VersionTarget, announced bool) {
	if !announced {
		c.relay.Hold(v.Model, v.Version)
		return
	}
	for _, s := range c.gateway.Config().Services {
		if s.Engine != nil && s.Engine.Model == v.Model {
			c.relay.Prefetch(ctx, v.Model, v.Version, s.Engine.Chunks)
			return
		}
	}
}

func (c *Control) applyInstances(items []mirror.Item) {
	list := make([]*fleet.Instance, 0, len(items))
	next := make(map[string]decodedInstance, len(items))
	for _, i := range items {
		if !c.decoder.IsInstance(i) {
			continue
		}
		d := c.decoded[i.Key]
		if d.revision != i.Revision {
			d = c.decodeInstance(i, d)
		}
		next[i.Key] = d
		if d.instance != nil {
			list = append(list, d.instance)
		}
	}
	list = slices.DeleteFunc(c.registrations.update(clock.Now(), c.mirrorRevision.Era(), list), func(i *fleet.Instance) bool { return !c.serves(i) })
	c.foreign.Update(int64(c.countForeign(next)))
	c.logVanished(next)
	c.decoded = next
	c.gateway.crashDetector.compareListed(list)
	down, ended := c.outage()
	c.list = c.roster.Update(clock.Now(), list, down, later(ended, c.restoredAt))
	c.gateway.cfg.Crashes.SetTargets(len(c.list))
	if cfg := c.gateway.Config(); cfg != nil {
		c.balancer.Apply(c.list, cfg.Services)
	}
	c.balancer.UpdateNotices(clock.Now())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// countForeign returns how many items of the target list describe no usable target.
func (c *Control) countForeign(items map[string]decodedInstance) (n int) {
	for _, d := range items {
		if d.instance == nil || !c.serves(d.instance) {
			n++
		}
	}
	return n
}

// serves reports whether a target belongs to a configured service. Other targets are left
// out, also so that they do not replace a target of a configured service at the same
// address.
func (c *Control) serves(i *fleet.Instance) bool {
	cfg := c.gateway.Config()
	return cfg == nil || cfg.Services[i.Service] != nil
}

// decodeInstance decodes an item of the target list. An item that is not readable as a
// target counts as none, even if an earlier revision of it described a target. This is
// logged once until the item is readable again, since it may be rewritten every second.
func (c *Control) decodeInstance(i mirror.Item, old decodedInstance) decodedInstance {
	inst, err := c.decoder.Instance(i)
	if err != nil {
		if old.revision == 0 || old.instance != nil {
			c.log.WithError(err).WithFields(logrus.Fields{"key": i.Key, "revision": i.Revision}).Warn("Item of the target list does not describe a valid target.")
		}
		return decodedInstance{i.Revision, nil}
	}
	inst.ColdUntil = clock.Now().Add(inst.ColdFor)
	if !sameRegistration(old.instance, inst) {
		c.log.WithFields(logrus.Fields{"target": inst.ID, "service": inst.Service, "addr": inst.Addr, "draining": inst.Draining,
			"models": inst.Models, "revision": i.Revision, "beat": inst.HeartbeatSeq, "born": inst.StartMs, "copy": c.mirrorRevision}).Info("Target listed.")
	}
	return decodedInstance{i.Revision, inst}
}

// sameRegistration reports whether two registrations of a target differ in their heartbeat only.
func sameRegistration(a, b *fleet.Instance) bool {
	return a != nil && a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && a.Domain == b.Domain && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.StartMs == b.StartMs && slices.Equal(a.Models, b.Models)
}

func (c *Control) logVanished(next map[string]decodedInstance) {
	for key, d := range c.decoded {
		if _, ok := next[key]; ok || d.instance == nil {
			continue
		}
		lost := c.balancer.ConnectionsLost(d.instance.ID)
		leaving := d.instance.Draining || c.balancer.ReportOf(d.instance.ID).Leaving
		if lost > 0 && !leaving {
			c.endedWithRequests.Inc(1)
		}
		c.log.WithFields(logrus.Fields{"target": d.instance.ID, "service": d.instance.Service, "lost": lost,
			"draining": d.instance.Draining, "leaving": leaving, "copy": c.mirrorRevision}).Info("Target no longer listed.")
	}
}

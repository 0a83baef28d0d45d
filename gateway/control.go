package gateway

import (
	"cmp"
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/mirror"
)

// Decoder turns items of the store into the product's types.
type Decoder interface {
	// Config returns nil if the item is not the configuration.
	Config(i mirror.Item) (*fleet.Config, error)
	Version(i mirror.Item) (v fleet.VersionTarget, ok bool, err error)
	// Evacuation returns the failure domain that an item evacuates; ok is false for others.
	Evacuation(i mirror.Item) (domain string, ok bool)
	IsInstance(i mirror.Item) bool
	Instance(i mirror.Item) (*fleet.Instance, error)
}

// ControlConfig holds the times of a Control.
type ControlConfig struct {
	// Tick is the time between two looks at what changes with time only.
	// Default 200 ms.
	Tick time.Duration
	// Off are mechanisms that are switched off.
	Off mechanism.Off
	// VersionTimeout is the time in which a new version must be everywhere.
	VersionTimeout time.Duration
}

// Relay is told which weights are wanted.
type Relay interface {
	// Want reads the pieces of a new version ahead.
	Want(ctx context.Context, model string, version, pieces int)
	// Hold reads those of a version that is not new as agents ask for them. It
	// reports whether the version was not held before.
	Hold(model string, version int) bool
	// Failing reports whether pieces of a version could not be read lately.
	Failing(model string, version int) bool
}

// Control owns what an entry believes of the fleet. Its goroutine follows the
// copies of the store and hands the results to the gateway and its book.
type Control struct {
	cfg     ControlConfig
	addr    string // of this entry, for its peers
	gateway *Gateway
	book    *dispatch.Balancer
	decoder Decoder
	table   *mirror.Table
	outage  func() (down bool, ended time.Time)
	relay   Relay
	log     logrus.FieldLogger

	evacuated []string // failure domains, in order
	// unknownEvacuations counts evacuations of failure domains that no setting names.
	unknownEvacuations metrics.Gauge
	foreign            metrics.Gauge // entries of the list that name no target to use
	// endedAtWork counts targets that vanished and at which requests of this entry lost
	// their connections.
	endedAtWork metrics.Counter
	roster      Roster
	decoded     map[string]decodedInstance
	configRev   int64
	// copyRevision is what the items reach, or more by changes of a moment ago.
	copyRevision int64
	versionRev   map[string]int64 // by key
	list         []*fleet.Instance

	mu          sync.Mutex
	assignments map[string]*assignment // by service
	holders     map[string]holder      // by address of the engine
	changed     chan struct{}
}

// decodedInstance is an entry of the list of targets.
type decodedInstance struct {
	revision int64
	instance *fleet.Instance // nil if the entry names no target
}

// ControlOptions are what a Control is made of.
type ControlOptions struct {
	Config  ControlConfig
	Addr    string
	Gateway *Gateway
	Book    *dispatch.Balancer
	Decoder Decoder
	Table   *mirror.Table
	Outage  func() (down bool, ended time.Time)
	Roster  Roster
	Relay   Relay
	Log     logrus.FieldLogger
	Metrics metrics.Registry // nil for none
}

// NewControl returns a control that is not running.
func NewControl(o ControlOptions) *Control {
	o.Config.Tick = cmp.Or(o.Config.Tick, 200*time.Millisecond)
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Control{cfg: o.Config, unknownEvacuations: metrics.NewRegisteredGauge("control.unknown_evacuations", o.Metrics), foreign: metrics.NewRegisteredGauge("control.foreign_entries", o.Metrics), endedAtWork: metrics.NewRegisteredCounter("control.targets_ended_at_work", o.Metrics),
		addr: o.Addr, gateway: o.Gateway, book: o.Book, decoder: o.Decoder, table: o.Table,
		outage: o.Outage, relay: o.Relay, log: o.Log, roster: o.Roster,
		decoded: map[string]decodedInstance{}, versionRev: map[string]int64{}, assignments: map[string]*assignment{},
		holders: map[string]holder{},
		changed: make(chan struct{})}
}

// Run follows until ctx ends.
func (c *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Tick)
	defer ticker.Stop()
	for {
		items, changed := c.table.Items()
		c.copyRevision = c.table.Revision()
		c.applyOperator(ctx, items)
		c.applyInstances(items)
		c.updateOrders()
		c.assign(ctx)
	wait:
		for {
			select {
			case <-changed:
				break wait
			case <-ticker.C:
				c.updateWithheld()
				if c.roster.Pending() {
					break wait
				}
			case <-ctx.Done():
				return
			}
		}
	}
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
	if i.Revision <= c.configRev {
		return
	}
	cfg, err := c.decoder.Config(i)
	if err != nil {
		c.configRev = i.Revision
		c.log.WithError(err).WithFields(logrus.Fields{"key": i.Key, "revision": i.Revision}).Error("Configuration not readable, the last one stays.")
		return
	}
	if cfg == nil {
		return
	}
	c.configRev = i.Revision
	if c.gateway.SetConfig(cfg) {
		c.log.WithFields(logrus.Fields{"config": cfg.Version, "revision": i.Revision}).Info("Configuration in force.")
	}
	c.book.Apply(c.list, cfg.Services)
}

// applyVersion takes the version that the operators name for a model. One that was
// named before this process started may be old: engines without it get no requests
// until others tell its age.
func (c *Control) applyVersion(ctx context.Context, i mirror.Item) {
	if i.Revision <= c.versionRev[i.Key] {
		return
	}
	v, ok, err := c.decoder.Version(i)
	if err != nil {
		c.versionRev[i.Key] = i.Revision
		c.log.WithError(err).WithFields(logrus.Fields{"key": i.Key, "revision": i.Revision}).Error("Version not readable, the last one stays.")
		return
	}
	cfg := c.gateway.Config()
	if !ok || cfg == nil {
		return
	}
	now := clock.Now()
	announced := i.Revision > c.table.FirstRevision() // while this process runs
	seen := dateOf(now, announced, c.cfg.VersionTimeout)
	c.versionRev[i.Key] = i.Revision
	c.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version, "revision": i.Revision,
		"age_ms": now.Sub(seen.At).Milliseconds(), "guessed": seen.Estimated}).Info("Version wanted.")
	c.book.SetVersion(v, seen.At)
	c.hold(ctx, v, announced)
	for name, s := range cfg.Services {
		if s.Engine != nil && s.Engine.Model == v.Model {
			c.want(name, s.Engine, v.Version, seen.At, !seen.Estimated)
		}
	}
}

// hold tells the relay of a version. Few engines lack one that is not new.
func (c *Control) hold(ctx context.Context, v fleet.VersionTarget, announced bool) {
	if !announced {
		c.relay.Hold(v.Model, v.Version)
		return
	}
	for _, s := range c.gateway.Config().Services {
		if s.Engine != nil && s.Engine.Model == v.Model {
			c.relay.Want(ctx, v.Model, v.Version, s.Engine.Chunks)
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
		if d.instance != nil && c.serves(d.instance) {
			list = append(list, d.instance)
		}
	}
	c.foreign.Update(int64(len(next) - len(list)))
	c.logVanished(next)
	c.decoded = next
	c.gateway.endings.listed(list)
	down, ended := c.outage()
	c.list = c.roster.Update(clock.Now(), list, down, ended)
	if cfg := c.gateway.Config(); cfg != nil {
		c.book.Apply(c.list, cfg.Services)
	}
	c.book.UpdateNotices(clock.Now())
}

// serves reports whether a target is of a service that the configuration names. One
// that is not must not stand for another at its address either.
func (c *Control) serves(i *fleet.Instance) bool {
	cfg := c.gateway.Config()
	return cfg == nil || cfg.Services[i.Service] != nil
}

// decodeInstance decodes an entry. One that another than a target wrote names no
// target, also if a target wrote it before. It is logged once, until it is readable
// again: it may be written each second.
func (c *Control) decodeInstance(i mirror.Item, old decodedInstance) decodedInstance {
	inst, err := c.decoder.Instance(i)
	if err != nil {
		if old.revision == 0 || old.instance != nil {
			c.log.WithError(err).WithFields(logrus.Fields{"key": i.Key, "revision": i.Revision}).Warn("Entry names no target.")
		}
		return decodedInstance{i.Revision, nil}
	}
	inst.ColdUntil = clock.Now().Add(inst.ColdFor)
	c.log.WithFields(logrus.Fields{"target": inst.ID, "service": inst.Service, "addr": inst.Addr, "draining": inst.Draining,
		"models": inst.Models, "revision": i.Revision, "beat": inst.HeartbeatSeq, "born": inst.StartMs, "copy": c.copyRevision}).Info("Target listed.")
	return decodedInstance{i.Revision, inst}
}

func (c *Control) logVanished(next map[string]decodedInstance) {
	for key, d := range c.decoded {
		if _, ok := next[key]; ok || d.instance == nil {
			continue
		}
		lost := c.book.ConnectionsLost(d.instance.ID)
		leaving := d.instance.Draining || c.book.ReportOf(d.instance.ID).Leaving
		if lost > 0 && !leaving {
			c.endedAtWork.Inc(1)
		}
		c.log.WithFields(logrus.Fields{"target": d.instance.ID, "service": d.instance.Service, "lost": lost,
			"draining": d.instance.Draining, "leaving": leaving, "copy": c.copyRevision}).Info("Target no longer listed.")
	}
}

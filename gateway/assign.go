package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// assignment is the version that the engines of a service are to serve.
type assignment struct {
	model    *fleet.EngineModel
	version  int
	since    time.Time
	order    []string // addresses of the engines, in turn; empty if they are not known yet
	assigned bool     // the operators named the version
	guessed  bool     // this process started after that; since is the latest it can have been
	withheld bool     // its pieces cannot be read
	before   *assignment
}

// earlier returns the versions named before that may not be served everywhere
// yet, oldest first.
func (a *assignment) earlier(now time.Time, timeout time.Duration) []peer.AnnouncedVersion {
	var out []peer.AnnouncedVersion
	for b := a.before; b != nil && b.assigned && len(out) < earlierKept; b = b.before {
		if age := now.Sub(b.since); age < 2*timeout {
			out = append(out, peer.AnnouncedVersion{Version: b.version, AgeMs: age.Milliseconds(), Guessed: b.guessed})
		}
	}
	slices.Reverse(out)
	return out
}

// recent returns the assignment without those that are no longer told.
func (a *assignment) recent() *assignment {
	if a == nil {
		return nil
	}
	out := *a
	if a.before != nil {
		before := *a.before
		before.before = nil
		out.before = &before
	}
	return &out
}

// earlierKept bounds the versions that an agent is told of beside the newest.
const earlierKept = 2

func (c *Control) recent(service string) *assignment {
	c.mu.Lock() // what others tell changes dates
	defer c.mu.Unlock()
	return c.assignments[service].recent()
}

func (c *Control) want(service string, m *fleet.EngineModel, version int, since time.Time, announced bool) {
	if old := c.assignments[service]; old != nil && old.assigned && old.version >= version {
		return
	}
	a := &assignment{model: m, version: version, since: since, assigned: true, guessed: !announced, before: c.recent(service)}
	a.order = c.turnOrder(service, a)
	c.setAssignment(service, a)
}

// turnOrder returns the engines of a service in the order in which they change to a version.
// Entries that know the same engines agree on it.
func (c *Control) turnOrder(service string, a *assignment) []string {
	var addrs []string
	for _, i := range c.list {
		if i.Service == service {
			addrs = append(addrs, i.Addr)
		}
	}
	return membership.Rank(fmt.Sprintf("%s/%d", a.model.Model, a.version), addrs, len(addrs))
}

// updateOrders brings the orders of engines up to date with the list. Agents are told if
// there was none before; otherwise turns move little, and agents keep theirs.
func (c *Control) updateOrders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, a := range c.assignments {
		if !a.assigned {
			continue
		}
		order := c.turnOrder(service, a)
		first := len(a.order) == 0 && len(order) > 0
		a.order = order
		if first {
			close(c.changed)
			c.changed = make(chan struct{})
		}
	}
}

// assign gives engines of services for which no version was named the newest
// one that an engine holds.
func (c *Control) assign(ctx context.Context) {
	cfg := c.gateway.Config()
	if cfg == nil {
		return
	}
	for name, s := range cfg.Services {
		if s.Engine == nil || c.assignments[name] != nil && c.assignments[name].assigned {
			continue
		}
		version := 1
		for _, i := range c.list {
			if i.Service == name {
				version = max(version, i.LoadedVersion(s.Engine))
			}
		}
		if old := c.assignments[name]; old == nil || old.version < version {
			c.relay.Want(ctx, s.Engine.Model, version, s.Engine.Chunks)
			c.setAssignment(name, &assignment{model: s.Engine, version: version, since: clock.Now()})
		}
	}
}

func (c *Control) setAssignment(service string, a *assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assignments[service] = a
	close(c.changed)
	c.changed = make(chan struct{})
}

// updateWithheld tells the agents when pieces of a version cannot be read, and
// when they can be again.
func (c *Control) updateWithheld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, a := range c.assignments {
		failing := c.relay.Failing(a.model.Model, a.version)
		if failing == a.withheld {
			continue
		}
		a.withheld = failing
		c.log.WithFields(logrus.Fields{"service": service, "model": a.model.Model, "version": a.version,
			"withheld": failing}).Info("Agents told whether the version can be read.")
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Assignment implements mesh.Listener. An agent is told of a named version once the
// engines are known, which an entry that starts reads after the version.
func (c *Control) Assignment(agent peer.Presence) (*peer.Assignment, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.assignments[agent.Service]
	if a == nil || a.assigned && len(a.order) == 0 {
		return nil, c.changed
	}
	out := &peer.Assignment{Entry: c.addr, Withheld: a.withheld, Model: a.model.Model, Version: a.version, Layers: a.model.Layers, Pieces: a.model.Chunks,
		AgeMs: clock.Since(a.since).Milliseconds(), Guessed: a.guessed, TimeoutMs: c.cfg.VersionTimeout.Milliseconds(), Turns: len(a.order)}
	out.Earlier = a.earlier(clock.Now(), c.cfg.VersionTimeout)
	out.Turn = max(slices.Index(a.order, agent.Engine), 0)
	return out, c.changed
}

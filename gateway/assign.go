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
	model      *fleet.EngineModel
	version    int
	since      time.Time   // when the version was announced; if it was not, when it was assigned
	order      []string    // addresses of the engines in rollout order; empty if not known yet
	explicit   bool        // the operators announced the version
	estimated  bool        // announced before this process started; since is set so that the timeout has expired
	unreadable bool        // the pieces of the version's weights cannot be read
	previous   *assignment // the assignment that this one replaced
}

// earlier returns the versions announced before this one that some engines may still lack,
// oldest first.
func (a *assignment) earlier(now time.Time, timeout time.Duration) []peer.AnnouncedVersion {
	var out []peer.AnnouncedVersion
	for b := a.previous; b != nil && b.explicit && len(out) < maxEarlierVersions; b = b.previous {
		if age := now.Sub(b.since); age < 2*timeout {
			out = append(out, peer.AnnouncedVersion{Version: b.version, AgeMs: age.Milliseconds(), AgeEstimated: b.estimated})
		}
	}
	slices.Reverse(out)
	return out
}

// recent returns a copy of the assignment that keeps only one previous version.
func (a *assignment) recent() *assignment {
	if a == nil {
		return nil
	}
	out := *a
	if a.previous != nil {
		previous := *a.previous
		previous.previous = nil
		out.previous = &previous
	}
	return &out
}

// maxEarlierVersions bounds how many versions besides the newest are sent to an agent.
const maxEarlierVersions = 2

func (c *Control) recent(service string) *assignment {
	c.mu.Lock() // reports of peers change announcement times
	defer c.mu.Unlock()
	return c.assignments[service].recent()
}

func (c *Control) assignVersion(service string, m *fleet.EngineModel, version int, since time.Time, announced bool) {
	if old := c.assignments[service]; old != nil && old.explicit && old.version >= version {
		return
	}
	a := &assignment{model: m, version: version, since: since, explicit: true, estimated: !announced, previous: c.recent(service)}
	a.order = c.turnOrder(service, a)
	c.setAssignment(service, a)
}

// turnOrder returns the order in which the engines of a service change to a version, each
// in its turn. Entries that know the same engines compute the same order.
func (c *Control) turnOrder(service string, a *assignment) []string {
	var addrs []string
	for _, i := range c.list {
		if i.Service == service {
			addrs = append(addrs, i.Addr)
		}
	}
	return membership.Rank(fmt.Sprintf("%s/%d", a.model.Model, a.version), addrs, len(addrs))
}

// updateOrders recomputes the order of the engines from the current list. Agents are
// notified only if there was no order before: otherwise the positions change little, and
// agents keep the turn that they were sent.
func (c *Control) updateOrders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, a := range c.assignments {
		if !a.explicit {
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

// assign assigns to each service without an announced version the newest version that any
// of its engines has loaded.
func (c *Control) assign(ctx context.Context) {
	cfg := c.gateway.Config()
	if cfg == nil {
		return
	}
	for name, s := range cfg.Services {
		if s.Engine == nil || c.assignments[name] != nil && c.assignments[name].explicit {
			continue
		}
		version := 1
		for _, i := range c.list {
			if i.Service == name {
				version = max(version, i.LoadedVersion(s.Engine))
			}
		}
		if old := c.assignments[name]; old == nil || old.version < version {
			c.relay.Prefetch(ctx, s.Engine.Model, version, s.Engine.Chunks)
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

// updateUnreadable notifies the agents when pieces of a version become unreadable, and
// when they become readable again.
func (c *Control) updateUnreadable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, a := range c.assignments {
		failing := c.relay.Failing(a.model.Model, a.version)
		if failing == a.unreadable {
			continue
		}
		a.unreadable = failing
		c.log.WithFields(logrus.Fields{"service": service, "model": a.model.Model, "version": a.version,
			"withheld": failing}).Info("Agents notified whether the pieces of the version can be read.")
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Assignment implements mesh.Listener: it returns the assignment for an agent, and a
// channel that is closed when assignments change. An announced version is returned only
// once the engines, and so their turns, are known: an entry that starts reads the list of
// engines after the version.
func (c *Control) Assignment(agent peer.Presence) (*peer.Assignment, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.assignments[agent.Service]
	if a == nil || a.explicit && len(a.order) == 0 {
		return nil, c.changed
	}
	out := &peer.Assignment{Entry: c.addr, PiecesUnreadable: a.unreadable, Model: a.model.Model, Version: a.version, Layers: a.model.Layers, Pieces: a.model.Chunks,
		AgeMs: clock.Since(a.since).Milliseconds(), AgeEstimated: a.estimated, TimeoutMs: c.cfg.VersionTimeout.Milliseconds(), Turns: len(a.order)}
	out.Earlier = a.earlier(clock.Now(), c.cfg.VersionTimeout)
	out.Added.Unproven = c.unproven.leftTo(agent)
	out.Turn = max(slices.Index(a.order, agent.EngineAddr), 0)
	return out, c.changed
}

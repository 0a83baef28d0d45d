package gateway

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/notice"
	"github.com/springgate/springgate/peer"
)

// holder is an agent whose engine holds a version of a model.
type holder struct {
	addr    string // where it hands out pieces
	domain  string
	model   string
	version int
}

// Loads implements mesh.Listener.
func (c *Control) Loads(from string, l *peer.Loads) {
	c.hearVersions(clock.Now(), from, l.Versions)
	c.learnNotices(from, l.Notices)
	loads := make(map[string]dispatch.Load, len(l.Targets))
	silence := !c.cfg.Off.Has(mechanism.SharedSilence)
	for _, t := range l.Targets {
		loads[t.Instance] = dispatch.Load{Requests: t.Requests, PendingPrefill: t.Unread}
		c.book.SetResponsive(from, t.Instance, t.Heard && silence)
		if silence && t.Silent && c.book.Suspect(clock.Now(), t.Instance) {
			c.log.WithFields(logrus.Fields{"target": t.Instance, "peer": from}).Info("Target silent for another entry.")
		}
	}
	if c.cfg.Off.Has(mechanism.SharedLoads) {
		return
	}
	if l.Full {
		c.book.SetLoads(from, loads)
	} else {
		c.book.UpdateLoads(from, loads)
	}
}

// learnNotices takes what another entry believes of targets by what they say.
func (c *Control) learnNotices(from string, list []peer.TargetNotice) {
	for _, n := range list {
		told, ok := n.Decode()
		if !ok {
			continue
		}
		if c.book.MergeReport(clock.Now(), told) != (notice.Change{}) {
			c.log.WithFields(logrus.Fields{"target": n.Instance, "peer": from, "limited": n.Limited, "limit": n.PerS, "leaving": n.Leaving}).Info("Target's words learned.")
		}
	}
}

// Notices implements mesh.Listener.
func (c *Control) Notices() []peer.TargetNotice {
	var out []peer.TargetNotice
	for _, told := range c.book.Reports() {
		out = append(out, peer.EncodeNotice(told))
	}
	slices.SortFunc(out, func(a, b peer.TargetNotice) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Lost implements mesh.Listener.
func (c *Control) Lost(addr string) { c.book.SetLoads(addr, nil) }

// EngineState implements mesh.Listener.
func (c *Control) EngineState(agent peer.Presence, s *peer.EngineState) {
	if s == nil {
		c.log.WithField("addr", agent.Engine).Info("Agent not heard any more.")
		c.book.DeleteState(agent.Engine)
		c.setHolder(agent, peer.EngineState{})
		return
	}
	c.setHolder(agent, *s)
	c.log.WithFields(logrus.Fields{"addr": s.Addr, "model": s.Model, "version": s.Version, "loading": s.Loading}).Info("Engine state heard.")
	c.book.SetState(s.Addr, dispatch.EngineState{Version: s.Version, Loading: s.Loading, StartMs: s.Born})
}

// setHolder notes which version an agent's engine holds.
func (c *Control) setHolder(agent peer.Presence, s peer.EngineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version == 0 || agent.Pieces == "" {
		delete(c.holders, agent.Engine)
		return
	}
	c.holders[agent.Engine] = holder{agent.Pieces, agent.Domain, s.Model, s.Version}
}

// Holders returns the agents of a failure domain whose engines hold a version.
func (c *Control) Holders(domain, model string, version int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, h := range c.holders {
		if h.domain == domain && h.model == model && h.version == version {
			out = append(out, h.addr)
		}
	}
	return out
}

// OwnLoads returns what this entry has in flight, for the other entries.
func (c *Control) OwnLoads() []peer.TargetLoad {
	own := c.book.OwnLoads()
	silent, heard := c.book.SilentTargets(clock.Now()), c.book.ResponsiveTargets(clock.Now())
	out := make([]peer.TargetLoad, 0, len(own)+len(silent))
	for id, l := range own {
		_, found := slices.BinarySearch(silent, id)
		out = append(out, peer.TargetLoad{Instance: id, Requests: l.Requests, Unread: l.PendingPrefill, Silent: found, Heard: heard[id]})
	}
	for _, id := range silent {
		if _, listed := own[id]; !listed {
			out = append(out, peer.TargetLoad{Instance: id, Silent: true})
		}
	}
	slices.SortFunc(out, func(a, b peer.TargetLoad) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

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

// holder is an agent whose engine holds a version of a model, that is, has loaded it.
type holder struct {
	addr    string // address at which the agent serves pieces of the weights
	domain  string
	model   string
	version int
}

// Loads implements mesh.Listener: it applies a report of another entry about the load and
// the state of targets.
func (c *Control) Loads(from string, l *peer.Loads) {
	c.mergeVersions(clock.Now(), from, l.Versions)
	c.mergeNotices(from, l.Notices)
	c.applyShortages(from, l.Added.Shortages)
	loads := make(map[string]dispatch.Load, len(l.Targets))
	shareSilence := !c.cfg.Off.Has(mechanism.SharedSilence)
	for _, t := range l.Targets {
		loads[t.Instance] = dispatch.Load{Requests: t.Requests, PendingPrefill: t.PendingPrefill}
		c.balancer.SetResponsive(from, t.Instance, t.Responsive && shareSilence)
		if shareSilence && t.Silent && c.balancer.Suspect(clock.Now(), t.Instance) {
			c.log.WithFields(logrus.Fields{"target": t.Instance, "peer": from}).Info("Another entry reports that the target is silent.")
		}
	}
	if c.cfg.Off.Has(mechanism.SharedLoads) {
		return
	}
	if l.Full {
		c.balancer.SetLoads(from, loads)
	} else {
		c.balancer.UpdateLoads(from, loads)
	}
}

// mergeNotices merges the notices of targets that another entry has received.
func (c *Control) mergeNotices(from string, list []peer.TargetNotice) {
	for _, n := range list {
		decoded, ok := n.Decode()
		if !ok {
			continue
		}
		if c.balancer.MergeReport(clock.Now(), decoded) != (notice.Change{}) {
			c.log.WithFields(logrus.Fields{"target": n.Instance, "peer": from, "limited": n.LimitDeclared, "limit": n.PerS, "leaving": n.Leaving}).Info("Notice of the target received from another entry.")
		}
	}
}

// Notices implements mesh.Listener: it returns the notices of targets for the other
// entries.
func (c *Control) Notices() []peer.TargetNotice {
	var out []peer.TargetNotice
	for _, received := range c.balancer.Reports() {
		out = append(out, peer.EncodeNotice(received))
	}
	slices.SortFunc(out, func(a, b peer.TargetNotice) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// EntryLost implements mesh.Listener: the load and the shortages that a lost entry reported are
// dropped.
func (c *Control) EntryLost(addr string) {
	c.balancer.SetLoads(addr, nil)
	if c.level != nil {
		c.level.Forget(addr)
	}
}

// EngineState implements mesh.Listener: it applies the state of an agent's engine; nil
// means that the agent is not reachable.
func (c *Control) EngineState(agent peer.Presence, s *peer.EngineState) {
	if s == nil {
		c.log.WithField("addr", agent.EngineAddr).Info("Agent no longer reachable.")
		c.balancer.DeleteState(agent.EngineAddr)
		c.setHolder(agent, peer.EngineState{})
		return
	}
	c.recordReport(agent, *s)
	c.setHolder(agent, *s)
	c.log.WithFields(logrus.Fields{"addr": s.Addr, "model": s.Model, "version": s.Version, "loading": s.Loading, "pace_percent": s.StatedPace()}).Info("Engine state received.")
	c.balancer.SetState(s.Addr, dispatch.EngineState{Version: s.Version, Loading: s.Loading, StartMs: s.StartMs, Pace: float64(s.StatedPace()) / 100})
}

func (c *Control) recordReport(agent peer.Presence, s peer.EngineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unproven.report(agent, s)
}

// setHolder records which version an agent's engine holds.
func (c *Control) setHolder(agent peer.Presence, s peer.EngineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version == 0 || agent.PiecesAddr == "" {
		delete(c.holders, agent.EngineAddr)
		return
	}
	c.holders[agent.EngineAddr] = holder{agent.PiecesAddr, agent.Domain, s.Model, s.Version}
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

// OwnLoads returns the load that this entry has in flight at each target, for the other
// entries.
func (c *Control) OwnLoads() []peer.TargetLoad {
	own := c.balancer.OwnLoads()
	silent, responsive := c.balancer.SilentTargets(clock.Now()), c.balancer.ResponsiveTargets(clock.Now())
	out := make([]peer.TargetLoad, 0, len(own)+len(silent))
	for id, l := range own {
		_, isSilent := slices.BinarySearch(silent, id)
		out = append(out, peer.TargetLoad{Instance: id, Requests: l.Requests, PendingPrefill: l.PendingPrefill, Silent: isSilent, Responsive: responsive[id]})
	}
	for _, id := range silent {
		if _, listed := own[id]; !listed {
			out = append(out, peer.TargetLoad{Instance: id, Silent: true})
		}
	}
	slices.SortFunc(out, func(a, b peer.TargetLoad) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

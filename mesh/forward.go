package mesh

import (
	"cmp"
	"maps"
	"slices"

	"github.com/springgate/springgate/peer"
)

// forwarded is a report that this entry passes on to the other entries, because the agent
// named it as its forwarder.
type forwarded struct {
	from   streamID
	report peer.RelayedState
}

// relayed returns the form in which a report is passed on.
func relayed(agent peer.Presence, s peer.EngineState) peer.RelayedState {
	return peer.RelayedState{EngineAddr: agent.EngineAddr, PiecesAddr: agent.PiecesAddr, Domain: agent.Domain,
		Incarnation: agent.Incarnation, State: s}
}

// engineReportOf is the reverse of relayed.
func engineReportOf(r peer.RelayedState) engineReport {
	return engineReport{peer.Presence{EngineAddr: r.EngineAddr, PiecesAddr: r.PiecesAddr, Domain: r.Domain, Incarnation: r.Incarnation}, r.State}
}

// forward takes a report that an agent sent here. It is passed on if the agent named this
// entry as its forwarder.
func (m *Mesh) forward(from streamID, agent peer.Presence, s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Forward {
		m.stopForwarding(from, agent.EngineAddr)
		return
	}
	w := relayed(agent, s)
	m.forwarded[agent.EngineAddr] = forwarded{from, w}
	m.offerReport(w)
}

// agentGone ends what was passed on for an agent's stream.
func (m *Mesh) agentGone(from streamID, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopForwarding(from, engine)
}

// stopForwarding tells the others that this entry does not forward reports of an engine any more;
// the lock is held. A newer stream of the same agent goes on.
func (m *Mesh) stopForwarding(from streamID, engine string) {
	if s, ok := m.forwarded[engine]; !ok || s.from != from {
		return
	}
	delete(m.forwarded, engine)
	m.offerReport(peer.RelayedState{EngineAddr: engine, Withdrawn: true})
}

func (m *Mesh) offerReport(w peer.RelayedState) {
	for _, l := range m.links {
		l.relay(w)
	}
}

// allForwarded returns all reports that this entry passes on; the lock is held.
func (m *Mesh) allForwarded() map[string]peer.RelayedState {
	out := make(map[string]peer.RelayedState, len(m.forwarded))
	for engine, s := range m.forwarded {
		out[engine] = s.report
	}
	return out
}

// reportsMessage joins reports that wait to be passed on.
func reportsMessage(waiting map[string]peer.RelayedState) *peer.EngineStates {
	states := slices.SortedFunc(maps.Values(waiting), func(a, b peer.RelayedState) int { return cmp.Compare(a.EngineAddr, b.EngineAddr) })
	return &peer.EngineStates{States: states}
}

// reportsHeard takes what another entry passes on.
func (m *Mesh) reportsHeard(from streamID, msg *peer.EngineStates) {
	for _, r := range msg.States {
		if r.Withdrawn {
			m.engines.drop(from, r.EngineAddr)
			continue
		}
		m.engines.hear(from, engineReportOf(r))
	}
}

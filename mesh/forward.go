package mesh

import (
	"cmp"
	"maps"
	"slices"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

// forwardedReport is a report that this entry forwards to the other entries because the
// agent named it as its forwarder.
type forwardedReport struct {
	from   streamID
	report peer.RelayedState
}

// toRelayedState returns the form in which a report is forwarded.
func toRelayedState(agent peer.Presence, s peer.EngineState) peer.RelayedState {
	return peer.RelayedState{EngineAddr: agent.EngineAddr, PiecesAddr: agent.PiecesAddr, Domain: agent.Domain,
		Incarnation: agent.Incarnation, State: s}
}

// fromRelayedState is the inverse of toRelayedState.
func fromRelayedState(r peer.RelayedState) engineReport {
	return engineReport{peer.Presence{EngineAddr: r.EngineAddr, PiecesAddr: r.PiecesAddr, Domain: r.Domain, Incarnation: r.Incarnation}, r.State}
}

// forward handles a report that an agent sent to this entry. The report is forwarded to the
// other entries if the agent named this one as its forwarder.
func (m *Mesh) forward(from streamID, agent peer.Presence, s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Forward {
		m.stopForwarding(from, agent.EngineAddr)
		return
	}
	r := toRelayedState(agent, s)
	m.forwarded[agent.EngineAddr] = forwardedReport{from, r}
	m.issueReport(r)
}

// agentStreamEnded stops forwarding the reports received on an agent's stream.
func (m *Mesh) agentStreamEnded(from streamID, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopForwarding(from, engine)
}

// stopForwarding informs the other entries that this one no longer forwards reports of an
// engine. It does nothing if a newer stream of the same agent has taken over. The lock must
// be held.
func (m *Mesh) stopForwarding(from streamID, engine string) {
	if s, ok := m.forwarded[engine]; !ok || s.from != from {
		return
	}
	delete(m.forwarded, engine)
	m.issueReport(peer.RelayedState{EngineAddr: engine, Withdrawn: true})
}

// issueReport passes a report on to the other entries: over its links or, in a large fleet, by
// gossip. The lock must be held.
func (m *Mesh) issueReport(r peer.RelayedState) {
	m.records.Forward(clock.Now(), r)
	if m.large() {
		m.wake()
		return
	}
	for _, l := range m.links {
		l.queueRelayed(r)
	}
}

// allForwarded returns all reports that this entry forwards. The lock must be held.
func (m *Mesh) allForwarded() map[string]peer.RelayedState {
	out := make(map[string]peer.RelayedState, len(m.forwarded))
	for engine, s := range m.forwarded {
		out[engine] = s.report
	}
	return out
}

// reportsMessage returns a message with the reports to be forwarded, ordered by engine.
func reportsMessage(pending map[string]peer.RelayedState) *peer.EngineStates {
	states := slices.SortedFunc(maps.Values(pending), func(a, b peer.RelayedState) int { return cmp.Compare(a.EngineAddr, b.EngineAddr) })
	return &peer.EngineStates{States: states}
}

// receiveReports handles reports that another entry forwards.
func (m *Mesh) receiveReports(from streamID, msg *peer.EngineStates) {
	for _, r := range msg.States {
		if r.Withdrawn {
			m.engines.remove(reportSource{stream: from}, r.EngineAddr)
			continue
		}
		m.engines.add(reportSource{stream: from}, fromRelayedState(r))
	}
}

package mesh

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
)

// PublishEngineState sends the state of this agent's engine to the entries that the agent
// is linked to, and to others when a link to them opens. One entry forwards it to all
// entries.
func (m *Mesh) PublishEngineState(s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := uint64(0)
	if m.latestReport != nil {
		last = m.latestReport.Seq
	}
	s.Seq = peer.NextSeq(last, s.PacePercent)
	m.latestReport = &s
	for addr, l := range m.links {
		l.setReport(m.reportFor(addr))
	}
}

// reportFor returns the agent's latest report as it is sent to the entry at addr, or nil.
// The lock must be held.
func (m *Mesh) reportFor(addr string) *peer.EngineState {
	if m.latestReport == nil {
		return nil
	}
	s := *m.latestReport
	s.Forward = addr == m.forwarder
	return &s
}

// chooseForwarder chooses another entry as forwarder if the link to the current one is lost.
// The lock must be held.
func (m *Mesh) chooseForwarder() {
	if hasAddr(m.live, m.forwarder) && m.links[m.forwarder] != nil || len(m.live) == 0 {
		return
	}
	old := m.forwarder
	m.forwarder = m.nearestLive()
	m.log.WithFields(logrus.Fields{"from": old, "forwarder": m.forwarder}).Debug("Forwarder of engine reports changed.")
	for _, addr := range []string{old, m.forwarder} {
		if l := m.links[addr]; l != nil && m.latestReport != nil {
			l.setReport(m.reportFor(addr))
		}
	}
}

// nearestLive returns a live entry, preferably of the own failure domain. The lock must be
// held.
func (m *Mesh) nearestLive() string {
	return chooseLinks(m.self, liveCandidates(m.live))[0]
}

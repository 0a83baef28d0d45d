package mesh

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
)

// PublishEngineState tells the entries that this agent is linked to the state of its engine; links
// that open later tell it first. One of them passes it on to all others.
func (m *Mesh) PublishEngineState(s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.said != nil {
		s.Seq = m.said.Seq + 1
	}
	m.said = &s
	for addr, l := range m.links {
		l.say(m.reportFor(addr))
	}
}

// reportFor returns an agent's newest report as an entry is to be told, or nil; the lock
// is held.
func (m *Mesh) reportFor(addr string) *peer.EngineState {
	if m.said == nil {
		return nil
	}
	s := *m.said
	s.Forward = addr == m.forwarder
	return &s
}

// chooseForwarder names another entry as forwarder if the link to the last one is lost;
// the lock is held.
func (m *Mesh) chooseForwarder() {
	if hasAddr(m.live, m.forwarder) && m.links[m.forwarder] != nil || len(m.live) == 0 {
		return
	}
	old := m.forwarder
	m.forwarder = m.nearestLive()
	m.log.WithFields(logrus.Fields{"from": old, "forwarder": m.forwarder}).Debug("Forwarder changed.")
	for _, addr := range []string{old, m.forwarder} {
		if l := m.links[addr]; l != nil && m.said != nil {
			l.say(m.reportFor(addr))
		}
	}
}

// nearestLive returns a live entry, of the own failure domain if there is one; the
// lock is held.
func (m *Mesh) nearestLive() string {
	var live []candidate
	for _, p := range m.live {
		live = append(live, candidate{p, true})
	}
	return chooseLinks(m.self, live)[0]
}

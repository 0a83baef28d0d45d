package mesh

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
)

// Say tells the entries that this agent is linked to the state of its engine; links
// that open later tell it first. One of them passes it on to all others.
func (m *Mesh) Say(s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.said != nil {
		s.Seq = m.said.Seq + 1
	}
	m.said = &s
	for addr, l := range m.links {
		l.say(m.wordFor(addr))
	}
}

// wordFor returns an agent's newest word as an entry is to be told, or nil; the lock
// is held.
func (m *Mesh) wordFor(addr string) *peer.EngineState {
	if m.said == nil {
		return nil
	}
	s := *m.said
	s.Speak = addr == m.speaker
	return &s
}

// chooseSpeaker names another entry as speaker if the link to the last one is lost;
// the lock is held.
func (m *Mesh) chooseSpeaker() {
	if hasAddr(m.live, m.speaker) && m.links[m.speaker] != nil || len(m.live) == 0 {
		return
	}
	old := m.speaker
	m.speaker = m.nearestLive()
	m.log.WithFields(logrus.Fields{"from": old, "speaker": m.speaker}).Debug("Speaker changed.")
	for _, addr := range []string{old, m.speaker} {
		if l := m.links[addr]; l != nil && m.said != nil {
			l.say(m.wordFor(addr))
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

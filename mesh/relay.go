package mesh

import (
	"cmp"
	"maps"
	"slices"

	"github.com/springgate/springgate/peer"
)

// spoken is a word that this entry passes on to the other entries, because the agent
// named it as its speaker.
type spoken struct {
	from streamID
	word peer.RelayedState
}

// relayed returns the form in which a word is passed on.
func relayed(agent peer.Presence, s peer.EngineState) peer.RelayedState {
	return peer.RelayedState{Engine: agent.Engine, Pieces: agent.Pieces, Domain: agent.Domain,
		Incarnation: agent.Incarnation, State: s}
}

// engineWordOf is the reverse of relayed.
func engineWordOf(r peer.RelayedState) engineWord {
	return engineWord{peer.Presence{Engine: r.Engine, Pieces: r.Pieces, Domain: r.Domain, Incarnation: r.Incarnation}, r.State}
}

// passOn takes a word that an agent said here: it is passed on if the agent wants that.
func (m *Mesh) passOn(from streamID, agent peer.Presence, s peer.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Speak {
		m.passOnNoMore(from, agent.Engine)
		return
	}
	w := relayed(agent, s)
	m.spoken[agent.Engine] = spoken{from, w}
	m.offerStates(w)
}

// agentGone ends what was passed on for an agent's stream.
func (m *Mesh) agentGone(from streamID, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passOnNoMore(from, engine)
}

// passOnNoMore tells the others that this entry does not speak for an engine any more;
// the lock is held. A newer stream of the same agent goes on.
func (m *Mesh) passOnNoMore(from streamID, engine string) {
	if s, ok := m.spoken[engine]; !ok || s.from != from {
		return
	}
	delete(m.spoken, engine)
	m.offerStates(peer.RelayedState{Engine: engine, Gone: true})
}

func (m *Mesh) offerStates(w peer.RelayedState) {
	for _, l := range m.links {
		l.relay(w)
	}
}

// allSpoken returns all words that this entry passes on; the lock is held.
func (m *Mesh) allSpoken() map[string]peer.RelayedState {
	out := make(map[string]peer.RelayedState, len(m.spoken))
	for engine, s := range m.spoken {
		out[engine] = s.word
	}
	return out
}

// statesMessage joins words that wait to be passed on.
func statesMessage(waiting map[string]peer.RelayedState) *peer.EngineStates {
	states := slices.SortedFunc(maps.Values(waiting), func(a, b peer.RelayedState) int { return cmp.Compare(a.Engine, b.Engine) })
	return &peer.EngineStates{States: states}
}

// statesHeard takes what another entry passes on.
func (m *Mesh) statesHeard(from streamID, msg *peer.EngineStates) {
	for _, r := range msg.States {
		if r.Gone {
			m.engines.drop(from, r.Engine)
			continue
		}
		m.engines.hear(from, engineWordOf(r))
	}
}

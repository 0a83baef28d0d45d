package mesh

import (
	"context"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

// known returns this entry and the live others, for those who ask, and a channel that
// is closed when they change.
func (m *Mesh) known() (self peer.Presence, live []peer.Presence, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.presence(), m.live, m.changed
}

// Serve handles a stream that another process opened with its Presence.
func (m *Mesh) Serve(ctx context.Context, s *peer.Stream, first *peer.Presence) {
	if first.Addr != "" {
		m.heard(*first)
	}
	go m.tell(ctx, s, *first)
	id := m.engines.open()
	for {
		msg, err := s.Recv(ctx)
		if err != nil {
			break
		}
		m.take(id, first, msg)
	}
	m.agentGone(id, first.EngineAddr)
	m.engines.end(id)
}

// take handles one message of a stream that another process opened.
func (m *Mesh) take(id streamID, first *peer.Presence, msg peer.Message) {
	switch v := msg.(type) {
	case *peer.Loads:
		from := *first
		from.Leaving, from.Revision, from.Store = v.Leaving, v.Revision, v.Store
		m.heard(from)
		m.compareCopies(clock.Now(), from.Addr, v)
		if v.Full {
			m.compareCrashes(clock.Now(), from.Addr, v.CrashDigest)
		}
		m.listener.Loads(from.Addr, v)
	case *peer.EngineState:
		m.engines.hear(id, engineReport{*first, *v})
		m.forward(id, *first, *v)
	case *peer.EngineStates:
		m.reportsHeard(id, v)
	case *peer.Crashes:
		m.learnCrashes(v)
	}
}

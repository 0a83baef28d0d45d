package mesh

import (
	"context"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

// knownEntries returns this entry and the live others as sent to other processes, and a
// channel that is closed when they change.
func (m *Mesh) knownEntries() (self peer.Presence, live []peer.Presence, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.presence(), m.live, m.liveChanged
}

// Serve handles a stream that another process opened with its Presence.
func (m *Mesh) Serve(ctx context.Context, s *peer.Stream, first *peer.Presence) {
	if first.Addr != "" {
		m.observe(*first)
		m.streamAccepted(first.Addr, 1)
		defer m.streamAccepted(first.Addr, -1)
	}
	go m.sendMembers(ctx, s, *first)
	id := m.engines.openStream()
	for {
		msg, err := s.Recv(ctx)
		if err != nil {
			break
		}
		if digest, ok := msg.(*peer.GossipDigest); ok {
			if s.Send(ctx, m.answerDigest(digest)) != nil {
				break
			}
			continue
		}
		m.handle(id, first, msg)
	}
	m.agentStreamEnded(id, first.EngineAddr)
	m.engines.removeSource(reportSource{stream: id})
}

// handle processes one message of a stream that another process opened.
func (m *Mesh) handle(id streamID, first *peer.Presence, msg peer.Message) {
	switch v := msg.(type) {
	case *peer.Loads:
		from := *first
		from.Leaving, from.Revision, from.Store = v.Leaving, v.Revision, v.Store
		m.observe(from)
		m.compareCopies(clock.Now(), from.Addr, v)
		if v.Full {
			m.compareCrashDigest(clock.Now(), from.Addr, v.CrashDigest)
		}
		m.listener.Loads(from.Addr, v)
	case *peer.EngineState:
		m.engines.add(reportSource{stream: id}, engineReport{*first, *v})
		m.forward(id, *first, *v)
	case *peer.EngineStates:
		m.receiveReports(id, v)
	case *peer.Crashes:
		m.mergeCrashes(v)
	case *peer.Gossip:
		m.mergeGossip(first.Addr, v)
	}
}

package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// peerSource is a peer's copy of the store as a source of mirrors.
type peerSource struct {
	mesh *Mesh
	addr string
}

// readerCount is how many entries watch the store itself; the others follow
// these. Three stand in most failure domains, and one that the store turns away
// is noticed by the others' revisions.
const readerCount = 3

// readerKey is what the readers are chosen by.
const readerKey = "store readers"

// Reader returns the reader of the store that this entry follows, or nil if it
// is one itself. All entries that know the same members choose the same.
func (m *Mesh) Reader() mirror.Source {
	addrs := []string{m.self.Addr}
	for _, p := range m.Entries() {
		addrs = append(addrs, p.Addr)
	}
	readers := membership.Rank(readerKey, addrs, readerCount)
	if slices.Contains(readers, m.self.Addr) {
		return nil
	}
	return &peerSource{mesh: m, addr: membership.First(m.self.Host, readers)}
}

// Source returns the copy of a live entry, or nil if there is none.
func (m *Mesh) Source() mirror.Source {
	nearest := m.Nearest(m.self.Host, 1)
	if len(nearest) == 0 {
		return nil
	}
	return &peerSource{mesh: m, addr: nearest[0]}
}

// Name implements mirror.Source.
func (s *peerSource) Name() string { return "peer " + s.addr }

// Range implements mirror.Source.
func (s *peerSource) Range(ctx context.Context, _ string) (mirror.Batch, error) {
	return s.read(ctx, &peer.MirrorRead{All: true})
}

// Watch implements mirror.Source.
func (s *peerSource) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (mirror.Batch, error) {
	return s.read(ctx, &peer.MirrorRead{After: after, WaitMs: wait.Milliseconds()})
}

func (s *peerSource) read(ctx context.Context, q *peer.MirrorRead) (mirror.Batch, error) {
	msg, err := s.mesh.pool.Call(ctx, s.addr, peer.Control, q)
	if err != nil {
		s.mesh.lost(s.addr)
		return mirror.Batch{}, errors.Wrap(mirror.ErrUnavailable, err.Error())
	}
	reply, ok := msg.(*peer.MirrorBatch)
	if !ok || reply.Status == peer.MirrorEmpty {
		return mirror.Batch{}, mirror.ErrUnavailable
	}
	if reply.Status == peer.MirrorCompacted {
		return mirror.Batch{}, mirror.ErrCompacted
	}
	b := mirror.Batch{Revision: reply.Revision, Age: time.Duration(reply.AgeMs) * time.Millisecond}
	for _, e := range reply.Events {
		b.Events = append(b.Events, mirror.Event{Deleted: e.Deleted,
			Item: mirror.Item{Key: e.Key, Value: e.Value, Revision: e.Revision}})
	}
	return b, nil
}

// ServeMirror answers a peer's read of this process's copy.
func (m *Mesh) ServeMirror(ctx context.Context, s *peer.Stream, q *peer.MirrorRead) {
	reply := m.readMirror(ctx, q)
	// The reader notices a reply that does not arrive by its own timeout.
	_ = s.SendLast(ctx, reply)
}

func (m *Mesh) readMirror(ctx context.Context, q *peer.MirrorRead) *peer.MirrorBatch {
	var b mirror.Batch
	var err error
	if q.All {
		b, err = m.table.Range(time.Now())
	} else {
		b, err = m.table.Watch(ctx, q.After, time.Duration(q.WaitMs)*time.Millisecond)
	}
	switch {
	case errors.Is(err, mirror.ErrCompacted):
		return &peer.MirrorBatch{Status: peer.MirrorCompacted}
	case err != nil:
		return &peer.MirrorBatch{Status: peer.MirrorEmpty}
	}
	out := &peer.MirrorBatch{Revision: b.Revision, AgeMs: b.Age.Milliseconds()}
	for _, e := range b.Events {
		out.Events = append(out.Events, peer.MirrorEvent{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return out
}

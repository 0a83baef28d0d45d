package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// peerSource is a peer's copy of the store as a mirror.Source.
type peerSource struct {
	mesh *Mesh
	addr string
}

// Name implements mirror.Source.
func (s *peerSource) Name() string { return "peer " + s.addr }

// Range implements mirror.Source.
func (s *peerSource) Range(ctx context.Context, _ string) (mirror.Batch, error) {
	return s.read(ctx, &peer.MirrorRead{All: true, WaitMs: s.mesh.firstCopyWaitMs(), Added: peer.MirrorReadAdded{Packed: true}})
}

// Watch implements mirror.Source.
func (s *peerSource) Watch(ctx context.Context, _ string, after mirror.Revision, wait time.Duration) (mirror.Batch, error) {
	return s.read(ctx, &peer.MirrorRead{After: after, WaitMs: wait.Milliseconds()})
}

func (s *peerSource) read(ctx context.Context, q *peer.MirrorRead) (mirror.Batch, error) {
	begun := clock.Now()
	msg, err := s.mesh.pool.Call(ctx, s.addr, peer.Control, q)
	if errors.Is(ctx.Err(), context.Canceled) {
		return mirror.Batch{}, ctx.Err() // cancelled by the caller; the peer may be healthy
	}
	if err != nil {
		s.mesh.markUnreachable(s.addr)
		return mirror.Batch{}, errors.Wrap(mirror.ErrUnavailable, err.Error())
	}
	reply, ok := msg.(*peer.MirrorBatch)
	if !ok || reply.Status == peer.MirrorEmpty {
		return mirror.Batch{}, mirror.ErrUnavailable
	}
	if reply.Status == peer.MirrorCompacted {
		return mirror.Batch{}, mirror.ErrCompacted
	}
	// The answer is older on arrival than the peer stated, by at most the elapsed time less
	// the time for which the peer waited for changes.
	transit := clock.Since(begun) - time.Duration(reply.WaitedMs)*time.Millisecond
	b := mirror.Batch{Revision: reply.Revision, MaxRevision: reply.MaxRevision, Age: time.Duration(reply.AgeMs)*time.Millisecond + max(0, transit)}
	events := reply.Events
	if reply.Added.Packed != nil {
		if events, err = peer.UnpackEvents(reply.Added.Packed); err != nil {
			return mirror.Batch{}, errors.Wrap(mirror.ErrUnavailable, err.Error())
		}
	}
	for _, e := range events {
		b.Events = append(b.Events, mirror.Event{Deleted: e.Deleted,
			Item: mirror.Item{Key: e.Key, Value: e.Value, Revision: e.Revision}})
	}
	return b, nil
}

// ServeMirror answers a peer's read of this process's copy.
func (m *Mesh) ServeMirror(ctx context.Context, s *peer.Stream, q *peer.MirrorRead) {
	reply := m.readMirror(ctx, q, s.Conn().Remote().Host)
	// On failure the reader's timeout applies.
	_ = s.SendLast(ctx, reply)
}

func (m *Mesh) readMirror(ctx context.Context, q *peer.MirrorRead, follower string) *peer.MirrorBatch {
	var b mirror.Batch
	var err error
	begun := clock.Now()
	wait := time.Duration(q.WaitMs) * time.Millisecond
	switch {
	case q.All:
		m.table.AwaitFirst(ctx, wait)
		b, err = m.table.Range(clock.Now())
	case m.isLarge():
		b, err = m.table.WatchConfirmed(ctx, q.After, wait, m.told.last(follower))
		m.told.record(follower, b)
	default:
		b, err = m.table.Watch(ctx, q.After, wait)
		if err == nil && b.HasGap() {
			err = mirror.ErrCompacted // earlier releases, which a small fleet may have, know no gaps
		}
	}
	switch {
	case errors.Is(err, mirror.ErrCompacted):
		return &peer.MirrorBatch{Status: peer.MirrorCompacted}
	case err != nil:
		return &peer.MirrorBatch{Status: peer.MirrorEmpty}
	}
	reply := answer(begun, b)
	if q.All && q.Added.Packed {
		m.packedCopy.pack(reply)
	}
	return reply
}

// answer returns the message for a batch, in reply to a request that arrived at begun. This
// process counts as waiting until it measured the age of its copy; later delays are not part of
// WaitedMs, so that the reader adds them to the age.
func answer(begun time.Time, b mirror.Batch) *peer.MirrorBatch {
	out := &peer.MirrorBatch{Revision: b.Revision, MaxRevision: b.MaxRevision, AgeMs: milliseconds(b.Age), WaitedMs: b.AgeMeasuredAt.Sub(begun).Milliseconds()}
	for _, e := range b.Events {
		out.Events = append(out.Events, peer.MirrorEvent{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return out
}

// confirmationsTold holds, by follower, the time of the newest confirmation of the copy that it was
// told.
type confirmationsTold struct {
	mu sync.Mutex
	at map[string]time.Time
}

// toldMemory is how long it is known what a follower was told: much longer than it waits for
// changes.
const toldMemory = 30 * time.Second

func (c *confirmationsTold) last(follower string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at[follower]
}

func (c *confirmationsTold) record(follower string, b mirror.Batch) {
	if b.AgeMeasuredAt.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = map[string]time.Time{}
	}
	c.at[follower] = b.AgeMeasuredAt.Add(-b.Age)
	for f, at := range c.at {
		if b.AgeMeasuredAt.Sub(at) >= toldMemory {
			delete(c.at, f)
		}
	}
}

package agent

import (
	"context"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/peer"
)

// wordBits is the number of chunks, one per bit, in one word of a bitmap.
const wordBits = 64

// subscribe keeps a stream open to each neighbour, on which the neighbour reports which
// chunks it holds. It runs on the loop.
func (w *weights) subscribe(t *transfer) {
	want := map[string]bool{}
	for _, h := range t.planner.Neighbours() {
		want[h] = true
		if t.subscriptions[h] == nil {
			ctx, stop := context.WithCancel(t.ctx)
			t.subscriptions[h] = stop
			go w.followNeighbour(ctx, t, h)
		}
	}
	for h, stop := range t.subscriptions {
		if !want[h] {
			stop()
			delete(t.subscriptions, h)
		}
	}
}

// followNeighbour receives reports of which chunks one neighbour holds until ctx ends, and
// reconnects after errors.
func (w *weights) followNeighbour(ctx context.Context, t *transfer, host string) {
	for ctx.Err() == nil {
		if m, ok := w.node.Snapshot().Member(host); ok {
			w.followOnce(ctx, t, host, m.Addr)
			w.loop.Post(func() { t.planner.PeerGone(host) })
		}
		loop.Sleep(ctx, subscribeRetry)
	}
}

func (w *weights) followOnce(ctx context.Context, t *transfer, host, addr string) {
	c, err := w.pool.Get(ctx, addr, peer.Control)
	if err != nil {
		return
	}
	s, err := c.Open(ctx, &peer.Have{Manifest: t.id})
	if err != nil {
		return
	}
	defer s.Close()
	for {
		m, err := s.Recv(ctx)
		if err != nil {
			return
		}
		if have, ok := m.(*peer.Have); ok {
			w.loop.Post(func() { w.applyHave(t, host, have) })
		}
	}
}

func (w *weights) applyHave(t *transfer, host string, m *peer.Have) {
	if t.ctx.Err() != nil || m.Count != len(t.manifest.Chunks) {
		return
	}
	if len(m.Bits) > 0 {
		t.planner.PeerHolds(host, m.Bits)
	} else {
		t.planner.PeerGained(host, m.Added)
	}
	w.schedule(t)
}

// handleHave reports to a neighbour which chunks of a version this host holds: first all
// of them, then those that are added.
func (w *weights) handleHave(ctx context.Context, s *peer.Stream, m *peer.Have) {
	h := w.awaitHolding(ctx, m.Manifest)
	if h == nil {
		return
	}
	sent := 0
	for {
		more, changed := h.since(sent)
		if msg := haveMessage(m.Manifest, h.count, sent, more); msg != nil {
			if s.Send(ctx, msg) != nil {
				return
			}
			sent += len(more)
		}
		select {
		case <-changed:
			loop.Sleep(ctx, w.cfg.HaveInterval)
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// haveMessage returns a message that reports the chunks in more. It has a bitmap if it is
// the first message, that is, if sent is 0, and a list of the added chunks otherwise.
// haveMessage returns nil if there is nothing to send.
func haveMessage(id digest.Digest, count, sent int, more []uint32) *peer.Have {
	if len(more) == 0 {
		return nil
	}
	if sent > 0 {
		return &peer.Have{Manifest: id, Count: count, Added: more}
	}
	bits := make([]uint64, (count+wordBits-1)/wordBits)
	for _, c := range more {
		bits[c/wordBits] |= 1 << (c % wordBits)
	}
	return &peer.Have{Manifest: id, Count: count, Bits: bits}
}

// awaitHolding waits until this host knows the version. It returns nil if ctx ends first.
func (w *weights) awaitHolding(ctx context.Context, id digest.Digest) *holding {
	for {
		w.mu.Lock()
		h, holdingAdded := w.holdings[id], w.holdingAdded
		w.mu.Unlock()
		if h != nil {
			return h
		}
		select {
		case <-holdingAdded:
		case <-ctx.Done():
			return nil
		}
	}
}

// handleGetChunk sends a chunk or manifest to a peer, within Config.LinkRate. If this host is
// still fetching the chunk, it waits for the chunk for at most the time that the peer
// allows.
func (w *weights) handleGetChunk(ctx context.Context, s *peer.Stream, m *peer.GetChunk) {
	b, pending := w.awaitChunk(ctx, m)
	if b != nil && w.up.wait(ctx, len(b)) != nil {
		return
	}
	w.counters.served.Inc(int64(len(b)))
	_ = s.SendLast(ctx, &peer.Blob{Found: b != nil, Pending: pending, Data: b})
}

// recheckInterval is how often a peer's request that waits for a chunk checks whether the
// chunk is still expected to arrive.
const recheckInterval = time.Second

func (w *weights) awaitChunk(ctx context.Context, m *peer.GetChunk) (b []byte, pending bool) {
	limit := clock.NewTimer(time.Duration(m.WaitMs) * time.Millisecond)
	defer limit.Stop()
	for {
		arrived := w.arrival(m)
		if b := w.chunks.get(m.Digest); b != nil {
			return b, false
		}
		if !w.pending(m) {
			return nil, false
		}
		recheck := clock.NewTimer(recheckInterval)
		select {
		case <-arrived:
		case <-recheck.C:
		case <-limit.C:
			recheck.Stop()
			return nil, true
		case <-ctx.Done():
			recheck.Stop()
			return nil, false
		}
		recheck.Stop()
	}
}

// arrival returns a channel that is closed when the chunk arrives or, if its version is
// not known here yet, when any further version becomes known.
func (w *weights) arrival(m *peer.GetChunk) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.holdings[m.Manifest]; h != nil {
		return h.arrival(m.Index)
	}
	return w.holdingAdded
}

// pending reports whether a chunk that is not held here is expected to arrive.
func (w *weights) pending(m *peer.GetChunk) bool {
	pending := false
	_ = w.loop.Call(func() {
		t := w.transfers[m.Manifest]
		switch {
		case t == nil || t.failed != nil:
			pending = false
		case t.planner == nil:
			pending = true // the manifest is being fetched
		default:
			pending = m.Index >= 0 && m.Index < len(t.manifest.Chunks) && t.planner.Pending(clock.Now(), m.Index)
		}
	})
	return pending
}

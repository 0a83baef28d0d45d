package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/weightstore"
)

func (w *weights) scheduleAll() {
	for _, t := range w.transfers {
		w.schedule(t)
	}
}

// schedule cancels the fetches that have timed out and starts all that the planner allows
// now.
func (w *weights) schedule(t *transfer) {
	if t.planner == nil || t.failed != nil {
		return
	}
	now := clock.Now()
	for _, f := range t.planner.Expired(now) {
		t.fetches[f]()
		delete(t.fetches, f)
		t.planner.Failed(now, f, spread.FaultUnreachable, 0)
	}
	for {
		f, ok := t.planner.Next(now)
		if !ok {
			return
		}
		ctx, cancel := context.WithCancel(t.ctx)
		t.fetches[f] = cancel
		go w.fetch(ctx, t, f, w.sources)
	}
}

// fetch retrieves and verifies one chunk and posts the result to the loop.
func (w *weights) fetch(ctx context.Context, t *transfer, f spread.Fetch, sources map[intent.SourceKind]*weightstore.Client) {
	want := t.manifest.Chunks[f.Chunk]
	b, err := w.read(ctx, t, f, want, sources)
	if err == nil && digest.Of(b) != want {
		err = errCorrupt
	}
	if err == nil {
		err = w.down.wait(ctx, len(b))
	}
	if ctx.Err() != nil {
		return // the loop has cancelled this fetch and updates the planner itself
	}
	w.loop.Post(func() { w.handleFetched(t, f, want, b, err) })
}

// errCorrupt is returned if a chunk does not match its digest.
var errCorrupt = errors.New("agent: chunk does not match its digest")

func (w *weights) read(ctx context.Context, t *transfer, f spread.Fetch, want digest.Digest, sources map[intent.SourceKind]*weightstore.Client) ([]byte, error) {
	kind := intent.Origin
	switch f.Kind {
	case spread.FromPeer:
		return w.chunkFromPeer(ctx, f.Peer, &peer.GetChunk{Digest: want, Manifest: t.id, Index: f.Chunk, WaitMs: f.LongPollTimeout.Milliseconds()})
	case spread.FromStore:
		kind = intent.Store
	}
	c := sources[kind]
	if c == nil {
		return nil, weightstore.ErrUnavailable
	}
	return c.Chunk(ctx, want)
}

func (w *weights) chunkFromPeer(ctx context.Context, host string, req *peer.GetChunk) ([]byte, error) {
	m, ok := w.node.Snapshot().Member(host)
	if !ok {
		return nil, weightstore.ErrUnavailable
	}
	reply, err := w.pool.Call(ctx, m.Addr, peer.Bulk, req)
	if err != nil {
		return nil, err
	}
	switch b, ok := reply.(*peer.Blob); {
	case !ok:
		return nil, weightstore.ErrUnavailable
	case b.Found:
		return b.Data, nil
	case b.Pending:
		return nil, errPending
	}
	return nil, weightstore.ErrNotFound
}

// errPending is returned if the peer has not received the chunk yet either.
var errPending = errors.New("agent: peer is still waiting for the chunk")

// handleFetched processes the result of a fetch. It runs on the loop.
func (w *weights) handleFetched(t *transfer, f spread.Fetch, want digest.Digest, b []byte, err error) {
	cancel, known := t.fetches[f]
	if !known || t.ctx.Err() != nil {
		return
	}
	cancel()
	delete(t.fetches, f)
	now := clock.Now()
	if err == nil {
		err = w.chunks.put(want, b)
	}
	var throttled *httpclient.ThrottledError
	switch {
	case err == nil:
		w.recordFetched(t, f, len(b), now)
	case errors.Is(err, errWeightMemory):
		w.fail(t, err)
	case errors.Is(err, errCorrupt):
		w.counters.corrupt.Inc(1)
		w.log.WithField("chunk", f.Chunk).WithField("from", f.Kind.String()+" "+f.Peer).Warn("Chunk is corrupt.")
		t.planner.Failed(now, f, spread.FaultCorrupt, 0)
	case errors.As(err, &throttled):
		w.counters.limited.Inc(1)
		t.planner.Failed(now, f, spread.FaultRateLimited, throttled.RetryAfter)
	case errors.Is(err, errPending):
		t.planner.Failed(now, f, spread.FaultPending, 0)
	case errors.Is(err, weightstore.ErrNotFound):
		t.planner.Failed(now, f, spread.FaultMissing, 0)
	default:
		w.counters.failed.Inc(1)
		t.planner.Failed(now, f, spread.FaultUnreachable, 0)
	}
	w.schedule(t)
}

func (w *weights) recordFetched(t *transfer, f spread.Fetch, n int, now time.Time) {
	t.planner.Done(now, f)
	t.holding.add(f.Chunk)
	switch {
	case f.Kind == spread.FromStore:
		w.counters.fromStore.Inc(int64(n))
	case f.Kind == spread.FromOrigin:
		w.counters.fromOrigin.Inc(int64(n))
	case f.CrossDomain:
		w.counters.fromOtherDomain.Inc(int64(n))
		w.counters.fromPeer.Inc(int64(n))
	default:
		w.counters.fromPeer.Inc(int64(n))
	}
	if t.planner.Complete() {
		w.log.WithField("version", t.id.Short()).Info("All chunks of version received.")
		w.onComplete()
	}
}

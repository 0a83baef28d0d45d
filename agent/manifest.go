package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/weightstore"
)

// fetchManifest fetches a manifest and retries until it succeeds. All hosts compute
// the same few hosts as the readers of a manifest. Only the readers read the manifest from a
// source first, and the other hosts fetch it from the readers, so that sources receive few
// reads.
func (w *weights) fetchManifest(t *transfer, goal intent.Spread) {
	for t.ctx.Err() == nil {
		m, b, err := w.readManifest(t)
		if err == nil {
			w.loop.Post(func() { w.begin(t, m, b, goal) })
			return
		}
		w.log.WithField("version", t.id.Short()).WithError(err).Debug("Could not read manifest. Retrying.")
		jitter := time.Duration(rand.Int64N(int64(manifestRetry)))
		loop.Sleep(t.ctx, manifestRetry/2+jitter)
	}
}

// manifestReaders is the number of hosts that read a manifest from a source first.
const manifestReaders = 2

func (w *weights) readManifest(t *transfer) (*spread.Manifest, []byte, error) {
	ctx, cancel := clock.WithTimeout(t.ctx, manifestTimeout)
	defer cancel()
	var nodes []string
	sources := map[intent.SourceKind]*weightstore.Client{}
	if err := w.loop.Call(func() {
		for _, n := range w.nodes {
			nodes = append(nodes, n.Host)
		}
		for k, c := range w.sources {
			sources[k] = c
		}
	}); err != nil {
		return nil, nil, err
	}
	readers := membership.Rank("manifest/"+t.id.String(), nodes, manifestReaders)
	isReader := false
	for _, h := range readers {
		isReader = isReader || h == w.self.Host
	}
	if !isReader {
		for _, h := range readers {
			b, err := w.chunkFromPeer(ctx, h, &peer.GetChunk{Digest: t.id})
			if err != nil {
				continue
			}
			if m, err := spread.ParseManifest(b, t.id); err == nil {
				return m, b, nil
			}
		}
	}
	return manifestFromSources(ctx, sources, t.id)
}

// manifestFromSources reads a manifest from the store or, if the store does not return a
// valid one, from the origin.
func manifestFromSources(ctx context.Context, sources map[intent.SourceKind]*weightstore.Client, id digest.Digest) (*spread.Manifest, []byte, error) {
	err := weightstore.ErrUnavailable
	for _, k := range []intent.SourceKind{intent.Store, intent.Origin} {
		c := sources[k]
		if c == nil {
			continue
		}
		var b []byte
		if b, err = c.Manifest(ctx, id); err != nil {
			continue
		}
		var m *spread.Manifest
		if m, err = spread.ParseManifest(b, id); err == nil {
			return m, b, nil
		}
	}
	return nil, nil, err
}

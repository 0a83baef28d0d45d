package sidecar

import (
	"context"
	"io"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// endlessEngine never ends the bytes of a staged piece.
type endlessEngine struct{ *fakeEngine }

func (endlessEngine) StagedPiece(ctx context.Context, _, _ string, _ int) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against an engine that never ends a staged piece, the read of which lasted as long as an entry waited.
func TestEndlessStagedPieceIsNotAwaitedForAnEntry(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Config{CallTimeout: 10 * time.Millisecond}, endlessEngine{&fakeEngine{}}, "engine", &fakeSource{}, func(peer.EngineState) {},
		NewStats(metrics.NewRegistry()), log)
	server, err := peer.Listen("127.0.0.1:0", peer.Hello{}, s.ServePiece, &peer.Meter{})
	assert.NilError(t, err)
	defer server.Close()
	pool := peer.NewPool(peer.Hello{}, nil, &peer.Meter{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := pool.Call(ctx, server.Addr(), peer.Bulk, &peer.GetPiece{Model: "m", Version: 1})
	assert.NilError(t, err)
	assert.Assert(t, !reply.(*peer.Blob).Found)
}

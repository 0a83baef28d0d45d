package weights

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/peer"
)

// Want holds the pieces of a version in place of older ones. It reads those for
// which this entry is the reader of its failure domain before an agent asks for
// them: by then the origin may be away.
func (r *Relay) Want(ctx context.Context, model string, version, pieces int) {
	if r.Hold(model, version) {
		go r.prefetch(ctx, model, version, pieces)
	}
}

// Hold holds the pieces of a version in place of older ones as agents ask for
// them. That is enough for a version that was announced before this process
// started: most engines have it staged, and reading it ahead would only keep
// the origin's link from the manifest, without which they cannot go on. It
// reports whether the version is new here.
func (r *Relay) Hold(model string, version int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.versions[model]; h != nil && h.version >= version {
		return false
	}
	r.versions[model] = &held{version: version, pieces: map[int][]byte{}}
	return true
}

func (r *Relay) prefetch(ctx context.Context, model string, version, pieces int) {
	start := time.Now()
	r.awaitHolders(ctx, model, version)
	fetched := 0
	var wg sync.WaitGroup
	slots := make(chan struct{}, r.cfg.OriginConns)
	for i := range pieces {
		if r.reader(PieceKey(model, version, i), r.self.Domain) != r.self.Addr {
			continue
		}
		fetched++
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if _, err := r.Piece(ctx, &peer.GetPiece{Model: model, Version: version, Index: i}); err != nil {
				r.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": version, "piece": i}).Warn("Piece not read ahead.")
			}
		}()
	}
	wg.Wait()
	r.log.WithFields(logrus.Fields{"model": model, "version": version, "pieces": fetched,
		"ms": time.Since(start).Milliseconds()}).Info("Own pieces read.")
}

// awaitHolders waits for agents that have the version staged already, if there
// is reason to expect any: a version that engines held at their start.
func (r *Relay) awaitHolders(ctx context.Context, model string, version int) {
	if version > firstVersion {
		return
	}
	deadline := time.Now().Add(r.cfg.HolderWait)
	for time.Now().Before(deadline) && len(r.holders(r.self.Domain, model, version)) == 0 {
		if !loop.Sleep(ctx, holderPoll) {
			return
		}
	}
}

// firstVersion is the version that engines may hold when the fleet starts.
const firstVersion = 1

// holderPoll is the time between two looks for holders.
const holderPoll = 100 * time.Millisecond

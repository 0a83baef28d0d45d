package weights

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/peer"
)

// Prefetch retains the pieces of a version, as Hold does, and fetches those for which this entry
// is the reader of its failure domain (see the package comment) in the background, since the
// origin may be unavailable when agents request them.
func (r *Relay) Prefetch(ctx context.Context, model string, version, pieces int) {
	if r.Hold(model, version) {
		go r.prefetch(ctx, model, version, pieces)
	}
}

// Hold makes the relay retain the pieces of a version that are requested from then on. That
// is sufficient for a version that was announced before this process started: most engines
// have it staged. Prefetching the pieces would only delay the manifest on the origin's
// link, and agents cannot proceed without the manifest. Hold reports whether the version is
// newer than those held already.
func (r *Relay) Hold(model string, version int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	before := r.versions[model]
	if len(before) > 0 && before[0].version >= version {
		return false
	}
	next := []*heldVersion{{version: version, since: now, pieces: map[int][]byte{}}}
	if len(before) > 0 && now.Sub(before[0].since) < r.cfg.Overlap {
		next = append(next, before[0])
	}
	r.versions[model] = next
	return true
}

// prefetch fetches the pieces for which this entry is the reader of its failure domain, until
// all of them are in memory or the version has been discarded in favour of newer ones.
func (r *Relay) prefetch(ctx context.Context, model string, version, pieces int) {
	start := clock.Now()
	r.awaitHolders(ctx, model, version)
	for {
		missing := r.missingOwnPieces(model, version, pieces)
		if len(missing) == 0 {
			break
		}
		err := r.prefetchPieces(ctx, model, version, missing)
		if err == nil {
			continue
		}
		r.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": version, "missing": len(missing),
			"ms": clock.Since(start).Milliseconds()}).Warn("Prefetch of pieces failed.")
		if !r.recovery.wait(ctx, r.cfg.PrefetchRetryPause) {
			return
		}
	}
	r.log.WithFields(logrus.Fields{"model": model, "version": version,
		"ms": clock.Since(start).Milliseconds()}).Info("Prefetch of own pieces ended.")
}

// missingOwnPieces returns the pieces for which this entry is the reader of its failure domain
// and which are not in memory. It returns none if the version has been discarded.
func (r *Relay) missingOwnPieces(model string, version, pieces int) []int {
	var own []int
	for i := range pieces {
		if r.reader(PieceKey(model, version, i), r.self.Domain) == r.self.Addr {
			own = append(own, i)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held(model, version)
	if h == nil {
		return nil
	}
	var out []int
	for _, i := range own {
		if h.pieces[i] == nil {
			out = append(out, i)
		}
	}
	return out
}

// prefetchPieces reads pieces concurrently and returns an error if any read failed.
func (r *Relay) prefetchPieces(ctx context.Context, model string, version int, pieces []int) error {
	var wg sync.WaitGroup
	errs := make([]error, len(pieces))
	slots := make(chan struct{}, r.cfg.OriginConns)
	for k, i := range pieces {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			_, errs[k] = r.Piece(ctx, &peer.GetPiece{Model: model, Version: version, Index: i})
			r.setFailing(model, version, errs[k] != nil)
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Relay) setFailing(model string, version int, failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.held(model, version); h != nil {
		h.failing = failing
	}
}

// Failing reports whether the latest prefetch of a piece of a version failed.
func (r *Relay) Failing(model string, version int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held(model, version)
	return h != nil && h.failing
}

// awaitHolders waits for an agent that has already staged the version, from which the
// pieces can be read instead of the origin. It does so only for a version that engines may
// hold when the fleet starts.
func (r *Relay) awaitHolders(ctx context.Context, model string, version int) {
	if version > firstVersion {
		return
	}
	deadline := clock.Now().Add(r.cfg.HolderWait)
	for clock.Now().Before(deadline) && len(r.holders(r.self.Domain, model, version)) == 0 {
		if !loop.Sleep(ctx, holderPollInterval) {
			return
		}
	}
}

// firstVersion is the version that engines may hold when the fleet starts.
const firstVersion = 1

// holderPollInterval is the interval between checks for agents that have staged a version.
const holderPollInterval = 100 * time.Millisecond

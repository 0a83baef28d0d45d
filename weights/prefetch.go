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

// Want holds the pieces of a version. It reads those for which this entry is the
// reader of its failure domain before an agent asks for them: by then the origin
// may be away.
func (r *Relay) Want(ctx context.Context, model string, version, pieces int) {
	if r.Hold(model, version) {
		go r.prefetch(ctx, model, version, pieces)
	}
}

// Hold holds the pieces of a version as agents ask for them. That is enough for
// a version that was announced before this process started: most engines have it
// staged, and reading it ahead would only keep the origin's link from the
// manifest, without which they cannot go on. It reports whether the version is
// new here.
func (r *Relay) Hold(model string, version int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	before := r.versions[model]
	if len(before) > 0 && before[0].version >= version {
		return false
	}
	next := []*held{{version: version, since: now, pieces: map[int][]byte{}}}
	if len(before) > 0 && now.Sub(before[0].since) < r.cfg.Overlap {
		next = append(next, before[0])
	}
	r.versions[model] = next
	return true
}

// prefetch reads the pieces of which this entry is the reader until it has all
// of them, or the version is no longer held.
func (r *Relay) prefetch(ctx context.Context, model string, version, pieces int) {
	start := clock.Now()
	r.awaitHolders(ctx, model, version)
	for {
		missing := r.ownMissing(model, version, pieces)
		if len(missing) == 0 {
			break
		}
		err := r.readAhead(ctx, model, version, missing)
		if err == nil {
			continue
		}
		r.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": version, "missing": len(missing),
			"ms": clock.Since(start).Milliseconds()}).Warn("Pieces not read ahead.")
		if !r.recovery.pause(ctx, r.cfg.PrefetchRetryPause) {
			return
		}
	}
	r.log.WithFields(logrus.Fields{"model": model, "version": version,
		"ms": clock.Since(start).Milliseconds()}).Info("Own pieces read.")
}

// ownMissing returns the pieces of which this entry is the reader and that it
// does not hold; none if the version is no longer held.
func (r *Relay) ownMissing(model string, version, pieces int) []int {
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

// readAhead reads pieces, several at once, and returns an error if any failed.
func (r *Relay) readAhead(ctx context.Context, model string, version int, pieces []int) error {
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

// Failing reports whether pieces of a version could not be read ahead lately.
func (r *Relay) Failing(model string, version int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held(model, version)
	return h != nil && h.failing
}

// awaitHolders waits for agents that have the version staged already, if there
// is reason to expect any: a version that engines held at their start.
func (r *Relay) awaitHolders(ctx context.Context, model string, version int) {
	if version > firstVersion {
		return
	}
	deadline := clock.Now().Add(r.cfg.HolderWait)
	for clock.Now().Before(deadline) && len(r.holders(r.self.Domain, model, version)) == 0 {
		if !loop.Sleep(ctx, holderPoll) {
			return
		}
	}
}

// firstVersion is the version that engines may hold when the fleet starts.
const firstVersion = 1

// holderPoll is the time between two looks for holders.
const holderPoll = 100 * time.Millisecond

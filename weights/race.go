package weights

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

const (
	// entryPatience is how long the sources of a manifest that have been asked may take before an
	// entry is asked as well: several round trips between regions.
	entryPatience = 100 * time.Millisecond
	// originPatience is the same for the origin, which not all entries may ask because the readers
	// are slow: its link and its connections are few. Entries that know different members may
	// take each other for the reader, and wait for each other.
	originPatience = 400 * time.Millisecond
)

// due reports whether the next source of a manifest is asked although earlier ones, pending in
// number, have not answered; waited is the time since the latest of them was asked.
func (s source) due(pending int, waited time.Duration) bool {
	if pending == 0 {
		return !s.beside
	}
	return waited >= s.patience()
}

// beside returns the sources as such that are asked only beside others that do not answer.
func beside(srcs []source) []source {
	for i := range srcs {
		srcs[i].beside = true
	}
	return srcs
}

func (s source) patience() time.Duration {
	if s.isOrigin() {
		return originPatience
	}
	return entryPatience
}

// firstManifest returns the manifest from the first source that has it. The sources are asked in
// order, each when those before it have failed or take long (see due). It returns the last
// error if all fail. It changes srcs.
func (r *Relay) firstManifest(ctx context.Context, srcs []source, q *peer.GetManifest) (*Manifest, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		src source
		m   *Manifest
		err error
	}
	results := make(chan result, len(srcs))
	last, pending, askedAt := error(ErrNoSource), 0, clock.Now()
	for {
		waited := clock.Since(askedAt)
		i := slices.IndexFunc(srcs, func(s source) bool { return s.due(pending, waited) })
		if i < 0 && pending == 0 {
			return nil, last
		}
		if i >= 0 {
			src := srcs[i]
			srcs, pending, askedAt = slices.Delete(srcs, i, i+1), pending+1, clock.Now()
			go func() {
				m, err := r.manifestFrom(ctx, src, q)
				results <- result{src, m, err}
			}()
		}
		timer := nextSourceTimer(srcs, clock.Since(askedAt))
		select {
		case res := <-results:
			pending--
			if res.err == nil {
				timer.Stop()
				return res.m, nil
			}
			last = res.err
			r.log.WithError(res.err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "source": res.src.String()}).Debug(
				"Read of manifest from source failed.")
		case <-timer.C:
		}
		timer.Stop()
	}
}

// nextSourceTimer returns a timer that fires when the next of the sources is due if nobody answers;
// without a source, long after the answers have timed out.
func nextSourceTimer(srcs []source, waited time.Duration) *clock.Timer {
	patience := time.Minute
	for _, s := range srcs {
		patience = min(patience, s.patience())
	}
	return clock.NewTimer(patience - waited)
}

package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/loop"
)

// Intervals of the observation.
const (
	lookEvery = 20 * time.Millisecond
	showEvery = time.Second
)

// awaitReplicas waits until every engine serves the loadout and returns how
// long that took.
func (f *fleet) awaitReplicas(ctx context.Context, show *progress, loadout string, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	next := began
	for {
		n := f.replicas(loadout)
		if n == f.cfg.Hosts {
			return time.Since(began), nil
		}
		if time.Now().After(next) {
			show.line(n)
			next = next.Add(showEvery)
		}
		if time.Since(began) > limit {
			return 0, errors.Errorf("demo: %d of %d replicas after %s", n, f.cfg.Hosts, limit)
		}
		if !loop.Sleep(ctx, lookEvery) {
			return 0, ctx.Err()
		}
	}
}

// awaitRevision waits until every process has the revision in force.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, began time.Time) time.Duration {
	for ctx.Err() == nil && !f.allAt(int64(revision)) {
		loop.Sleep(ctx, lookEvery)
	}
	return time.Since(began)
}

const revisionGauge = "control.revision"

func (f *fleet) allAt(revision int64) bool {
	for _, h := range f.hosts {
		if gauge(h.agent.Metrics().Get(revisionGauge)) < revision {
			return false
		}
	}
	for _, e := range f.entries {
		if gauge(e.Metrics().Get(revisionGauge)) < revision {
			return false
		}
	}
	return true
}

func gauge(m any) int64 {
	g, ok := m.(interface{ Value() int64 })
	if !ok {
		return 0
	}
	return g.Value()
}

// Faults of the demonstration, after the second version is published.
const (
	faultAfter   = time.Second
	restartAfter = 1500 * time.Millisecond
	platformDown = 3 * time.Second
	corruptEvery = 40
)

// breakThings corrupts chunks at the origin, kills an agent and restarts it
// with empty memory, and takes the platform down for a while.
func (f *fleet) breakThings(ctx context.Context, show *progress) {
	f.origin.Faults.Corrupt.Store(corruptEvery)
	if !loop.Sleep(ctx, faultAfter) {
		return
	}
	victim := f.hosts[int(f.cfg.Seed)%f.cfg.Hosts]
	show.say("Fault: agent of %s killed; one in %d chunks of the origin is corrupt.", victim.name, corruptEvery)
	victim.stop()
	if !loop.Sleep(ctx, restartAfter) {
		return
	}
	if err := f.startAgent(ctx, victim); err != nil {
		f.log.WithError(err).Error("Agent not restarted.")
		return
	}
	f.publishHosts()
	show.say("Agent of %s restarted with empty memory.", victim.name)
	if !loop.Sleep(ctx, faultAfter) {
		return
	}
	show.say("Fault: platform down for %s.", platformDown)
	f.platform.SetDown(true)
	loop.Sleep(ctx, platformDown)
	f.platform.SetDown(false)
}

package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/loop"
)

const (
	pollInterval     = 20 * time.Millisecond
	progressInterval = time.Second
)

// awaitReplicas waits until every engine serves the loadout and returns how long it took.
func (f *fleet) awaitReplicas(ctx context.Context, p *progress, loadout string, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	nextLine := start
	for {
		n := f.replicas(loadout)
		if n == f.cfg.Hosts {
			return time.Since(start), nil
		}
		if time.Now().After(nextLine) {
			p.line(n)
			nextLine = nextLine.Add(progressInterval)
		}
		if time.Since(start) > limit {
			return 0, errors.Errorf("demo: only %d of %d engines serve the version after %s", n, f.cfg.Hosts, limit)
		}
		if !loop.Sleep(ctx, pollInterval) {
			return 0, ctx.Err()
		}
	}
}

// awaitRevision waits until the revision is in force in every process, that is, until every
// process uses it, and returns the time since start.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, start time.Time) time.Duration {
	for ctx.Err() == nil && !f.revisionInForce(int64(revision)) {
		loop.Sleep(ctx, pollInterval)
	}
	return time.Since(start)
}

const revisionGauge = "control.revision"

// revisionInForce reports whether the revision, or a later one, is in force in every process.
func (f *fleet) revisionInForce(revision int64) bool {
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

// gauge returns the value of a gauge, or 0 if m is not one.
func gauge(m any) int64 {
	g, ok := m.(interface{ Value() int64 })
	if !ok {
		return 0
	}
	return g.Value()
}

// Parameters of the faults that are injected after the second version is published.
const (
	faultAfter   = time.Second
	restartAfter = 1500 * time.Millisecond
	platformDown = 3 * time.Second
	corruptEvery = 40 // calls of the origin per corrupt answer
)

// injectFaults corrupts chunks at the origin, kills an agent and restarts it with empty memory,
// and takes the platform down for platformDown.
func (f *fleet) injectFaults(ctx context.Context, p *progress) {
	f.origin.Faults.Corrupt.Store(corruptEvery)
	if !loop.Sleep(ctx, faultAfter) {
		return
	}
	victim := f.hosts[int(f.cfg.Seed)%f.cfg.Hosts]
	p.printf("Fault: agent of %s killed; one in %d chunks of the origin is corrupt.", victim.name, corruptEvery)
	victim.stop()
	if !loop.Sleep(ctx, restartAfter) {
		return
	}
	if err := f.startAgent(ctx, victim); err != nil {
		f.log.WithError(err).Error("Failed to restart agent.")
		return
	}
	f.publishHosts()
	p.printf("Agent of %s restarted with empty memory.", victim.name)
	if !loop.Sleep(ctx, faultAfter) {
		return
	}
	p.printf("Fault: platform down for %s.", platformDown)
	f.platform.SetDown(true)
	loop.Sleep(ctx, platformDown)
	f.platform.SetDown(false)
}

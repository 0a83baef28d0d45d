package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/springgate/springgate/fleet"
)

// wanted is a version of a model that the operators want served.
type wanted struct {
	version int
	since   time.Time
}

// wantedVersions are those of one model, oldest first. Each has its own time:
// a newer one does not put the duty to leave an older one off.
type wantedVersions []wanted

// due returns the newest version that must be served by now, or zero.
func (w wantedVersions) due(now time.Time, timeout time.Duration) int {
	for i := len(w) - 1; i >= 0; i-- {
		if now.Sub(w[i].since) >= timeout {
			return w[i].version
		}
	}
	return 0
}

// overAt returns when the time of a version is over, because a newer one must be served
// by then; zero if none is newer.
func (w wantedVersions) overAt(version int, timeout time.Duration) time.Time {
	var first time.Time
	for _, x := range w {
		if over := x.since.Add(timeout); x.version > version && (first.IsZero() || over.Before(first)) {
			first = over
		}
	}
	return first
}

// versionsKept bounds the versions that are remembered; those before are due.
const versionsKept = 8

// SetVersion names the version of a model that is wanted since a time. That may be
// corrected later, and a version may be learned of after a newer one.
func (b *Balancer) SetVersion(v fleet.VersionTarget, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.versions[v.Model]
	for i := range w {
		if w[i].version == v.Version {
			w[i].since = since
			return
		}
	}
	i, _ := slices.BinarySearchFunc(w, v.Version, func(x wanted, version int) int { return cmp.Compare(x.version, version) })
	w = slices.Insert(w, i, wanted{v.Version, since})
	b.versions[v.Model] = w[max(len(w)-versionsKept, 0):]
}

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

// wantedVersions are the wanted versions of one model, oldest first. Each has its own deadline:
// a newer version does not postpone the time at which an older one expires.
type wantedVersions []wanted

// due returns the newest version whose deadline has passed, or zero.
func (w wantedVersions) due(now time.Time, timeout time.Duration) int {
	for i := len(w) - 1; i >= 0; i-- {
		if now.Sub(w[i].since) >= timeout {
			return w[i].version
		}
	}
	return 0
}

// expiresAt returns when a version expires because a newer one must be served by then; zero if
// there is no newer one.
func (w wantedVersions) expiresAt(version int, timeout time.Duration) time.Time {
	var first time.Time
	for _, x := range w {
		if expiry := x.since.Add(timeout); x.version > version && (first.IsZero() || expiry.Before(first)) {
			first = expiry
		}
	}
	return first
}

// maxVersions bounds the wanted versions that are kept for each model. The deadlines of older
// versions have passed.
const maxVersions = 8

// SetVersion records that the operators want a version of a model served, and since when.
// Another call for the same version corrects the time. Versions may be recorded in any order.
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
	b.versions[v.Model] = w[max(len(w)-maxVersions, 0):]
}

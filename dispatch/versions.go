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

// maxVersions bounds the wanted versions that are kept for each model.
const maxVersions = 64

// trimmed returns the versions without those that a newer one has replaced whose deadline has passed too. If
// more than maxVersions remain, the two whose times are closest become one, which is the newer one
// with the time of the older: a deadline may come a little early and never late.
func (w wantedVersions) trimmed(timeout time.Duration) wantedVersions {
	latest := slices.MaxFunc(w, func(a, b wanted) int { return a.since.Compare(b.since) }).since
	for i := len(w) - 1; i > 0; i-- {
		if latest.Sub(w[i].since) >= timeout {
			w = w[i:]
			break
		}
	}
	for len(w) > maxVersions {
		i := w.closest()
		if w[i].since.Before(w[i+1].since) {
			w[i+1].since = w[i].since
		}
		w = slices.Delete(w, i, i+1)
	}
	return w
}

// closest returns the index of the version whose time is closest to that of the next one.
func (w wantedVersions) closest() (index int) {
	for i := range len(w) - 1 {
		if w[i+1].since.Sub(w[i].since).Abs() < w[index+1].since.Sub(w[index].since).Abs() {
			index = i
		}
	}
	return index
}

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
	b.versions[v.Model] = w.trimmed(b.cfg.VersionTimeout)
}

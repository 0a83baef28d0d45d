package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/springgate/springgate/peer"
)

// wantedKept bounds the versions that are remembered.
const wantedKept = 4

// wanted is a version that the operators named, and when, by this process's
// clock.
type wanted struct {
	version   int
	announced time.Time
}

// order is what the entries told the agent: the newest assignment, and the
// versions announced before it that may not be served yet.
type order struct {
	peer.Assignment
	versions []wanted // oldest first; the last is the assignment's
}

// merge takes an entry's assignment. All entries send theirs; the highest
// version counts, and of the same version the earliest announcement.
func (o order) merge(now time.Time, a peer.Assignment) order {
	out := order{Assignment: a}
	if o.Model == a.Model {
		out.versions = slices.Clone(o.versions)
		if o.Version > a.Version {
			out.Assignment = o.Assignment
		}
	}
	for _, v := range append(a.Earlier, peer.AnnouncedVersion{Version: a.Version, AgeMs: a.AgeMs}) {
		out.add(wanted{v.Version, now.Add(-time.Duration(v.AgeMs) * time.Millisecond)})
	}
	return out
}

func (o *order) add(w wanted) {
	i, found := slices.BinarySearchFunc(o.versions, w.version, func(x wanted, v int) int { return cmp.Compare(x.version, v) })
	if found {
		if w.announced.Before(o.versions[i].announced) {
			o.versions[i] = w
		}
		return
	}
	o.versions = slices.Insert(o.versions, i, w)
	o.versions = o.versions[max(len(o.versions)-wantedKept, 0):]
}

// pending returns the versions beyond the one that is served, oldest first.
func (o order) pending(serving int) []wanted {
	for i, w := range o.versions {
		if w.version > serving {
			return o.versions[i:]
		}
	}
	return nil
}

// turn returns when the engine may load. The turns of all engines are spread
// evenly over the time that the oldest pending version is allowed, so that as few
// as possible are out of service at once.
func (c Config) turn(o order, pending []wanted) time.Time {
	first := pending[0].announced
	window := time.Duration(o.TimeoutMs)*time.Millisecond - c.Lead - c.Margin
	switch {
	case window <= 0 || o.Turns <= 1 && len(pending) == 1:
		return first
	case o.Turns <= 1:
		return first.Add(c.Lead) // the newer version may be whole by then
	}
	return first.Add(c.Lead + window*time.Duration(o.Turn)/time.Duration(o.Turns-1))
}

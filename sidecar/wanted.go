package sidecar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/peer"
)

// wantedKept bounds the versions that are remembered.
const wantedKept = 4

// wanted is a version that the operators named, and when, by this process's
// clock.
type wanted struct {
	version   int
	announced time.Time
	// guessed says that no entry saw the announcement: those that know the
	// version started after it, and take its time to be over.
	guessed bool
}

// tellsMore reports whether w tells more of a version's announcement than old.
func (w wanted) tellsMore(old wanted) bool {
	return fleet.Announcement{At: w.announced, Estimated: w.guessed}.Supersedes(fleet.Announcement{At: old.announced, Estimated: old.guessed})
}

// order is what the entries told the agent: the newest assignment, and the
// versions announced before it that may not be served yet.
type order struct {
	peer.Assignment
	versions []wanted        // oldest first; the last is the assignment's
	failing  map[string]bool // entries that fail to read the newest version
}

// merge takes an entry's assignment. All entries send theirs; the highest
// version counts, and of the same version the earliest announcement.
func (o order) merge(now time.Time, a peer.Assignment) order {
	out := order{Assignment: a, failing: map[string]bool{}}
	if o.Model == a.Model {
		out.versions = slices.Clone(o.versions)
		if o.Version > a.Version {
			out.Assignment = o.Assignment
		}
		if o.Version >= a.Version {
			out.failing = maps.Clone(o.failing)
		}
	}
	if o.Model == a.Model && o.Version == a.Version && a.Turns == 0 {
		out.Turn, out.Turns = o.Turn, o.Turns // the entry does not know the engines
	}
	if a.Version == out.Version {
		out.failing[a.Entry] = a.Withheld
	}
	for _, v := range append(a.Earlier, peer.AnnouncedVersion{Version: a.Version, AgeMs: a.AgeMs, Guessed: a.Guessed}) {
		out.add(wanted{v.Version, now.Add(-time.Duration(v.AgeMs) * time.Millisecond), v.Guessed})
	}
	return out
}

// without returns the order without what an entry fails to read.
func (o order) without(entry string) order {
	o.failing = maps.Clone(o.failing)
	delete(o.failing, entry)
	return o
}

// withheld reports whether an entry fails to read the newest version.
func (o order) withheld() bool {
	for _, failing := range o.failing {
		if failing {
			return true
		}
	}
	return false
}

func (o *order) add(w wanted) {
	i, found := slices.BinarySearchFunc(o.versions, w.version, func(x wanted, v int) int { return cmp.Compare(x.version, v) })
	if found {
		if w.tellsMore(o.versions[i]) {
			o.versions[i] = w
		}
		return
	}
	o.versions = slices.Insert(o.versions, i, w)
	o.versions = o.versions[max(len(o.versions)-wantedKept, 0):]
}

// pending returns the versions beyond the one that is served, oldest first. One
// whose announcement no entry saw is left out if they saw that of a newer one: it
// was named while the store was away, and its time is not over. An entry that
// guesses so uses no engine with an older version, so that none is served too long.
func (o order) pending(serving int) []wanted {
	var out []wanted
	for i, w := range o.versions {
		if w.version > serving && !(w.guessed && o.seenAfter(i)) {
			out = append(out, w)
		}
	}
	return out
}

// candidates returns the versions that an agent before may have staged: first
// the one that is to be staged, then the others that are known, newest first, and
// the one before the newest, which may have been announced long ago.
func (o order) candidates(first int) []int {
	out := []int{first}
	add := func(v int) {
		if v > 0 && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	for _, w := range slices.Backward(o.versions) {
		add(w.version)
	}
	add(o.Version - 1)
	return out
}

// seenAfter reports whether the announcement of a version after the i-th was seen.
func (o order) seenAfter(i int) bool {
	return slices.ContainsFunc(o.versions[i+1:], func(w wanted) bool { return !w.guessed })
}

// turns are the times between which all engines change to one version, spread
// evenly so that as few as possible are out of service at once.
type turns struct {
	start, end time.Time
}

// turnsOf returns the turns for a pending version: from when it can be staged
// until the oldest pending version must be served.
func (c Config) turnsOf(o order, pending []wanted, version wanted) turns {
	first := pending[0].announced
	window := time.Duration(o.TimeoutMs)*time.Millisecond - c.Lead - c.Margin
	if c.Off.Has(mechanism.Turns) || window <= 0 || o.Turns <= 1 && len(pending) == 1 {
		return turns{first, first}
	}
	t := turns{version.announced.Add(c.Lead), first.Add(c.Lead + window)}
	if t.start.After(t.end) {
		t.start = t.end
	}
	return t
}

// at returns when the engine's own turn comes.
func (t turns) at(turn, of int) time.Time {
	if of <= 1 {
		return t.start
	}
	return t.start.Add(t.end.Sub(t.start) * time.Duration(turn) / time.Duration(of-1))
}

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

// maxAnnouncedVersions limits the number of versions in an assignmentState.
const maxAnnouncedVersions = 4

// announcedVersion is a version that the operators announced, with the time of the
// announcement by this process's clock.
type announcedVersion struct {
	version   int
	announced time.Time
	// estimated is true if no entry observed the announcement. The entries that know the
	// version started after the announcement, and assume that the version's deadline has
	// passed.
	estimated bool
}

// supersedes reports whether av is better information about an announcement than old.
func (av announcedVersion) supersedes(old announcedVersion) bool {
	return fleet.Announcement{At: av.announced, Estimated: av.estimated}.Supersedes(fleet.Announcement{At: old.announced, Estimated: old.estimated})
}

// assignmentState combines the assignments of all entries: the newest assignment, and the
// versions announced before it that the engine may still lack.
type assignmentState struct {
	peer.Assignment
	versions []announcedVersion // oldest first; the last is the assignment's
	failing  map[string]bool    // entries that fail to read the newest version
	unproven bool               // an entry has told that a previous agent left a load that it may not have examined
}

// merge returns the state with an entry's assignment added. All entries send assignments. The
// highest version takes precedence, and for the same version the earliest announcement.
func (as assignmentState) merge(now time.Time, a peer.Assignment) assignmentState {
	out := assignmentState{Assignment: a, failing: map[string]bool{}}
	if as.Model == a.Model {
		out.versions = slices.Clone(as.versions)
		if as.Version > a.Version {
			out.Assignment = as.Assignment
		}
		if as.Version >= a.Version {
			out.failing = maps.Clone(as.failing)
		}
	}
	if as.Model == a.Model && as.Version == a.Version && a.Turns == 0 {
		out.Turn, out.Turns = as.Turn, as.Turns // the entry does not know the engines yet
	}
	out.unproven = as.unproven || a.Added.Unproven
	if a.Version == out.Version {
		out.failing[a.Entry] = a.PiecesUnreadable
	}
	for _, v := range append(a.Earlier, peer.AnnouncedVersion{Version: a.Version, AgeMs: a.AgeMs, AgeEstimated: a.AgeEstimated}) {
		out.add(announcedVersion{v.Version, now.Add(-time.Duration(v.AgeMs) * time.Millisecond), v.AgeEstimated})
	}
	return out
}

// without returns the state without an entry's report that it fails to read the newest
// version.
func (as assignmentState) without(entry string) assignmentState {
	as.failing = maps.Clone(as.failing)
	delete(as.failing, entry)
	return as
}

// newestUnreadable reports whether an entry fails to read the newest version.
func (as assignmentState) newestUnreadable() bool {
	for _, failing := range as.failing {
		if failing {
			return true
		}
	}
	return false
}

func (as *assignmentState) add(av announcedVersion) {
	i, found := slices.BinarySearchFunc(as.versions, av.version, func(x announcedVersion, v int) int { return cmp.Compare(x.version, v) })
	if found {
		if av.supersedes(as.versions[i]) {
			as.versions[i] = av
		}
		return
	}
	as.versions = slices.Insert(as.versions, i, av)
	as.versions = as.versions[max(len(as.versions)-maxAnnouncedVersions, 0):]
}

// pending returns the versions newer than the served one, oldest first. A version whose
// announcement no entry observed is omitted if the announcement of a newer version was
// observed: the omitted version was announced while the store was unavailable, and its
// deadline has not passed. This does not make engines serve an older version for too long,
// since an entry that only estimates the announcement time routes to no engine with an
// older version.
func (as assignmentState) pending(serving int) []announcedVersion {
	var out []announcedVersion
	for i, av := range as.versions {
		if av.version > serving && !(av.estimated && as.observedAfter(i)) {
			out = append(out, av)
		}
	}
	return out
}

// candidates returns the versions that a previous agent may have staged: first the one that
// is to be staged, then the other known versions, newest first, and finally the version number
// before the newest, which may have been announced long ago.
func (as assignmentState) candidates(first int) []int {
	out := []int{first}
	add := func(v int) {
		if v > 0 && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	for _, av := range slices.Backward(as.versions) {
		add(av.version)
	}
	add(as.Version - 1)
	return out
}

// observedAfter reports whether an entry observed the announcement of a version after the i-th.
func (as assignmentState) observedAfter(i int) bool {
	return slices.ContainsFunc(as.versions[i+1:], func(av announcedVersion) bool { return !av.estimated })
}

// turnWindow is the period in which all engines load one version. Their turns are spread
// evenly over it, so that as few engines as possible are out of service at once.
type turnWindow struct {
	start, end time.Time
}

// turnWindowOf returns the window for a pending version. It starts when the version can be
// staged and ends before the oldest pending version must be served.
func (c Config) turnWindowOf(as assignmentState, pending []announcedVersion, version announcedVersion) turnWindow {
	first := pending[0].announced
	window := time.Duration(as.TimeoutMs)*time.Millisecond - c.Lead - c.Margin
	if c.Off.Has(mechanism.Turns) || window <= 0 || as.Turns <= 1 && len(pending) == 1 {
		return turnWindow{first, first}
	}
	t := turnWindow{version.announced.Add(c.Lead), first.Add(c.Lead + window)}
	if t.start.After(t.end) {
		t.start = t.end
	}
	return t
}

// at returns the start of a turn, counted from 0, of the given number of turns.
func (t turnWindow) at(turn, of int) time.Time {
	if of <= 1 {
		return t.start
	}
	return t.start.Add(t.end.Sub(t.start) * time.Duration(turn) / time.Duration(of-1))
}

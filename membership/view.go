// Package membership combines the host list, which lags behind, with the status
// that this process receives from hosts directly. The list comes from the
// platform, the external system that the fleet runs on. The package performs no
// I/O, and clock readings are passed as arguments.
//
// Facts have two sources only: the host list, and statements of a host about
// its own incarnation (process start). Suspicion is local to one process and
// never sent to others, so a partition cannot make other processes consider a
// healthy host failed.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a host as this process sees it.
type State uint8

// States of a host.
const (
	Live    State = iota // listed and not known to have failed
	Suspect              // this process cannot reach it
	Leaving              // announced as leaving by itself or by the platform
	Gone                 // no longer listed and without recent contact
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"live", "suspect", "leaving", "gone"}[s]
}

// Role distinguishes entries from agents.
type Role string

// Roles of a process.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Listed is one host of the platform's host list.
type Listed struct {
	Host    string
	Addr    string // address of the process's peer listener
	Domain  string
	Role    Role
	Leaving bool
}

// Member is one host as this process sees it.
type Member struct {
	Listed
	State       State
	Incarnation uint64
	Revision    uint64 // configuration revision in use at the host, as last reported
	LastContact time.Time
}

// Config holds the time limits of a View.
type Config struct {
	// SuspectAfter is how long contact must have failed, without success in
	// between, before a host is suspect. A shorter time detects dead hosts
	// sooner and suspects more paused ones. Default 2 s.
	SuspectAfter time.Duration
	// GoneAfter is how long a host that is no longer listed is kept after
	// its removal from the list or the last contact, whichever is later.
	// Default 30 s.
	GoneAfter time.Duration
	// NoticeTTL is how long a leaving notice is forwarded. Default 20 s.
	NoticeTTL time.Duration
}

func (c Config) applyDefaults() Config {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, 2*time.Second)
	c.GoneAfter = cmp.Or(c.GoneAfter, 30*time.Second)
	c.NoticeTTL = cmp.Or(c.NoticeTTL, 20*time.Second)
	return c
}

// Notice is a host's own statement that an incarnation is leaving.
type Notice struct {
	Host        string
	Incarnation uint64
}

type record struct {
	listed      Listed
	inList      bool
	incarnation uint64
	// leavingInc is the highest incarnation known to be leaving; 0 if none.
	leavingInc uint64
	// listLeaving is set while the list marks the host as leaving. It
	// applies to incarnations up to listLeavingInc, the newest one known
	// when the mark appeared.
	listLeaving    bool
	listLeavingInc uint64
	revision       uint64
	lastContact    time.Time // also set when the host is added to or removed from the list
	failedSince    time.Time // zero while the host is reachable
}

type notice struct {
	Notice
	until time.Time
}

// View is the membership as one process sees it. It must be used by a single
// goroutine.
type View struct {
	cfg     Config
	self    string
	serial  uint64
	hosts   map[string]*record
	order   []string // cache of the sorted host names; nil after hosts were added or removed
	notices []notice
}

// New returns an empty view for the named host.
func New(self string, cfg Config) *View {
	return &View{cfg: cfg.applyDefaults(), self: self, hosts: map[string]*record{}}
}

// Serial returns the serial number of the newest host list applied.
func (v *View) Serial() uint64 { return v.serial }

// ApplyList applies a host list. It ignores a list whose serial number is not
// higher than that of the last list applied, and returns false for it.
func (v *View) ApplyList(now time.Time, serial uint64, list []Listed) bool {
	if serial <= v.serial {
		return false
	}
	v.serial = serial
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Host] = true
		v.applyListed(now, l)
	}
	for h, r := range v.hosts {
		if !listed[h] && r.inList {
			r.inList = false
			r.lastContact = later(r.lastContact, now)
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (v *View) applyListed(now time.Time, l Listed) {
	r := v.hosts[l.Host]
	if r == nil {
		r = &record{lastContact: now}
		v.hosts[l.Host] = r
		v.order = nil
	}
	if r.listed.Addr != "" && r.listed.Addr != l.Addr {
		r.failedSince = time.Time{} // a new address: failures at the old one do not apply
	}
	if l.Leaving && !r.listLeaving {
		r.listLeavingInc = r.incarnation
	}
	r.listLeaving = l.Leaving
	if l.Leaving {
		r.leavingInc = max(r.leavingInc, r.listLeavingInc)
	}
	r.listed, r.inList = l, true
}

// RecordStatus records a host's statement about itself that this process
// received directly.
func (v *View) RecordStatus(now time.Time, host string, incarnation uint64, leaving bool, revision uint64) {
	r := v.hosts[host]
	if r == nil || incarnation < r.incarnation {
		return // not listed yet, or a delayed message of an earlier incarnation
	}
	if incarnation > r.incarnation {
		r.incarnation, r.revision = incarnation, 0
	}
	if leaving {
		v.markLeaving(now, host, r, incarnation)
	}
	r.revision = max(r.revision, revision)
	r.lastContact = later(r.lastContact, now)
	r.failedSince = time.Time{}
}

// RecordNotice records a leaving notice that another process forwarded. It
// reports whether the notice was new.
func (v *View) RecordNotice(now time.Time, n Notice) bool {
	r := v.hosts[n.Host]
	if r == nil || n.Incarnation < r.incarnation || n.Incarnation <= r.leavingInc {
		return false
	}
	v.markLeaving(now, n.Host, r, n.Incarnation)
	return true
}

func (v *View) markLeaving(now time.Time, host string, r *record, incarnation uint64) {
	if incarnation <= r.leavingInc {
		return
	}
	r.leavingInc = incarnation
	v.notices = append(v.notices, notice{Notice{host, incarnation}, now.Add(v.cfg.NoticeTTL)})
}

// RecordFailure records that this process could not reach a host.
func (v *View) RecordFailure(now time.Time, host string) {
	if r := v.hosts[host]; r != nil && r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// Tick removes hosts that are gone and notices that have expired.
func (v *View) Tick(now time.Time) {
	for h, r := range v.hosts {
		if !r.inList && now.Sub(r.lastContact) > v.cfg.GoneAfter {
			delete(v.hosts, h)
			v.order = nil
		}
	}
	v.notices = slices.DeleteFunc(v.notices, func(n notice) bool { return now.After(n.until) })
}

// Notices returns at most n leaving notices to forward, newest first.
func (v *View) Notices(n int) []Notice {
	out := make([]Notice, 0, min(n, len(v.notices)))
	for i := len(v.notices) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, v.notices[i].Notice)
	}
	return out
}

func (v *View) state(now time.Time, r *record) State {
	switch {
	case r.leavingInc > 0 && r.leavingInc >= r.incarnation:
		return Leaving
	case r.listLeaving && r.incarnation <= r.listLeavingInc:
		return Leaving
	case !r.inList && now.Sub(r.lastContact) > v.cfg.GoneAfter:
		return Gone
	case !r.failedSince.IsZero() && now.Sub(r.failedSince) >= v.cfg.SuspectAfter:
		return Suspect
	}
	return Live
}

// Get returns one member.
func (v *View) Get(now time.Time, host string) (Member, bool) {
	r := v.hosts[host]
	if r == nil {
		return Member{Listed: Listed{Host: host}, State: Gone}, false
	}
	return v.member(now, host, r), true
}

func (v *View) member(now time.Time, host string, r *record) Member {
	m := Member{Listed: r.listed, State: v.state(now, r), Incarnation: r.incarnation,
		Revision: r.revision, LastContact: r.lastContact}
	m.Host = host
	return m
}

// Members returns all known hosts, ordered by name.
func (v *View) Members(now time.Time) []Member {
	if v.order == nil {
		v.order = slices.Sorted(maps.Keys(v.hosts))
	}
	out := make([]Member, len(v.order))
	for i, h := range v.order {
		out[i] = v.member(now, h, v.hosts[h])
	}
	return out
}

// Len returns how many hosts are known.
func (v *View) Len() int { return len(v.hosts) }

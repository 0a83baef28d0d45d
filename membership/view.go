// Package membership joins the platform's lagging host list with what this
// process hears itself. It is pure: clock readings are passed in.
//
// Facts come from two places only: the host list, and statements that a host
// makes about its own incarnation. Suspicion is the opinion of one process;
// it is never sent to others, so a partition cannot talk a healthy host out
// of the fleet.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is what this process holds of a host.
type State uint8

// States of a host.
const (
	Live    State = iota // listed, nothing known against it
	Suspect              // this process could not reach it
	Leaving              // it, or the platform, said that it leaves
	Gone                 // no longer listed and not heard of
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"live", "suspect", "leaving", "gone"}[s]
}

// Role tells entries from agents.
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
	Revision    uint64 // revision in force there, as last heard
	LastContact     time.Time
}

// Config holds the time limits of a View.
type Config struct {
	// SuspectAfter is how long contact must have failed, without success in
	// between, before a host is suspect. A shorter time finds dead hosts
	// sooner and suspects more paused ones. Default 2 s.
	SuspectAfter time.Duration
	// GoneAfter is how long a host that the list no longer names is kept
	// after it was last heard. Default 30 s.
	GoneAfter time.Duration
	// NoticeTTL is how long a leaving notice is passed on. Default 20 s.
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
	// leavingInc is the highest incarnation known to leave; 0 is none.
	leavingInc uint64
	// listLeaving is set while the list names the host as leaving and no
	// newer incarnation than the one seen then has been heard.
	listLeaving    bool
	listLeavingInc uint64
	revision       uint64
	heardAt        time.Time
	failedSince    time.Time // zero while contact works
}

type notice struct {
	Notice
	until time.Time
}

// View is the membership as one process sees it. It is owned by one
// goroutine.
type View struct {
	cfg     Config
	self    string
	serial  uint64
	hosts   map[string]*record
	order   []string // names of hosts, sorted; nil if hosts were added or removed
	notices []notice
}

// New returns an empty view for the named host.
func New(self string, cfg Config) *View {
	return &View{cfg: cfg.applyDefaults(), self: self, hosts: map[string]*record{}}
}

// Serial returns the serial number of the newest host list applied.
func (v *View) Serial() uint64 { return v.serial }

// ApplyList takes a host list. Lists older than the newest one applied are
// ignored; the result is false for them.
func (v *View) ApplyList(now time.Time, serial uint64, list []Listed) bool {
	if serial <= v.serial {
		return false
	}
	v.serial = serial
	named := make(map[string]bool, len(list))
	for _, l := range list {
		named[l.Host] = true
		v.applyListed(now, l)
	}
	for h, r := range v.hosts {
		if !named[h] && r.inList {
			r.inList = false
			r.heardAt = later(r.heardAt, now)
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
		r = &record{heardAt: now}
		v.hosts[l.Host] = r
		v.order = nil
	}
	if r.listed.Addr != "" && r.listed.Addr != l.Addr {
		r.failedSince = time.Time{} // replaced: old failures say nothing
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

// RecordStatus takes a host's statement about itself, received directly.
func (v *View) RecordStatus(now time.Time, host string, incarnation uint64, leaving bool, revision uint64) {
	r := v.hosts[host]
	if r == nil || incarnation < r.incarnation {
		return // not listed yet, or a late message of an earlier incarnation
	}
	if incarnation > r.incarnation {
		r.incarnation, r.revision = incarnation, 0
	}
	if leaving {
		v.markLeaving(now, host, r, incarnation)
	}
	r.revision = max(r.revision, revision)
	r.heardAt = later(r.heardAt, now)
	r.failedSince = time.Time{}
}

// RecordNotice takes a leaving notice that was passed on. It reports whether the
// notice was news.
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

// RecordFailure notes that this process could not reach a host.
func (v *View) RecordFailure(now time.Time, host string) {
	if r := v.hosts[host]; r != nil && r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// Tick forgets hosts that are gone and notices that are old.
func (v *View) Tick(now time.Time) {
	for h, r := range v.hosts {
		if !r.inList && now.Sub(r.heardAt) > v.cfg.GoneAfter {
			delete(v.hosts, h)
			v.order = nil
		}
	}
	v.notices = slices.DeleteFunc(v.notices, func(n notice) bool { return now.After(n.until) })
}

// Notices returns at most n leaving notices to pass on, newest first.
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
	case !r.inList && now.Sub(r.heardAt) > v.cfg.GoneAfter:
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
		Revision: r.revision, LastContact: r.heardAt}
	m.Host = host
	return m
}

// Members returns all hosts known, ordered by name.
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

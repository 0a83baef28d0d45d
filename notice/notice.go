// Package notice keeps what targets say of themselves in their answers, by life of the
// target. It is pure: a Table does no I/O and is guarded by its owner.
package notice

import (
	"time"

	"github.com/springgate/springgate/fleet"
)

// Limit is how many requests a second a target takes from all entries together.
type Limit struct {
	Declared bool // otherwise it takes any number
	PerS  float64
}

// below reports whether the limit lets fewer requests through than another.
func (l Limit) below(o Limit) bool {
	return l.Declared && (!o.Declared || l.PerS < o.PerS)
}

// Statement is what one answer of a target says of it.
type Statement struct {
	Limit   Limit
	Leaving bool // it ends soon and takes no more requests
	// Backoff is how long the target wants no request of the asker, whom it has turned away.
	Backoff time.Duration
	// LimitUnreadable is set if a limit is named that is none; Limit is then what is
	// readable beside it. LeavingUnreadable and BackoffUnreadable are set if it cannot be read
	// whether it leaves and how long it is to rest.
	LimitUnreadable, LeavingUnreadable, BackoffUnreadable bool
}

// Unreadable reports whether a part of the statement could not be read.
func (s Statement) Unreadable() bool {
	return s.LimitUnreadable || s.LeavingUnreadable || s.BackoffUnreadable
}

// Incarnation names one life of a target.
type Incarnation struct {
	Target string
	StartMs   int64 // 0 if not known
}

// IncarnationOf returns the name of an instance's life.
func IncarnationOf(i *fleet.Instance) Incarnation { return Incarnation{i.ID, i.Born} }

// State is what is held true of one life of a target.
type State struct {
	Limit Limit
	// LimitRevision counts the changes of Limit, over all entries that tell each other: of two
	// beliefs the one with the higher turn is newer.
	LimitRevision uint64
	// Leaving is true for the rest of the life.
	Leaving bool
}

// supersedes reports whether the limit of a belief goes before that of another.
func (b State) supersedes(o State) bool {
	return b.LimitRevision > o.LimitRevision || b.LimitRevision == o.LimitRevision && b.Limit.below(o.Limit)
}

// Report is a belief as entries tell it to each other.
type Report struct {
	Incarnation
	State
}

// forgetAfter is how long a target that is no longer listed is remembered. An entry
// lapses while the store is away and comes back with the same life.
const forgetAfter = time.Minute

// record is what is known of a life.
type record struct {
	born     int64
	belief   State
	rest     Backoff
	since    time.Time // when this process took up the limit
	listedAt time.Time
	// unreadable is set once it said something that is not readable.
	unreadable bool
}

// Table holds the beliefs of one process.
type Table struct{ records map[string]*record } // by target

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]*record{}} }

// of returns the record of a life, or nil if a later one is known.
func (t *Table) of(now time.Time, l Incarnation) *record {
	r := t.records[l.Target]
	switch {
	case r == nil, !fleet.SameLife(r.born, l.StartMs) && l.StartMs > r.born:
		r = &record{born: l.StartMs, listedAt: now}
		t.records[l.Target] = r
	case !fleet.SameLife(r.born, l.StartMs):
		return nil
	}
	r.born = max(r.born, l.StartMs)
	return r
}

// Change is what a statement has changed.
type Change struct {
	Limit      bool // what is believed of the limit
	Leaving    bool // the target leaves, which was not known
	Backoff       bool // it rests, and did not
	Unreadable bool // it is the first of the life that is not readable
}

// Record takes a statement in the answer to a request that was sent at a time. Answers
// overtake each other: one to a request that was sent before the limit was known does not
// raise or lift it.
func (t *Table) Record(now time.Time, l Incarnation, s Statement, sent time.Time) Change {
	if s == (Statement{}) && t.records[l.Target] == nil {
		return Change{} // as of most targets
	}
	r := t.of(now, l)
	if r == nil {
		return Change{}
	}
	first := s.Unreadable() && !r.unreadable
	r.unreadable = r.unreadable || first
	return Change{Limit: r.hearLimit(now, s, sent), Leaving: r.leave(s.Leaving), Backoff: r.rest.hear(now, s.Backoff, sent), Unreadable: first}
}

// MarkLeaving takes that a life leaves.
func (t *Table) MarkLeaving(now time.Time, l Incarnation) {
	if r := t.of(now, l); r != nil {
		r.leave(true)
	}
}

// leave takes that the target leaves or says nothing of it. It reports whether that is
// news.
func (r *record) leave(leaving bool) bool {
	news := leaving && !r.belief.Leaving
	r.belief.Leaving = r.belief.Leaving || leaving
	return news
}

func (r *record) hearLimit(now time.Time, s Statement, sent time.Time) bool {
	if s.Limit == r.belief.Limit || s.LimitUnreadable && !s.Limit.Declared {
		return false
	}
	if !s.Limit.below(r.belief.Limit) && !sent.After(r.since) {
		return false
	}
	r.belief.Limit, r.belief.LimitRevision = s.Limit, r.belief.LimitRevision+1
	r.since = now
	return true
}

// Merge takes what another entry holds true.
func (t *Table) Merge(now time.Time, o Report) Change {
	r := t.of(now, o.Incarnation)
	if r == nil {
		return Change{}
	}
	c := Change{Leaving: r.leave(o.Leaving), Limit: o.supersedes(r.belief)}
	if c.Limit {
		r.belief.Limit, r.belief.LimitRevision, r.since = o.Limit, o.LimitRevision, now
	}
	return c
}

// StateOf returns what is held true of a life.
func (t *Table) StateOf(l Incarnation) State {
	if r := t.known(l); r != nil {
		return r.belief
	}
	return State{}
}

// BackoffOf returns the rest that a life has asked this entry for.
func (t *Table) BackoffOf(l Incarnation) Backoff {
	if r := t.known(l); r != nil {
		return r.rest
	}
	return Backoff{}
}

// known returns the record of a life, or nil.
func (t *Table) known(l Incarnation) *record {
	if len(t.records) == 0 {
		return nil
	}
	if r := t.records[l.Target]; r != nil && fleet.SameLife(r.born, l.StartMs) {
		return r
	}
	return nil
}

// RecordSend notes that this entry sends a request to a life, which tries whether it has rested.
func (t *Table) RecordSend(now time.Time, l Incarnation) {
	if r := t.records[l.Target]; r != nil {
		r.rest.try(now)
	}
}

// CancelSend takes that back.
func (t *Table) CancelSend(l Incarnation) {
	if r := t.records[l.Target]; r != nil {
		r.rest.untry()
	}
}

// All returns what other entries are to be told.
func (t *Table) All() []Report {
	var out []Report
	for id, r := range t.records {
		if r.belief != (State{}) {
			out = append(out, Report{Incarnation{id, r.born}, r.belief})
		}
	}
	return out
}

// Prune forgets targets that have not been listed for long. It is called while listed
// tells which are.
func (t *Table) Prune(now time.Time, listed func(target string) bool) {
	for id, r := range t.records {
		if listed(id) {
			r.listedAt = now
		}
		if now.Sub(r.listedAt) >= forgetAfter {
			delete(t.records, id)
		}
	}
}

// Package notice keeps the state that targets declare in their responses, by incarnation (process
// start) of the target. It does no I/O. A Table must not be used concurrently.
package notice

import (
	"time"

	"github.com/springgate/springgate/fleet"
)

// Limit is the request rate that a target accepts from all entries together.
type Limit struct {
	Declared bool    // otherwise there is no limit
	PerS     float64 // requests per second
}

// below reports whether the limit is lower than another.
func (l Limit) below(o Limit) bool {
	return l.Declared && (!o.Declared || l.PerS < o.PerS)
}

// Statement is the state that a target declares in one response.
type Statement struct {
	Limit   Limit
	Leaving bool // the target will shut down soon and accepts no more requests
	// Backoff is how long the target wants no requests from the entry whose request it refused.
	Backoff time.Duration
	// LimitUnreadable is set if a declared limit could not be parsed; Limit then holds another
	// limit in the same response that could be parsed, if any. LeavingUnreadable and
	// BackoffUnreadable are set if Leaving and Backoff could not be parsed.
	LimitUnreadable, LeavingUnreadable, BackoffUnreadable bool
}

// Unreadable reports whether a part of the statement could not be parsed.
func (s Statement) Unreadable() bool {
	return s.LimitUnreadable || s.LeavingUnreadable || s.BackoffUnreadable
}

// Incarnation identifies one incarnation of a target.
type Incarnation struct {
	Target  string
	StartMs int64 // start time in Unix milliseconds; 0 if unknown
}

// IncarnationOf returns the identifier of an instance's incarnation.
func IncarnationOf(i *fleet.Instance) Incarnation { return Incarnation{i.ID, i.StartMs} }

// State is the declared state of one incarnation of a target.
type State struct {
	Limit Limit
	// LimitRevision counts the changes of Limit across all entries that exchange reports. Of
	// two states the one with the higher revision is newer.
	LimitRevision uint64
	// Leaving stays true for the rest of the incarnation.
	Leaving bool
}

// supersedes reports whether the limit of a state takes precedence over that of another.
func (s State) supersedes(o State) bool {
	return s.LimitRevision > o.LimitRevision || s.LimitRevision == o.LimitRevision && s.Limit.below(o.Limit)
}

// Report is a state as entries exchange it.
type Report struct {
	Incarnation
	State
}

// unlistedRetention is how long the state of a target is kept after the target has left the
// instance list. A list entry may expire while the store that holds the list is unavailable, and
// reappear with the same incarnation.
const unlistedRetention = time.Minute

// record is what this process knows about an incarnation.
type record struct {
	startMs    int64
	state      State
	backoff    Backoff
	limitSince time.Time // when this process adopted the limit
	listedAt   time.Time
	// unreadable is set after the first statement that could not be parsed.
	unreadable bool
}

// Table holds the states known to one process.
type Table struct{ records map[string]*record } // by target

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]*record{}} }

// recordOf returns the record of an incarnation and creates it if necessary. It returns nil if
// a later incarnation is known.
func (t *Table) recordOf(now time.Time, inc Incarnation) *record {
	r := t.records[inc.Target]
	switch {
	case r == nil, !fleet.SameIncarnation(r.startMs, inc.StartMs) && inc.StartMs > r.startMs:
		r = &record{startMs: inc.StartMs, listedAt: now}
		t.records[inc.Target] = r
	case !fleet.SameIncarnation(r.startMs, inc.StartMs):
		return nil
	}
	r.startMs = max(r.startMs, inc.StartMs)
	return r
}

// Change describes what a statement or report has changed.
type Change struct {
	Limit      bool // the limit
	Leaving    bool // the target is now known to be leaving
	Backoff    bool // a back-off begins
	Unreadable bool // this is the first statement of the incarnation that could not be parsed
}

// Record applies the statement in the response to a request sent at the given time. Responses
// may arrive out of order: a response to a request sent before the current limit was known does
// not raise or lift that limit.
func (t *Table) Record(now time.Time, inc Incarnation, s Statement, sent time.Time) Change {
	if s == (Statement{}) && t.records[inc.Target] == nil {
		return Change{} // the common case: nothing declared
	}
	r := t.recordOf(now, inc)
	if r == nil {
		return Change{}
	}
	first := s.Unreadable() && !r.unreadable
	r.unreadable = r.unreadable || first
	return Change{Limit: r.recordLimit(now, s, sent), Leaving: r.markLeaving(s.Leaving), Backoff: r.backoff.record(now, s.Backoff, sent), Unreadable: first}
}

// MarkLeaving records that an incarnation is leaving.
func (t *Table) MarkLeaving(now time.Time, inc Incarnation) {
	if r := t.recordOf(now, inc); r != nil {
		r.markLeaving(true)
	}
}

// markLeaving records that the target is leaving if leaving is true. It reports whether that is
// a change.
func (r *record) markLeaving(leaving bool) bool {
	changed := leaving && !r.state.Leaving
	r.state.Leaving = r.state.Leaving || leaving
	return changed
}

func (r *record) recordLimit(now time.Time, s Statement, sent time.Time) bool {
	if s.Limit == r.state.Limit || s.LimitUnreadable && !s.Limit.Declared {
		return false
	}
	if !s.Limit.below(r.state.Limit) && !sent.After(r.limitSince) {
		return false
	}
	r.state.Limit, r.state.LimitRevision = s.Limit, r.state.LimitRevision+1
	r.limitSince = now
	return true
}

// Merge applies the report of another entry.
func (t *Table) Merge(now time.Time, o Report) Change {
	r := t.recordOf(now, o.Incarnation)
	if r == nil {
		return Change{}
	}
	c := Change{Leaving: r.markLeaving(o.Leaving), Limit: o.supersedes(r.state)}
	if c.Limit {
		r.state.Limit, r.state.LimitRevision, r.limitSince = o.Limit, o.LimitRevision, now
	}
	return c
}

// StateOf returns the state of an incarnation.
func (t *Table) StateOf(inc Incarnation) State {
	if r := t.find(inc); r != nil {
		return r.state
	}
	return State{}
}

// BackoffOf returns the back-off that an incarnation has requested from this entry.
func (t *Table) BackoffOf(inc Incarnation) Backoff {
	if r := t.find(inc); r != nil {
		return r.backoff
	}
	return Backoff{}
}

// find returns the record of an incarnation, or nil.
func (t *Table) find(inc Incarnation) *record {
	if len(t.records) == 0 {
		return nil
	}
	if r := t.records[inc.Target]; r != nil && fleet.SameIncarnation(r.startMs, inc.StartMs) {
		return r
	}
	return nil
}

// RecordSend records that this entry sends a request to a target. The first one after a
// back-off probes whether the target accepts requests again.
func (t *Table) RecordSend(now time.Time, inc Incarnation) {
	if r := t.records[inc.Target]; r != nil {
		r.backoff.recordSend(now)
	}
}

// CancelSend undoes RecordSend.
func (t *Table) CancelSend(inc Incarnation) {
	if r := t.records[inc.Target]; r != nil {
		r.backoff.cancelSend()
	}
}

// All returns the states that targets have declared, to be sent to other entries.
func (t *Table) All() []Report {
	var out []Report
	for id, r := range t.records {
		if r.state != (State{}) {
			out = append(out, Report{Incarnation{id, r.startMs}, r.state})
		}
	}
	return out
}

// Prune removes targets that have been unlisted for unlistedRetention. listed reports whether a
// target is listed now.
func (t *Table) Prune(now time.Time, listed func(target string) bool) {
	for id, r := range t.records {
		if listed(id) {
			r.listedAt = now
		}
		if now.Sub(r.listedAt) >= unlistedRetention {
			delete(t.records, id)
		}
	}
}

package quarantine

import (
	"slices"
	"time"
)

// unobserved lists the parts with active crashes for which an event, such as a success, has not been
// observed yet of any request without the part. The table's lock protects it.
type unobserved struct {
	at    func(*record) *time.Time // the field that says when the event was first observed
	parts []Fingerprint
	seq   uint64 // of the table when the list was made
}

// record records the event of a request with the given subjects for all parts that it does not have. Requests
// without any part tell nothing: they may run at other targets.
func (u *unobserved) record(t *Table, now time.Time, subjects []Fingerprint) {
	if !slices.ContainsFunc(subjects, Fingerprint.IsPart) {
		return
	}
	if u.seq != t.seq {
		u.parts, u.seq = u.list(t), t.seq
	}
	u.parts = slices.DeleteFunc(u.parts, func(f Fingerprint) bool {
		r := t.records[f]
		if r == nil || slices.Contains(subjects, f) {
			return r == nil
		}
		*u.at(r), t.stale = now, true
		return true
	})
}

func (u *unobserved) list(t *Table) (out []Fingerprint) {
	for f, r := range t.records {
		if !f.IsPart() {
			continue
		}
		if active := r.activeCrashes(); len(active) > 0 && !u.at(r).After(active[0].At) {
			out = append(out, f)
		}
	}
	return out
}

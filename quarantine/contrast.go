package quarantine

import (
	"slices"
	"time"
)

// uncontrasted is a list of the parts with active crashes for which something has not been seen yet of
// a request without the part: that it was sent, or that it succeeded. The table's lock protects it.
type uncontrasted struct {
	at    func(*record) *time.Time // where a record says when it was seen
	parts []Fingerprint
	seq   uint64 // of the table when the list was made
}

// record records that it has been seen of a request with the given subjects.
func (u *uncontrasted) record(t *Table, now time.Time, subjects []Fingerprint) {
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

func (u *uncontrasted) list(t *Table) (out []Fingerprint) {
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

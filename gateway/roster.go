package gateway

import (
	"time"

	"github.com/springgate/springgate/fleet"
)

// Roster retains instances that disappeared from the target list for a short time, since
// list items expire while the store is unavailable although the targets run. So requests
// may be sent to a target that really left; such a target answers that it has not run them.
// Roster does no I/O and reads no clock.
type Roster struct {
	// RetainFor is how long an instance that disappeared without draining is retained. It must
	// be less than the time during which a target that left may still get requests.
	RetainFor time.Duration
	// CatchUp is how long after an outage of the store a running target may be missing from
	// the list.
	CatchUp time.Duration

	known map[string]*fleet.Instance
	// vanished maps the IDs of retained instances to how long the store has been available
	// since they disappeared, during which a running target could have been listed again.
	// The time since the last outage alone does not suffice: an entry with slow calls to
	// the store detects outages again and again, and would retain a target that left for as
	// long as its calls are slow.
	vanished map[string]time.Duration
	updated  time.Time
	down     bool // at the last update
}

// Update applies the current list and returns the instances that may be used. down is true
// while the store cannot be read, and ended is when the last outage ended.
func (r *Roster) Update(now time.Time, list []*fleet.Instance, down bool, ended time.Time) []*fleet.Instance {
	var elapsed time.Duration
	if !r.updated.IsZero() && !r.down {
		elapsed = now.Sub(r.updated)
	}
	r.updated, r.down = now, down
	listed := make(map[string]*fleet.Instance, len(list))
	for _, i := range list {
		listed[i.ID] = i
	}
	out := list
	vanished := map[string]time.Duration{}
	for id, old := range r.known {
		if listed[id] != nil || old.Draining {
			continue
		}
		listable, wasVanished := r.vanished[id]
		if wasVanished {
			listable += elapsed
		}
		if !down && listable >= r.RetainFor && max(listable, now.Sub(ended)) >= r.CatchUp {
			continue
		}
		retained := *old
		retained.Unlisted = true
		listed[id] = &retained
		vanished[id] = listable
		out = append(out, &retained)
	}
	r.known, r.vanished = listed, vanished
	return newestAtEachAddr(out)
}

// newestAtEachAddr drops incarnations that were replaced by another one at the same
// address. After a power loss of all hosts the items of their targets stay in the list for
// seconds until they expire, although they are no longer valid.
func newestAtEachAddr(list []*fleet.Instance) []*fleet.Instance {
	newest := make(map[string]*fleet.Instance, len(list))
	for _, i := range list {
		if n := newest[i.Addr]; n == nil || i.NewerThan(n) {
			newest[i.Addr] = i
		}
	}
	out := make([]*fleet.Instance, 0, len(newest))
	for _, i := range list {
		if newest[i.Addr] == i {
			out = append(out, i)
		}
	}
	return out
}

// Pending reports whether instances are retained that are no longer listed.
func (r *Roster) Pending() bool { return len(r.vanished) > 0 }

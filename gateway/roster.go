package gateway

import (
	"time"

	"github.com/springgate/springgate/fleet"
)

// Roster keeps instances whose entries vanished for a moment: entries lapse
// while the store is away although the targets live, and a target that really
// left answers that it has not run a request. It is pure.
type Roster struct {
	// Hold is how long an instance that vanished without draining is kept. It
	// must stay under the time in which a target that left may still get
	// requests.
	Hold time.Duration
	// CatchUp is how long after an outage of the store an entry may be missing
	// although the target lives.
	CatchUp time.Duration

	known map[string]*fleet.Instance
	// vanished tells of instances, by ID, for how long the store has been there since
	// they vanished, so that a live one could have been listed again. Time since the last
	// outage does not do: an entry whose calls come late sees outages end again and
	// again, and would keep a target that left for as long.
	vanished map[string]time.Duration
	updated  time.Time
	down     bool // at the last update
}

// Update takes the list and returns the instances that may be used. down is
// true while the store cannot be read, and ended is when it last came back.
func (r *Roster) Update(now time.Time, list []*fleet.Instance, down bool, ended time.Time) []*fleet.Instance {
	var passed time.Duration
	if !r.updated.IsZero() && !r.down {
		passed = now.Sub(r.updated)
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
		listable, again := r.vanished[id]
		if again {
			listable += passed
		}
		if !down && listable >= r.Hold && max(listable, now.Sub(ended)) >= r.CatchUp {
			continue
		}
		kept := *old
		kept.Unlisted = true
		listed[id] = &kept
		vanished[id] = listable
		out = append(out, &kept)
	}
	r.known, r.vanished = listed, vanished
	return newestAtEachAddr(out)
}

// newestAtEachAddr drops incarnations that another one at the same address has
// replaced. Their entries stay in the list until they lapse, seconds after all
// hosts lost power, and nothing that they say is true any more.
func newestAtEachAddr(list []*fleet.Instance) []*fleet.Instance {
	newest := make(map[string]*fleet.Instance, len(list))
	for _, i := range list {
		if n := newest[i.Addr]; n == nil || i.Revision > n.Revision {
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

// Pending reports whether instances are kept that are no longer listed.
func (r *Roster) Pending() bool { return len(r.vanished) > 0 }

package gateway

import (
	"time"

	"github.com/springgate/springgate/fleet"
)

// registrationRetention is how long it is remembered that a target has left. A store that is
// restored comes back from a copy that is some seconds old.
const registrationRetention = time.Minute

// restoredExpiry is how long an entry that the store lists after a restore may be outdated by the
// known one. A live target writes its entry again with the next heartbeat, and the store removes
// the entry of a target that sends none after three heartbeat intervals, about 4 s. An entry that
// stays longer is that of a live target: the known one had been missing, or was not its own.
const restoredExpiry = 10 * time.Second

// registrations remembers the newest registration of each target, so that a store that was
// restored from an older copy brings back neither targets that have left nor earlier states of
// others. Within an era the store's order counts; across eras that of the target does: of its
// starts and heartbeats. registrations does no I/O and reads no clock.
type registrations struct {
	era   int64
	known map[string]registration // by target
}

// registration is the newest registration of a target.
type registration struct {
	instance *fleet.Instance
	era      int64     // the store's era when the registration was last listed
	left     bool      // the target is no longer listed, and was removed from the list in that era
	leftAt   time.Time // when it was found missing; zero while it is listed
	listedAt time.Time // since when a store of a later era lists an outdated one
}

// pending reports whether outdated registrations are listed.
func (r *registrations) pending() bool {
	for _, k := range r.known {
		if !k.listedAt.IsZero() {
			return true
		}
	}
	return false
}

// update returns the current registrations of the targets in a list that the store has in an era.
func (r *registrations) update(now time.Time, era int64, list []*fleet.Instance) []*fleet.Instance {
	restored := r.known != nil && era > r.era
	next := make(map[string]registration, len(list))
	out := make([]*fleet.Instance, 0, len(list))
	for _, i := range list {
		old, known := r.known[i.ID]
		if known && old.listedAt.IsZero() {
			old.listedAt = now
		}
		switch {
		case !known || era == old.era || !old.outdates(i) || now.Sub(old.listedAt) >= restoredExpiry:
			next[i.ID] = registration{instance: i, era: era}
		default:
			next[i.ID] = old
		}
		if current := next[i.ID]; !current.left {
			out = append(out, current.instance)
		}
	}
	r.retain(now, next, restored)
	r.era, r.known = era, next
	return out
}

// retain adds the targets that are no longer listed. Those that are missing since a restore may
// just not have registered again.
func (r *registrations) retain(now time.Time, next map[string]registration, restored bool) {
	for id, old := range r.known {
		if _, listed := next[id]; listed {
			continue
		}
		old.listedAt = time.Time{}
		if old.leftAt.IsZero() {
			old.left, old.leftAt = !restored, now
		}
		if now.Sub(old.leftAt) < registrationRetention {
			next[id] = old
		}
	}
}

// outdates reports whether a registration that a store of a later era lists is not newer than the
// known one.
func (r registration) outdates(i *fleet.Instance) bool {
	k := r.instance
	if !fleet.SameIncarnation(k.StartMs, i.StartMs) {
		return i.StartMs < k.StartMs
	}
	return i.HeartbeatSeq < k.HeartbeatSeq || r.left && i.HeartbeatSeq == k.HeartbeatSeq
}

package dispatch

import (
	"slices"
	"time"
)

// SetLoads replaces the loads, by target ID, that the other entry from has in flight. Targets that
// are not in the map have none.
func (b *Balancer) SetLoads(from string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for id := range b.reported[from] {
		if t := b.byID[id]; t != nil && loads[id].Requests == 0 {
			changed = t.setEntryLoad(from, loads[id]) || changed
			delete(t.responsiveTo, from)
		}
	}
	delete(b.reported, from)
	changed = b.applyLoads(from, loads) || changed
	if changed {
		b.notifyChanged()
	}
}

// UpdateLoads replaces the loads, by target ID, that the other entry from has in flight at the
// targets in the map.
func (b *Balancer) UpdateLoads(from string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.applyLoads(from, loads) {
		b.notifyChanged()
	}
}

// applyLoads replaces the loads of an entry at the targets in the map. It reports whether any
// has changed. The caller holds the lock.
func (b *Balancer) applyLoads(from string, loads map[string]Load) (changed bool) {
	for id, l := range loads {
		if t := b.byID[id]; t != nil {
			b.markReported(from, id)
			changed = t.setEntryLoad(from, l) || changed
		}
	}
	return changed
}

// markReported records that an entry has reported a load or a response of a target, so that
// SetLoads finds what it has to remove without a search of all targets.
func (b *Balancer) markReported(from, id string) {
	ids := b.reported[from]
	if ids == nil {
		ids = map[string]bool{}
		b.reported[from] = ids
	}
	ids[id] = true
}

// setEntryLoad replaces the load of an entry and reports whether it has changed.
func (t *Target) setEntryLoad(from string, l Load) bool {
	old := t.entryLoads[from]
	if l == old {
		return false
	}
	if l == (Load{}) {
		delete(t.entryLoads, from)
	} else {
		t.entryLoads[from] = l
	}
	t.load = Load{t.load.Requests + l.Requests - old.Requests, t.load.PendingPrefill + l.PendingPrefill - old.PendingPrefill}
	return true
}

// homeLoadValidity is how long the load that the home entry of a target told counts. After that the
// target counts as having this entry's requests only.
const homeLoadValidity = time.Second

// homeLoad is a load that a home entry told.
type homeLoad struct {
	target string
	at     time.Time
}

// toldByHome is the key of such a load among those of other entries.
const toldByHome = "home"

// SetHomeLoad records the load of all other entries at a target as its home entry told it, for
// entries that do not receive the other entries' own reports.
func (b *Balancer) SetHomeLoad(now time.Time, target string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireHomeLoads(now)
	if t := b.byID[target]; t != nil {
		t.setEntryLoad(toldByHome, l)
		t.homeLoadAt = now
		b.homeLoads = append(b.homeLoads, homeLoad{target, now})
	}
}

// expireHomeLoads drops loads told longer ago than homeLoadValidity. The caller holds the lock.
func (b *Balancer) expireHomeLoads(now time.Time) {
	for len(b.homeLoads) > 0 && now.Sub(b.homeLoads[0].at) >= homeLoadValidity {
		if t := b.byID[b.homeLoads[0].target]; t != nil && t.homeLoadAt.Equal(b.homeLoads[0].at) {
			t.setEntryLoad(toldByHome, Load{})
		}
		b.homeLoads = b.homeLoads[1:]
	}
}

// DomainOf returns the failure domain of a target, or "" if it is not listed.
func (b *Balancer) DomainOf(target string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.byID[target]; t != nil {
		return t.Domain
	}
	return ""
}

// addOwn changes the load that this entry has in flight at a target.
func (b *Balancer) addOwn(t *Target, l Load) {
	t.own, t.load = t.own.add(l), t.load.add(l)
	b.used[t] = true
}

// OwnLoads returns the loads that this entry has in flight, by target ID.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for t := range b.used {
		if b.byID[t.ID] == t && t.own != (Load{}) {
			out[t.ID] = t.own
		}
	}
	return out
}

// OwnLoad returns the load that this entry has in flight at a target.
func (b *Balancer) OwnLoad(target string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.byID[target]; t != nil {
		return t.own
	}
	return Load{}
}

// SilentTargets returns the sorted IDs of the targets to report to other entries as silent.
func (b *Balancer) SilentTargets(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetUnused(now)
	var out []string
	for t := range b.used {
		if len(t.responsiveTo) == 0 && t.health.reportSilent(now, b.silenceLimit(now, t)) {
			out = append(out, t.ID)
		}
	}
	slices.Sort(out)
	return out
}

// forgetUnused removes the targets from b.used of which there is nothing to report.
func (b *Balancer) forgetUnused(now time.Time) {
	for t := range b.used {
		idle := t.own == (Load{}) && t.health.waitingSince.IsZero() && !t.health.recentlyAbandoned(now)
		if idle || b.byID[t.ID] != t {
			delete(b.used, t)
		}
	}
}

// ResponsiveTargets returns the IDs of the targets that process requests of this entry and sent
// it data within activityWindow.
func (b *Balancer) ResponsiveTargets(now time.Time) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for t := range b.used {
		if b.byID[t.ID] == t && t.own.Requests > 0 && now.Sub(t.health.activeAt) < activityWindow {
			out[t.ID] = true
		}
	}
	return out
}

// SetResponsive records whether the other entry from receives data from a target. A target that
// is responsive to others is not treated as silent: if it lost only a single response, it is
// silent for one entry only.
func (b *Balancer) SetResponsive(from, instance string, responsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	switch {
	case t == nil:
	case responsive:
		b.markReported(from, instance)
		t.responsiveTo[from] = true
	default:
		delete(t.responsiveTo, from)
	}
}

// Silenced reports whether this entry or others found a target silent, and none has received
// anything from it since.
func (b *Balancer) Silenced(now time.Time, instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	return t != nil && len(t.responsiveTo) == 0 && (t.health.suspected(now) || t.health.silent(now, b.silenceLimit(now, t)))
}

// Suspect records that another entry reported a target silent. It reports whether the target
// was not suspected already.
func (b *Balancer) Suspect(now time.Time, instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return false
	}
	isNew := !t.health.suspected(now)
	t.health.suspectedAt = now
	return isNew
}

package dispatch

import (
	"slices"
	"time"
)

// SetLoads replaces what another entry has in flight. An empty map forgets it.
func (b *Balancer) SetLoads(from string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.byID {
		t.setOther(from, loads[id])
		if loads[id].Requests == 0 {
			delete(t.heard, from)
		}
	}
	b.wake()
}

// UpdateLoads replaces what another entry has in flight at some targets.
func (b *Balancer) UpdateLoads(from string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range loads {
		if t := b.byID[id]; t != nil {
			t.setOther(from, l)
		}
	}
	b.wake()
}

func (t *Target) setOther(from string, l Load) {
	old := t.others[from]
	if l == old {
		return
	}
	if l == (Load{}) {
		delete(t.others, from)
	} else {
		t.others[from] = l
	}
	t.load = Load{t.load.Requests + l.Requests - old.Requests, t.load.PendingPrefill + l.PendingPrefill - old.PendingPrefill}
}

// OwnLoads returns what this entry has in flight.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, t := range b.byID {
		if t.own != (Load{}) {
			out[id] = t.own
		}
	}
	return out
}

// SilentTargets returns the targets whose silence other entries are to be told
// of, in order.
func (b *Balancer) SilentTargets(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, t := range b.byID {
		if len(t.heard) == 0 && t.health.saysSilent(now, t.silenceLimit()) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ResponsiveTargets returns the targets with work of this entry that sent something
// lately.
func (b *Balancer) ResponsiveTargets(now time.Time) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for id, t := range b.byID {
		if t.own.Requests > 0 && now.Sub(t.health.heardAt) < heardFor {
			out[id] = true
		}
	}
	return out
}

// SetResponsive notes whether another entry hears a target. A single answer that got
// lost makes a target silent for one entry only.
func (b *Balancer) SetResponsive(from, instance string, heard bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	switch {
	case t == nil:
	case heard:
		t.heard[from] = true
	default:
		delete(t.heard, from)
	}
}

// Suspect notes that another entry finds a target silent. It reports whether
// that is news.
func (b *Balancer) Suspect(now time.Time, instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return false
	}
	news := !t.health.suspected(now)
	t.health.suspectedAt = now
	return news
}

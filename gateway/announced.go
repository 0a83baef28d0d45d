package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
)

// dateOf returns when a version was named that is read now. announced is false if it
// was there when this process first read the store: it takes the time allowed to be
// over. An entry that was cut off dates by now, too, as all do after an outage of the
// store, in which no time counts; others tell it what they saw meanwhile.
func dateOf(now time.Time, announced bool, timeout time.Duration) fleet.Announcement {
	if !announced {
		return fleet.Announcement{At: now.Add(-timeout), Estimated: true}
	}
	return fleet.Announcement{At: now}
}

// seen returns when the version was named, as far as this process knows.
func (a *assignment) seen() fleet.Announcement {
	return fleet.Announcement{At: a.since, Estimated: a.guessed}
}

// Announced implements mesh.Listener. Guesses are not told: others may know better,
// and none would ever be withdrawn.
func (c *Control) Announced(now time.Time) []peer.SeenVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []peer.SeenVersion
	told := map[fleet.VersionTarget]bool{}
	for _, newest := range c.assignments {
		for a := newest; a != nil && a.assigned; a = a.before {
			v, age := fleet.VersionTarget{Model: a.model.Model, Version: a.version}, now.Sub(a.since)
			if a.guessed || told[v] || age >= 2*c.cfg.VersionTimeout {
				continue
			}
			told[v] = true
			out = append(out, peer.SeenVersion{Model: v.Model, Version: v.Version, AgeMs: age.Milliseconds()})
		}
	}
	return out
}

// hearVersions takes what another entry saw of the announcements of versions. The
// earliest sight of one counts: nobody sees it before it is made.
func (c *Control) hearVersions(now time.Time, from string, list []peer.SeenVersion) {
	for _, v := range list {
		told := fleet.Announcement{At: now.Add(-time.Duration(v.AgeMs) * time.Millisecond)}
		target := fleet.VersionTarget{Model: v.Model, Version: v.Version}
		if !c.redate(target, told) && !c.insertMissed(target, told) {
			continue
		}
		c.book.SetVersion(target, told.At)
		c.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version, "age_ms": v.AgeMs, "peer": from}).Info("Version named earlier than known.")
	}
}

// redateSlack is the least by which a date is corrected: each entry sees a version
// some ms after the others, and agents are told of each correction.
const redateSlack = 100 * time.Millisecond

// redate corrects when a version was named, and reports whether it did. A version that
// is not known yet is told again with the next full account.
func (c *Control) redate(v fleet.VersionTarget, told fleet.Announcement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, newest := range c.assignments {
		for a := newest; a != nil && a.assigned; a = a.before {
			old := a.seen()
			if a.model.Model != v.Model || a.version != v.Version || !told.Supersedes(old) {
				continue
			}
			if old.Estimated || old.At.Sub(told.At) >= redateSlack {
				a.since, a.guessed, changed = told.At, told.Estimated, true
			}
		}
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return changed
}

// insertMissed takes a version that a newer one had overwritten in the store before this
// entry saw it, and reports whether it was missed. Its time is over before the newer one's.
func (c *Control) insertMissed(v fleet.VersionTarget, told fleet.Announcement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := false
	for _, newest := range c.assignments {
		if !newest.assigned || newest.model.Model != v.Model || newest.version <= v.Version {
			continue
		}
		a := newest
		for a.before != nil && a.before.assigned && a.before.version > v.Version {
			a = a.before
		}
		if a.before != nil && a.before.assigned && a.before.version == v.Version {
			continue
		}
		a.before = &assignment{model: newest.model, version: v.Version, since: told.At, guessed: told.Estimated, assigned: true, before: a.before}
		missed = true
	}
	if missed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return missed
}

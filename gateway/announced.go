package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
)

// announcementAt returns when a version was named that is read now. announced is false if it
// was there when this process first read the store: it takes the time allowed to be
// over. An entry that was cut off dates by now, too, as all do after an outage of the
// store, in which no time counts; others tell it what they saw meanwhile.
func announcementAt(now time.Time, announced bool, timeout time.Duration) fleet.Announcement {
	if !announced {
		return fleet.Announcement{At: now.Add(-timeout), Guessed: true}
	}
	return fleet.Announcement{At: now}
}

// announcement returns when the version was named, as far as this process knows.
func (a *assignment) announcement() fleet.Announcement {
	return fleet.Announcement{At: a.since, Guessed: a.guessed}
}

// Announced implements mesh.Listener. Guesses are not told: others may know better,
// and none would ever be withdrawn.
func (c *Control) Announced(now time.Time) []peer.SeenVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []peer.SeenVersion
	sent := map[fleet.VersionTarget]bool{}
	for _, newest := range c.assignments {
		for a := newest; a != nil && a.explicit; a = a.previous {
			v, age := fleet.VersionTarget{Model: a.model.Model, Version: a.version}, now.Sub(a.since)
			if a.guessed || sent[v] || age >= 2*c.cfg.VersionTimeout {
				continue
			}
			sent[v] = true
			out = append(out, peer.SeenVersion{Model: v.Model, Version: v.Version, AgeMs: age.Milliseconds()})
		}
	}
	return out
}

// mergeVersions takes what another entry saw of the announcements of versions. The
// earliest sight of one counts: nobody sees it before it is made.
func (c *Control) mergeVersions(now time.Time, from string, list []peer.SeenVersion) {
	for _, v := range list {
		reported := fleet.Announcement{At: now.Add(-time.Duration(v.AgeMs) * time.Millisecond)}
		target := fleet.VersionTarget{Model: v.Model, Version: v.Version}
		if !c.correctDate(target, reported) && !c.insertMissed(target, reported) {
			continue
		}
		c.book.SetVersion(target, reported.At)
		c.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version, "age_ms": v.AgeMs, "peer": from}).Info("Version named earlier than known.")
	}
}

// minDateCorrection is the least by which a date is corrected: each entry sees a version
// some ms after the others, and agents are told of each correction.
const minDateCorrection = 100 * time.Millisecond

// correctDate corrects when a version was named, and reports whether it did. A version that
// is not known yet is told again with the next full account.
func (c *Control) correctDate(v fleet.VersionTarget, reported fleet.Announcement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, newest := range c.assignments {
		for a := newest; a != nil && a.explicit; a = a.previous {
			old := a.announcement()
			if a.model.Model != v.Model || a.version != v.Version || !reported.TellsMore(old) {
				continue
			}
			if old.Guessed || old.At.Sub(reported.At) >= minDateCorrection {
				a.since, a.guessed, changed = reported.At, reported.Guessed, true
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
func (c *Control) insertMissed(v fleet.VersionTarget, reported fleet.Announcement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := false
	for _, newest := range c.assignments {
		if !newest.explicit || newest.model.Model != v.Model || newest.version <= v.Version {
			continue
		}
		a := newest
		for a.previous != nil && a.previous.explicit && a.previous.version > v.Version {
			a = a.previous
		}
		if a.previous != nil && a.previous.explicit && a.previous.version == v.Version {
			continue
		}
		a.previous = &assignment{model: newest.model, version: v.Version, since: reported.At, guessed: reported.Guessed, explicit: true, previous: a.previous}
		missed = true
	}
	if missed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return missed
}

package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
)

// announcementAt returns when a version that this process reads from the store now was
// announced. announced is false if the version was already present when this process first
// read the store; its timeout is then assumed to have expired. Otherwise the announcement
// is dated now. That is too late if this entry was disconnected from the store, until other
// entries report the time that they observed. After an outage of the store all entries date
// it so, since a version's timeout does not run during an outage.
func announcementAt(now time.Time, announced bool, timeout time.Duration) fleet.Announcement {
	if !announced {
		return fleet.Announcement{At: now.Add(-timeout), Estimated: true}
	}
	return fleet.Announcement{At: now}
}

// announcement returns when the version was announced, as far as this process knows.
func (a *assignment) announcement() fleet.Announcement {
	return fleet.Announcement{At: a.since, Estimated: a.estimated}
}

// Announced implements mesh.Listener: it returns the announcement times that this entry
// reports to the others. Estimated times are not sent: other entries may have an observed
// time, and an estimate that was sent would never be withdrawn.
func (c *Control) Announced(now time.Time) []peer.ObservedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []peer.ObservedVersion
	sent := map[fleet.VersionTarget]bool{}
	for _, newest := range c.assignments {
		for a := newest; a != nil && a.explicit; a = a.previous {
			v, age := fleet.VersionTarget{Model: a.model.Model, Version: a.version}, now.Sub(a.since)
			if a.estimated || sent[v] || age >= 2*c.cfg.VersionTimeout {
				continue
			}
			sent[v] = true
			out = append(out, peer.ObservedVersion{Model: v.Model, Version: v.Version, AgeMs: age.Milliseconds()})
		}
	}
	return out
}

// mergeVersions merges the version announcements that another entry observed. The earliest
// observation of an announcement wins, since none can precede the announcement itself.
func (c *Control) mergeVersions(now time.Time, from string, list []peer.ObservedVersion) {
	for _, v := range list {
		reported := fleet.Announcement{At: now.Add(-time.Duration(v.AgeMs) * time.Millisecond)}
		target := fleet.VersionTarget{Model: v.Model, Version: v.Version}
		if !c.correctDate(target, reported) && !c.insertMissed(target, reported) {
			continue
		}
		c.balancer.SetVersion(target, reported.At)
		c.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version, "age_ms": v.AgeMs, "peer": from}).Info("Version was announced earlier than known.")
	}
}

// minDateCorrection is the least correction that is applied to an observed announcement
// time. Entries observe an announcement some milliseconds apart, and each correction is
// sent to all agents.
const minDateCorrection = 100 * time.Millisecond

// correctDate corrects when a version was announced, and reports whether it did. A version
// that is not known here yet is ignored; peers send it again with their next full report.
func (c *Control) correctDate(v fleet.VersionTarget, reported fleet.Announcement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, newest := range c.assignments {
		for a := newest; a != nil && a.explicit; a = a.previous {
			old := a.announcement()
			if a.model.Model != v.Model || a.version != v.Version || !reported.Supersedes(old) {
				continue
			}
			if old.Estimated || old.At.Sub(reported.At) >= minDateCorrection {
				a.since, a.estimated, changed = reported.At, reported.Estimated, true
			}
		}
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return changed
}

// insertMissed adds a version that was overwritten in the store by a newer one before this
// entry read it, and reports whether it was missing. The version is needed because its
// timeout expires before that of the newer version.
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
		a.previous = &assignment{model: newest.model, version: v.Version, since: reported.At, estimated: reported.Estimated, explicit: true, previous: a.previous}
		missed = true
	}
	if missed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return missed
}

package dispatch

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
)

// RecordStatement takes what an answer to a request that was sent at a time says of the target
// that gave it.
func (b *Balancer) RecordStatement(now time.Time, i fleet.Instance, s notice.Statement, sent time.Time) notice.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := notice.LifeOf(&i)
	before := b.notices.Of(l).Limit
	changed := b.notices.Hear(now, l, s, sent)
	if changed.Limit {
		b.limitChanged(now, l, before)
	}
	if changed.Leaving || changed.Rest {
		b.wake()
	}
	return changed
}

// MergeReport takes what another entry believes of a target.
func (b *Balancer) MergeReport(now time.Time, o notice.Told) notice.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[o.Target] == nil {
		return notice.Change{} // it would not be forgotten when the target leaves the list
	}
	before := b.notices.Of(o.Life).Limit
	changed := b.notices.Merge(now, o)
	if changed.Limit {
		b.limitChanged(now, o.Life, before)
	}
	return changed
}

// limitChanged takes up another limit of a target; the lock is held.
func (b *Balancer) limitChanged(now time.Time, l notice.Life, before notice.Limit) {
	t := b.byID[l.Target]
	if t != nil && fleet.SameLife(t.Born, l.Born) && !before.Named {
		t.pace.spend(now, t.rate(now, b.said(t).Limit), 0)
	}
	b.wake()
}

// Reports returns what is believed of targets by what they say, for other entries.
func (b *Balancer) Reports() []notice.Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.All()
}

// ReportOf returns what is believed of the life of a target that is listed.
func (b *Balancer) ReportOf(instance string) notice.Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return notice.Told{}
	}
	return notice.Told{Life: notice.LifeOf(&t.Instance), Belief: b.said(t)}
}

// UpdateNotices takes which targets the list says to be leaving, and forgets what targets
// said that have not been listed for long.
func (b *Balancer) UpdateNotices(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.byID {
		if t.Draining {
			b.notices.Leave(now, notice.LifeOf(&t.Instance))
		}
	}
	b.notices.Prune(now, func(target string) bool { return b.byID[target] != nil })
}

// said is what a target is believed to have said of itself; the lock is held.
func (b *Balancer) said(t *Target) notice.Belief { return b.notices.Of(notice.LifeOf(&t.Instance)) }

// rest is what a target has asked of this entry; the lock is held.
func (b *Balancer) rest(t *Target) notice.Rest { return b.notices.RestOf(notice.LifeOf(&t.Instance)) }

// leaving reports whether a target leaves, by the list or its own word; the lock is held.
func (b *Balancer) leaving(t *Target) bool { return t.Draining || b.said(t).Leaving }

// found begins the pace of a target that is new to this entry, if it is cold.
func (t *Target) found() {
	at := t.ColdUntil.Add(-t.ColdFor)
	if r := t.rate(at, notice.Limit{}); r.bounded {
		t.pace.spend(at, r, firstSights)
	}
}

// rate is how many requests a second a target takes now that has named a limit.
func (t *Target) rate(now time.Time, limit notice.Limit) rate {
	var r rate
	if t.coldPerS > 0 && now.Before(t.ColdUntil) {
		r = r.lower(t.coldPerS)
	}
	if limit.Named {
		r = r.lower(max(limit.PerS, leastRate))
	}
	return r
}

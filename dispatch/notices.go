package dispatch

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
)

// RecordStatement records the statement (rate limit, leaving, back-off) in a target's response to
// a request that was sent at the given time.
func (b *Balancer) RecordStatement(now time.Time, i fleet.Instance, s notice.Statement, sent time.Time) notice.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	inc := notice.IncarnationOf(&i)
	before := b.notices.StateOf(inc).Limit
	changed := b.notices.Record(now, inc, s, sent)
	if changed.Limit {
		b.applyLimitChange(now, inc, before)
	}
	if changed.Leaving || changed.Backoff {
		b.notifyChanged()
	}
	return changed
}

// MergeReport merges the state of a target that another entry reported.
func (b *Balancer) MergeReport(now time.Time, o notice.Report) notice.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[o.Target] == nil {
		return notice.Change{} // the state of an unlisted target would never be removed
	}
	before := b.notices.StateOf(o.Incarnation).Limit
	changed := b.notices.Merge(now, o)
	if changed.Limit {
		b.applyLimitChange(now, o.Incarnation, before)
	}
	return changed
}

// applyLimitChange applies a changed limit of a target. If the target had none before, the
// requests of the current window count as used up. The caller holds the lock.
func (b *Balancer) applyLimitChange(now time.Time, inc notice.Incarnation, before notice.Limit) {
	t := b.byID[inc.Target]
	if t != nil && fleet.SameIncarnation(t.StartMs, inc.StartMs) && !before.Declared {
		t.pace.exhaust(now, t.rate(now, b.stateOf(t).Limit), 0)
	}
	b.notifyChanged()
}

// Reports returns the states that targets have declared, to be sent to other entries.
func (b *Balancer) Reports() []notice.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.All()
}

// ReportOf returns the state that the current incarnation of a listed target has declared.
func (b *Balancer) ReportOf(instance string) notice.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return notice.Report{}
	}
	return notice.Report{Incarnation: notice.IncarnationOf(&t.Instance), State: b.stateOf(t)}
}

// UpdateNotices marks targets as leaving that the instance list shows as draining, and removes the
// state of targets that have been unlisted for some time.
func (b *Balancer) UpdateNotices(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.byID {
		if t.Draining {
			b.notices.MarkLeaving(now, notice.IncarnationOf(&t.Instance))
		}
	}
	b.notices.Prune(now, func(target string) bool { return b.byID[target] != nil })
}

// stateOf returns the state that a target has declared. The caller holds the lock.
func (b *Balancer) stateOf(t *Target) notice.State {
	return b.notices.StateOf(notice.IncarnationOf(&t.Instance))
}

// backoffOf returns the back-off that a target has requested from this entry. The caller holds
// the lock.
func (b *Balancer) backoffOf(t *Target) notice.Backoff {
	return b.notices.BackoffOf(notice.IncarnationOf(&t.Instance))
}

// leaving reports whether a target is leaving, according to the instance list or to its own
// statement. The caller holds the lock.
func (b *Balancer) leaving(t *Target) bool { return t.Draining || b.stateOf(t).Leaving }

// initPace initializes the pacer of a target that is new to this entry. If the target is cold,
// only initialColdQuota requests remain for the first window.
func (t *Target) initPace() {
	at := t.ColdUntil.Add(-t.ColdFor)
	if r := t.rate(at, notice.Limit{}); r.bounded {
		t.pace.exhaust(at, r, initialColdQuota)
	}
}

// rate returns the request rate that a target with the given declared limit accepts now.
func (t *Target) rate(now time.Time, limit notice.Limit) rate {
	var r rate
	if t.coldRate > 0 && now.Before(t.ColdUntil) {
		r = r.lower(t.coldRate)
	}
	if limit.Declared {
		r = r.lower(max(limit.PerS, minRate))
	}
	return r
}

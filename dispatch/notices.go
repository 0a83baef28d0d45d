package dispatch

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
)

// HearNotice takes what an answer to a request that was sent at a time says of the target
// that gave it.
func (b *Book) HearNotice(now time.Time, i fleet.Instance, s notice.Statement, sent time.Time) notice.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := notice.LifeOf(i)
	before := b.notices.Of(l).Limit
	changed := b.notices.Hear(now, l, s, sent)
	if changed.Limit {
		b.limitChanged(now, l, before)
	}
	return changed
}

// Learn takes what another entry believes of a target.
func (b *Book) Learn(now time.Time, o notice.Told) notice.Change {
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
func (b *Book) limitChanged(now time.Time, l notice.Life, before notice.Limit) {
	t := b.byID[l.Target]
	if t != nil && fleet.SameLife(t.Born, l.Born) && !before.Named {
		t.pace.spend(now, b.rate(now, t))
	}
	b.wake()
}

// Notices returns what is believed of targets by what they say, for other entries.
func (b *Book) Notices() []notice.Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.All()
}

// NoticeOf returns what is believed of the life of a target that is listed.
func (b *Book) NoticeOf(instance string) notice.Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return notice.Told{}
	}
	l := notice.LifeOf(t.Instance)
	return notice.Told{Life: l, Belief: b.notices.Of(l)}
}

// ForgetNotices forgets what targets said that have not been listed for long.
func (b *Book) ForgetNotices(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.Prune(now, func(target string) bool { return b.byID[target] != nil })
}

// rate is how many requests a second a target takes now; the lock is held.
func (b *Book) rate(now time.Time, t *Target) rate {
	var r rate
	if t.coldPerS > 0 && now.Before(t.ColdUntil) {
		r = r.lower(t.coldPerS)
	}
	if l := b.notices.Of(notice.LifeOf(t.Instance)).Limit; l.Named {
		r = r.lower(max(l.PerS, leastRate))
	}
	return r
}

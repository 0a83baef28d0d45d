package dispatch

import (
	"time"

	"github.com/springgate/springgate/notice"
)

// Reservation is what became of the question for a place at a target.
type Reservation uint8

// Reservations.
const (
	ReservationGranted Reservation = iota
	ReservationDenied              // the target is too loaded by now
	ReservationDeferred                // the target takes no more, or not yet, and is left alone meanwhile
)

// ReserveResult is a home's answer to an entry that wants to send a request to a target.
type ReserveResult struct {
	Granted bool
	Known   bool          // the home knows the target
	Wait    time.Duration // until the target takes one more; zero if that is not why
	Report    notice.Told   // what the home believes of the target
}

// Reserve decides for another entry whether one more request with so long a
// prompt may go to a target, on the terms that the entry states. The grant counts
// as that entry's load until its next account. A target that is not known here is
// granted: the asker may know better. In a failure domain that is evacuated by now none
// is granted.
func (b *Balancer) Reserve(now time.Time, from, instance string, prompt int, a Admission) ReserveResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return ReserveResult{Granted: true}
	}
	p := ReserveResult{Known: true, Report: notice.Told{Life: notice.LifeOf(&t.Instance), Belief: b.said(t)}}
	p.Report.Leaving = b.leaving(t)
	r := t.rate(now, p.Report.Limit)
	p.Wait = max(t.pace.next(now, r).Sub(now), 0)
	if p.Wait > 0 || p.Report.Leaving || b.policy.Evacuated(t.Domain) || !a.admits(t.load, b.forecast(t, Demand{Prompt: prompt})) {
		return p
	}
	p.Granted = true
	t.pace.count(now, r)
	l := Load{Requests: 1, PendingPrefill: prompt}
	t.others[from] = t.others[from].add(l)
	t.load = t.load.add(l)
	return p
}

// BackOff leaves a target alone for a time, because its home grants no place before.
func (b *Balancer) BackOff(now time.Time, instance string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.byID[instance]; t != nil {
		t.pace.heldUntil = now.Add(wait)
	}
}

// BackOffUnanswered leaves a target with a bounded rate alone, because its home did not
// answer: what others send there is not known.
func (b *Balancer) BackOffUnanswered(now time.Time, instance string) {
	b.BackOff(now, instance, holdUnanswered)
}

// Cancel takes a choice back that was not followed.
func (b *Balancer) Cancel(t *Target, d Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Requests: -1, PendingPrefill: -d.Prompt}
	t.own, t.load = t.own.add(l), t.load.add(l)
	t.pace.takeBack()
	b.notices.NotSent(notice.LifeOf(&t.Instance))
	if t.own.Requests == 0 {
		t.health.waitingSince = time.Time{}
	}
}

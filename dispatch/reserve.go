package dispatch

import (
	"time"

	"github.com/springgate/springgate/notice"
)

// Reservation is the outcome of a request for a reservation at a target.
type Reservation uint8

// Outcomes of a reservation.
const (
	ReservationGranted   Reservation = iota
	ReservationDenied                // the target is now too loaded
	ReservationDeferred              // the target accepts no requests for now; this entry sends it none for a while
	ReservationElsewhere             // the target is too loaded, which this entry did not know; another one may not be
)

// ReserveResult is the answer to another entry's reservation request from the home entry of a
// target, which counts the requests that all entries send to the target.
type ReserveResult struct {
	Granted bool
	Known   bool          // the home entry knows the target
	Wait    time.Duration // until the target's rate limit allows the next request; zero if it allows one now
	Report  notice.Report // state of the target known to the home entry
	Others  Load          // at the target before the request, of all entries but the requester
}

// Reserve decides, as the home entry of a target, whether the entry from may send one more request
// with the given number of prompt tokens to the target, under that entry's admission limits. A
// granted request counts as that entry's load until its next load report. A reservation at an
// unknown target is granted, since the requesting entry may have a newer list. In an evacuated
// failure domain no reservation is granted.
func (b *Balancer) Reserve(now time.Time, from, instance string, prompt int, a Admission) ReserveResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.byID[instance]
	if t == nil {
		return ReserveResult{Granted: true}
	}
	p := ReserveResult{Known: true, Report: notice.Report{Incarnation: notice.IncarnationOf(&t.Instance), State: b.stateOf(t)}}
	p.Report.Leaving = b.leaving(t)
	p.Others = Load{t.load.Requests - t.entryLoads[from].Requests, t.load.PendingPrefill - t.entryLoads[from].PendingPrefill}
	r := t.rate(now, p.Report.Limit)
	p.Wait = max(t.pace.next(now, r).Sub(now), 0)
	if p.Wait > 0 || p.Report.Leaving || b.policy.Evacuated(t.Domain) || !b.admitsHere(now, t, prompt, a) {
		return p
	}
	p.Granted = true
	t.pace.count(now, r)
	l := Load{Requests: 1, PendingPrefill: prompt}
	b.markReported(from, instance)
	t.entryLoads[from] = t.entryLoads[from].add(l)
	t.load = t.load.add(l)
	return p
}

// admitsHere applies another entry's limits with the speed of the target that this entry knows.
func (b *Balancer) admitsHere(now time.Time, t *Target, prompt int, a Admission) bool {
	s, _ := b.slowdownOf(now, t, prompt)
	slow := b.relative(now, t, s)
	return a.admits(t.load, b.forecast(now, t, Demand{Prompt: prompt}).scale(slow), slow)
}

// BackOff stops sending requests to a target for the given wait, in which the target's home entry
// grants no reservations.
func (b *Balancer) BackOff(now time.Time, instance string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.byID[instance]; t != nil {
		t.pace.blockedUntil = now.Add(wait)
	}
}

// BackOffUnanswered backs off from a target with a limited rate because its home entry did not
// answer: without that answer, the number of requests that other entries send is unknown.
func (b *Balancer) BackOffUnanswered(now time.Time, instance string) {
	b.BackOff(now, instance, unansweredBackoff)
}

// Cancel undoes a choice that was not used.
func (b *Balancer) Cancel(t *Target, d Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Requests: -1, PendingPrefill: -d.Prompt}
	b.addOwn(t, l)
	t.pace.undo()
	b.notices.CancelSend(notice.IncarnationOf(&t.Instance))
	if t.own.Requests == 0 {
		t.health.waitingSince = time.Time{}
	}
}

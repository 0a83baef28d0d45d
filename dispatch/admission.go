package dispatch

import (
	"math"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Standing classifies a request by what serving it can still achieve. It decides which requests
// take precedence when capacity is short.
type Standing uint8

// Standings of a request.
const (
	// Fresh requests can be answered within their objective.
	Fresh Standing = iota
	// Overdue requests are retries of refused callers and can only be answered after their
	// objective. They get the capacity that fresh requests leave.
	Overdue
	// Resumed requests are streams that have been partly delivered. Refusing one would waste the
	// work already done for it.
	Resumed
)

// String returns the name of the standing.
func (s Standing) String() string { return [...]string{"fresh", "overdue", "resumed"}[s] }

// Admission holds the limits under which a request is accepted at a target. An entry sends them
// with its reservation request to the target's home entry, so that both apply the same limits.
type Admission struct {
	MaxWait time.Duration // longest forecast time until the target starts on the request
	MaxGap  time.Duration // longest forecast gap between events of the target's other streams; zero for no limit
	MaxLoad int           // refused once this many requests are at the target; zero for no limit
}

// admits reports whether a target with the given load and forecast may take the request. The
// wait at an idle target is always accepted: refusing would not help any other request. slow is
// by how much the target is slower than most (see relative).
func (a Admission) admits(l Load, f Forecast, slow float64) bool {
	if a.MaxLoad > 0 && l.Requests >= a.MaxLoad {
		return false
	}
	if a.MaxGap > 0 && f.Gap > a.MaxGap && (l.PendingPrefill > 0 || slow > 1 && l.Requests > 0) {
		// With no other prompt pending, a long prompt is accepted, or it would be refused forever;
		// but not at a slow target with running streams, since most others are not slow.
		return false
	}
	return f.Wait <= max(a.MaxWait, f.IdleWait)
}

// While a service is overloaded, overdue requests leave one in overdueReserve of a target's slots
// free and wait no longer than overdueWaitFraction of the common wait (see commonWait): a slot
// that is busy with a late response is not available to fresh requests.
const (
	overdueReserve      = 8
	overdueWaitFraction = 0.5
)

// admission returns the limits for a request that may be sent to t, which is slower than most by
// the factor slow (see relative). All requests of a service
// that can still be in time have the same MaxWait, whatever their objective and size. If each
// request were tested against its own objective, the load would rise until only the loosest
// objectives were met, and requests with tighter objectives would starve.
func (b *Balancer) admission(now time.Time, t *Target, stats *objectiveStats, d Demand, slow float64) Admission {
	a := Admission{MaxWait: b.commonWait(now, t, stats, d, slow), MaxGap: time.Duration(b.cfg.AdmitGapFraction * float64(d.MaxGap))}
	switch d.Standing {
	case Fresh:
		a.MaxWait -= time.Duration(d.Yield * float64(a.MaxWait))
	case Overdue:
		if stats.overloaded(now) {
			a.MaxWait = time.Duration(overdueWaitFraction * float64(a.MaxWait))
			slots := t.slots()
			a.MaxLoad = max(slots-(slots+overdueReserve-1)/overdueReserve, 1)
		}
	case Resumed:
		a.MaxWait = max(a.MaxWait, d.Objective)
	}
	return a
}

// slots returns how many requests the target processes concurrently.
func (t *Target) slots() int {
	if t.model != nil {
		return t.model.Slots
	}
	return max(t.Slots, 1)
}

// commonWait returns the longest wait at t with which a request of mean size meets every
// objective that at least minObjectiveShare of the service's requests have.
func (b *Balancer) commonWait(now time.Time, t *Target, stats *objectiveStats, d Demand, slow float64) time.Duration {
	if b.cfg.Off.Has(mechanism.CommonWait) || stats == nil || len(stats.shares) == 0 {
		return b.slack(now, t, d, slow)
	}
	least := time.Duration(math.MaxInt64)
	for _, o := range stats.shares {
		if o.count >= minObjectiveShare*stats.total {
			least = min(least, b.slack(now, t, Demand{Objective: o.objective, Prompt: o.meanPrompt(), Kind: d.Kind}, slow))
		}
	}
	return least
}

// slack returns how long a request may wait at t and still be served within the fraction
// Config.AdmitFraction of its objective. slow is by how much the target is slower than most.
func (b *Balancer) slack(now time.Time, t *Target, d Demand, slow float64) time.Duration {
	service := b.plainLatency(now, t, d.Kind)
	if t.model != nil {
		service = passTime(t.model, t.model.Slots) + prefillTime(t.model, d.Prompt)
	}
	service = time.Duration(slow * float64(service))
	return max(time.Duration(b.cfg.AdmitFraction*float64(d.Objective))-service, 0)
}

// RecordArrival records a new request for a service before a target is chosen. It returns the
// tightest objective in use by the service's callers.
func (b *Balancer) RecordArrival(now time.Time, service string, d Demand) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.objectivesOf(now, service)
	if d.Standing == Fresh {
		s.observe(now, d.Objective, d.Prompt)
	}
	if b.cfg.Off.Has(mechanism.CommonWait) {
		return d.Objective
	}
	return s.tightest(d.Objective)
}

// RecordRefusal records that a request was refused because no target could serve it in time.
func (b *Balancer) RecordRefusal(now time.Time, service string, d Demand) {
	if d.Standing != Fresh {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.objectivesOf(now, service).refusedAt = now
}

func (b *Balancer) objectivesOf(now time.Time, service string) *objectiveStats {
	s := b.objectives[service]
	if s == nil {
		s = &objectiveStats{at: now}
		b.objectives[service] = s
	}
	return s
}

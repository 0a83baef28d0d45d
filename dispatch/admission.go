package dispatch

import (
	"math"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Standing says what a request can still become, which decides who goes first
// where not all can be served.
type Standing uint8

// Standings of a request.
const (
	// Fresh requests can be answered within their objective.
	Fresh Standing = iota
	// Overdue requests belong to callers that were refused before and can only
	// be answered late. They get what fresh ones leave.
	Overdue
	// Resumed requests are streams of which the caller has a part. Ending one
	// wastes what was done for it.
	Resumed
)

// String returns the name of the standing.
func (s Standing) String() string { return [...]string{"fresh", "overdue", "resumed"}[s] }

// Admission is the decision of a service on one request: what it accepts at a
// target. An asker states it to the target's home, so that both decide alike.
type Admission struct {
	MaxWait time.Duration // until the target begins with it
	MaxGap  time.Duration // longest pause of others; zero for no bound
	MaxLoad int           // requests there before it; zero for no bound
}

// admits reports whether a target with such a load and forecast may take the
// request. One that would begin at once may take any fresh one: refusing it helps
// nobody.
func (a Admission) admits(l Load, f Forecast) bool {
	if a.MaxLoad > 0 && l.Requests >= a.MaxLoad {
		return false
	}
	if a.MaxGap > 0 && f.Gap > a.MaxGap && l.PendingPrefill > 0 {
		return false // alone, a prompt must be read at some time
	}
	return f.Wait <= max(a.MaxWait, f.IdleWait)
}

// overdueReserve is one slot in so many that overdue requests leave free, and
// overdueWait the part of the common wait that they accept. They answer sustained
// overload: a slot that holds a late answer is missing for fresh requests.
const (
	overdueReserve = 8
	overdueWait    = 0.5
)

// admission returns the decision for a request that t may get. All requests of a
// service that can be in time accept the same wait, whatever their objective and
// size: if each tested its own objective, the load would settle where the
// loosest just fits, and shut out the others.
func (b *Balancer) admission(now time.Time, t *Target, demands *demands, d Demand) Admission {
	a := Admission{MaxWait: b.commonWait(t, demands, d), MaxGap: time.Duration(b.cfg.AdmitGapFraction * float64(d.MaxGap))}
	switch d.Standing {
	case Overdue:
		if demands.overloaded(now) {
			a.MaxWait = time.Duration(overdueWait * float64(a.MaxWait))
			slots := t.slots()
			a.MaxLoad = max(slots-(slots+overdueReserve-1)/overdueReserve, 1)
		}
	case Resumed:
		a.MaxWait = max(a.MaxWait, d.Objective)
	}
	return a
}

// slots is how many requests the target works on at once.
func (t *Target) slots() int {
	if t.model != nil {
		return t.model.Slots
	}
	return max(t.Slots, 1)
}

// commonWait is the longest wait at t with which a mean request of each objective
// that the service's callers have is in time.
func (b *Balancer) commonWait(t *Target, demands *demands, d Demand) time.Duration {
	if b.cfg.Off.Has(mechanism.CommonWait) || demands == nil || len(demands.seen) == 0 {
		return b.slack(t, d.Objective, d.Prompt)
	}
	least := time.Duration(math.MaxInt64)
	for _, o := range demands.seen {
		if o.count >= demandShare*demands.total {
			least = min(least, b.slack(t, o.objective, o.meanPrompt()))
		}
	}
	return least
}

// slack is how long a request may wait at t before it is served.
func (b *Balancer) slack(t *Target, objective time.Duration, prompt int) time.Duration {
	service := b.plainLatency(t)
	if t.model != nil {
		service = passTime(t.model, t.model.Slots) + readTime(t.model, prompt)
	}
	return max(time.Duration(b.cfg.AdmitFraction*float64(objective))-service, 0)
}

// RecordArrival notes a new request for a service before a target is chosen. It returns
// the tightest objective that the service's callers have.
func (b *Balancer) RecordArrival(now time.Time, service string, d Demand) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.demandsOf(now, service)
	if d.Standing == Fresh {
		s.observe(now, d.Objective, d.Prompt)
	}
	if b.cfg.Off.Has(mechanism.CommonWait) {
		return d.Objective
	}
	return s.tightest(d.Objective)
}

// RecordRefusal notes that a request was turned away because no target could serve it
// in time.
func (b *Balancer) RecordRefusal(now time.Time, service string, d Demand) {
	if d.Standing != Fresh {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demandsOf(now, service).refusedAt = now
}

func (b *Balancer) demandsOf(now time.Time, service string) *demands {
	s := b.demands[service]
	if s == nil {
		s = &demands{at: now}
		b.demands[service] = s
	}
	return s
}

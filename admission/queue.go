// Package admission decides at a target host which requests run, wait or are
// refused, in the mode of `springgate serve`. In the mode of `springgate
// gateway` package dispatch does so. Package admission performs no I/O, and
// clock readings are passed as arguments.
//
// Teams share the target by weight with start-time fair queueing. Within a
// team more urgent requests are served first, and equally urgent ones in order
// of arrival. A retry is placed behind as many later first attempts as the queue
// can hold, so that it does not delay them and is not starved by them. When the
// queue is full, the team with the largest part of the queue relative to its
// weight loses the last of its waiting requests, so a large team cannot block a
// small one.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/springgate/springgate/outcome"
	"golang.org/x/time/rate"
)

// Limits are the limits of one target.
type Limits struct {
	Concurrency int // largest number of requests that run concurrently
	Queue       int // largest number of requests that wait
}

// TeamLimits are the limits of one team at one target.
type TeamLimits struct {
	Name        string
	Weight      int // share relative to other teams
	Concurrency int // largest number of running requests; 0 is no limit
	Rate        int // requests per second; 0 is no limit
	// Priority is the most urgent level of Request.Urgency that the team may use;
	// its more urgent requests are treated as having this level.
	Priority int
}

// Request describes a request to be admitted.
type Request struct {
	ID       uint64
	Team     string
	Urgency  int // RFC 9218: 0 is the most urgent, 7 the least
	Retry    bool
	Deadline time.Time
}

// Verdict is the result of Queue.Offer for one request. A request that is
// neither started nor refused waits.
type Verdict struct {
	Start      bool // the request runs now
	Refused    outcome.Reason
	RetryAfter time.Duration
}

// Refusal is the refusal of a request that was waiting.
type Refusal struct {
	ID         uint64
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Effects lists what a call changed for other requests.
type Effects struct {
	Started []uint64
	Refused []Refusal
}

// Parameters of the policy.
const (
	// neutralUrgency is the default urgency of RFC 9218.
	neutralUrgency = 3
	// retryShare is the fraction of the queue that retries may fill.
	retryShare = 0.25
	// serviceSmoothing is the weight of a new sample of the service time.
	serviceSmoothing = 0.1
	// minRetryAfter is the shortest Retry-After: the header has a resolution
	// of one second.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

type waiting struct {
	Request
	position uint64 // order of arrival; a retry is placed one queue length further back
}

type team struct {
	limits  TeamLimits
	limiter *rate.Limiter
	queue   []waiting // in service order
	running int
	finish  float64 // virtual finish time of the last request started
}

// Queue admits requests to one target. It must be used by a single goroutine.
type Queue struct {
	limits         Limits
	teams          map[string]*team
	running        map[uint64]string // id -> team
	queued         int
	retries        int     // retries among the queued requests
	virtual        float64 // virtual time: virtual start time of the last request started
	seq            uint64
	serviceSeconds float64 // smoothed service time in seconds; 0 if unknown
}

// New returns a queue with the given limits and no teams.
func New(l Limits) *Queue {
	return &Queue{limits: l, teams: map[string]*team{}, running: map[uint64]string{}}
}

// Configure sets limits and teams. A team that is no longer listed is kept until
// its requests have finished.
func (q *Queue) Configure(now time.Time, l Limits, teams []TeamLimits) Effects {
	q.limits = l
	for _, tl := range teams {
		t := q.teams[tl.Name]
		if t == nil {
			t = &team{}
			q.teams[tl.Name] = t
		}
		t.configure(tl)
	}
	for name, t := range q.teams {
		listed := slices.ContainsFunc(teams, func(tl TeamLimits) bool { return tl.Name == name })
		if !listed && t.running == 0 && len(t.queue) == 0 {
			delete(q.teams, name)
		}
	}
	return q.fill(now)
}

func (t *team) configure(tl TeamLimits) {
	if tl.Rate == 0 {
		t.limiter = nil
	} else if t.limiter == nil || t.limits.Rate != tl.Rate {
		t.limiter = rate.NewLimiter(rate.Limit(tl.Rate), tl.Rate)
	}
	tl.Weight = max(1, tl.Weight)
	t.limits = tl
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// ServiceTime returns the smoothed service time; 0 if unknown.
func (q *Queue) ServiceTime() time.Duration {
	return time.Duration(q.serviceSeconds * float64(time.Second))
}

// Offer starts, queues or refuses a request.
func (q *Queue) Offer(now time.Time, r Request) (Verdict, Effects) {
	t := q.teams[r.Team]
	if t == nil {
		return Verdict{Refused: outcome.NoTeam}, Effects{}
	}
	if t.limiter != nil && !t.limiter.AllowN(now, 1) {
		return Verdict{Refused: outcome.TeamRate, RetryAfter: minRetryAfter}, Effects{}
	}
	r.Urgency = max(r.Urgency, t.limits.Priority)
	if q.canStart(t) && len(t.queue) == 0 {
		q.start(t, r.ID, r.Urgency)
		return Verdict{Start: true}, Effects{}
	}
	return q.enqueue(now, t, r)
}

func (q *Queue) canStart(t *team) bool {
	return len(q.running) < q.limits.Concurrency && t.mayRun()
}

func (t *team) mayRun() bool {
	return t.limits.Concurrency == 0 || t.running < t.limits.Concurrency
}

func (q *Queue) enqueue(now time.Time, t *team, r Request) (Verdict, Effects) {
	wait := q.wait(t)
	if late := now.Add(wait + q.ServiceTime()).Sub(r.Deadline); late > 0 {
		return Verdict{Refused: outcome.DeadlineExceeded, RetryAfter: clampRetry(late)}, Effects{}
	}
	if r.Retry && float64(q.retries+1) > math.Ceil(retryShare*float64(q.limits.Queue)) {
		return Verdict{Refused: outcome.QueueFull, RetryAfter: clampRetry(wait)}, Effects{}
	}
	var eff Effects
	if q.queued >= q.limits.Queue {
		victim := q.evictFor(t)
		if victim == nil {
			return Verdict{Refused: q.fullReason(t), RetryAfter: clampRetry(wait)}, Effects{}
		}
		eff.Refused = append(eff.Refused, Refusal{victim.ID, outcome.QueueFull, clampRetry(wait)})
	}
	q.seq++
	position := q.seq
	if r.Retry {
		position += uint64(q.limits.Queue)
	}
	q.insert(t, waiting{r, position})
	return Verdict{}, eff
}

// fullReason returns the reason for refusing a request of t when the queue is
// full: TeamLimit if the team has reached its own limit, QueueFull otherwise.
func (q *Queue) fullReason(t *team) outcome.Reason {
	if !t.mayRun() {
		return outcome.TeamLimit
	}
	return outcome.QueueFull
}

func clampRetry(d time.Duration) time.Duration {
	return max(minRetryAfter, min(maxRetryAfter, d))
}

// wait estimates how long a new request of t would wait, given the requests of
// its team ahead of it and the team's share of the slots.
func (q *Queue) wait(t *team) time.Duration {
	slots := float64(max(1, q.limits.Concurrency)) * q.share(t)
	if c := t.limits.Concurrency; c > 0 {
		slots = min(slots, float64(c))
	}
	return time.Duration(float64(len(t.queue)+1) / slots * q.serviceSeconds * float64(time.Second))
}

// share returns the fraction of the target that t receives among the teams that
// have running or waiting requests.
func (q *Queue) share(t *team) float64 {
	sum := float64(t.limits.Weight)
	for _, o := range q.teams {
		if o != t && (len(o.queue) > 0 || o.running > 0) {
			sum += float64(o.limits.Weight)
		}
	}
	return float64(t.limits.Weight) / sum
}

func (q *Queue) insert(t *team, w waiting) {
	at, _ := slices.BinarySearchFunc(t.queue, w, compareWaiting)
	t.queue = slices.Insert(t.queue, at, w)
	q.queued++
	if w.Retry {
		q.retries++
	}
}

func compareWaiting(a, b waiting) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.position, b.position))
}

// evictFor removes the last request of the team with the largest part of the
// queue relative to its weight, if that part is larger than the part of t with
// one more request.
func (q *Queue) evictFor(t *team) *waiting {
	var largest *team
	for _, o := range q.teams {
		if len(o.queue) > 0 && (largest == nil || o.weightedLength(0) > largest.weightedLength(0) ||
			o.weightedLength(0) == largest.weightedLength(0) && o.limits.Name < largest.limits.Name) {
			largest = o
		}
	}
	if largest == nil || largest == t || largest.weightedLength(0) <= t.weightedLength(1) {
		return nil
	}
	last := largest.queue[len(largest.queue)-1]
	q.remove(largest, len(largest.queue)-1)
	return &last
}

func (t *team) weightedLength(extra int) float64 {
	return float64(len(t.queue)+extra) / float64(t.limits.Weight)
}

func (q *Queue) remove(t *team, at int) {
	if t.queue[at].Retry {
		q.retries--
	}
	t.queue = slices.Delete(t.queue, at, at+1)
	q.queued--
}

func (q *Queue) start(t *team, id uint64, urgency int) {
	begin := max(q.virtual, t.finish)
	q.virtual = begin
	t.finish = begin + cost(t.limits.Weight, urgency)
	t.running++
	q.running[id] = t.limits.Name
}

// cost returns the virtual length of a request. Each level more urgent than the
// neutral one halves the length, so urgency shifts shares but starves no request.
func cost(weight, urgency int) float64 {
	return math.Exp2(float64(urgency-neutralUrgency)) / float64(weight)
}

// Done ends a running request. took is its service time, or zero if the request
// was started by the queue but did not run after all.
func (q *Queue) Done(now time.Time, id uint64, took time.Duration) Effects {
	name, ok := q.running[id]
	if !ok {
		return Effects{}
	}
	delete(q.running, id)
	q.teams[name].running--
	switch {
	case took == 0:
	case q.serviceSeconds == 0:
		q.serviceSeconds = took.Seconds()
	default:
		q.serviceSeconds += serviceSmoothing * (took.Seconds() - q.serviceSeconds)
	}
	return q.fill(now)
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, t := range q.teams {
		for i := range t.queue {
			if t.queue[i].ID == id {
				q.remove(t, i)
				return true
			}
		}
	}
	return false
}

// RefuseAll refuses all waiting requests, for a host that is leaving.
func (q *Queue) RefuseAll(reason outcome.Reason) Effects {
	var eff Effects
	for _, t := range q.teams {
		for len(t.queue) > 0 {
			eff.Refused = append(eff.Refused, Refusal{t.queue[0].ID, reason, minRetryAfter})
			q.remove(t, 0)
		}
	}
	slices.SortFunc(eff.Refused, func(a, b Refusal) int { return cmp.Compare(a.ID, b.ID) })
	return eff
}

// Tick refuses waiting requests whose deadline can no longer be met.
func (q *Queue) Tick(now time.Time) Effects { return q.fill(now) }

// fill refuses waiting requests whose deadline can no longer be met, and starts
// as many of the others as the limits allow.
func (q *Queue) fill(now time.Time) Effects {
	var eff Effects
	for _, t := range q.teams {
		q.expire(now, t, &eff)
	}
	for len(q.running) < q.limits.Concurrency {
		t := q.next()
		if t == nil {
			break
		}
		w := t.queue[0]
		q.remove(t, 0)
		q.start(t, w.ID, w.Urgency)
		eff.Started = append(eff.Started, w.ID)
	}
	return eff
}

func (q *Queue) expire(now time.Time, t *team, eff *Effects) {
	for i := len(t.queue) - 1; i >= 0; i-- {
		w := t.queue[i]
		if late := now.Add(q.ServiceTime()).Sub(w.Deadline); late > 0 {
			q.remove(t, i)
			eff.Refused = append(eff.Refused, Refusal{w.ID, outcome.DeadlineExceeded, clampRetry(late)})
		}
	}
}

// next returns the team whose next waiting request has the earliest virtual start
// and may run; ties go to the name that sorts first.
func (q *Queue) next() *team {
	var best *team
	var bestAt float64
	for _, t := range q.teams {
		if len(t.queue) == 0 || !t.mayRun() {
			continue
		}
		at := max(q.virtual, t.finish)
		if best == nil || at < bestAt || at == bestAt && t.limits.Name < best.limits.Name {
			best, bestAt = t, at
		}
	}
	return best
}

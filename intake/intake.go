// Package intake decides what an agent does with an attempt to run a request:
// run it now, let it wait, refuse it, or send the answer of an earlier run. It
// joins the records of package idempotency with the queue of package
// admission. It is pure: clock readings and the state of the host are passed
// in.
package intake

import (
	"time"

	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/outcome"
)

// MinRetryAfter is told to callers when no better time is known.
const MinRetryAfter = time.Second

// HostState is what the rest of the agent says about itself at the moment.
type HostState struct {
	Incarnation uint64
	Awake       bool   // not paused since it last looked around
	HasIntent   bool   // a fleet file is in force
	Service     string // of the target, "" if none
	Ready       bool   // the target serves
	HomeHistory        idempotency.Past
}

// Attempt is one dispatch that has arrived.
type Attempt struct {
	ID          idempotency.AttemptID
	Incarnation uint64 // the agent incarnation that the entry means
	Service     string
	Team        string
	Key         string // "" if none
	Fingerprint       idempotency.Print
	Urgency     int
	Deadline    time.Time
}

func (a Attempt) keyID() idempotency.KeyID {
	return idempotency.KeyID{Service: a.Service, Team: a.Team, Key: a.Key}
}

// Action is what to do with an attempt.
type Action uint8

// Actions.
const (
	Ignore Action = iota // a doubled frame: the first one is being served
	Run                  // run it now
	Wait                 // it waits for its turn
	Refuse               // refuse it with Reason
	Replay               // send the answer of attempt Source
	FenceHomes                  // fence the key at Homes, then call Arrive again
)

// Decision is an action with its details.
type Decision struct {
	Action     Action
	Reason     outcome.Reason
	RetryAfter time.Duration
	Source     idempotency.AttemptID
	Homes      []string
}

// Refusal ends an attempt that was waiting.
type Refusal struct {
	ID         idempotency.AttemptID
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Effects lists what a call changed for attempts that were waiting.
type Effects struct {
	Started []idempotency.AttemptID
	Refused []Refusal
}

// Intake is the memory of one agent incarnation. It is owned by one goroutine.
type Intake struct {
	table   *idempotency.Table
	queue   *admission.Queue
	numbers map[idempotency.AttemptID]uint64
	ids     map[uint64]idempotency.AttemptID
	next    uint64
	leaving bool
}

// New returns an intake of a process that started at start.
func New(cfg idempotency.Config, start time.Time) *Intake {
	return &Intake{table: idempotency.NewTable(cfg, start), queue: admission.New(admission.Limits{Concurrency: 1}),
		numbers: map[idempotency.AttemptID]uint64{}, ids: map[uint64]idempotency.AttemptID{}}
}

// Configure sets the limits in force.
func (k *Intake) Configure(now time.Time, l admission.Limits, teams []admission.TeamLimits) Effects {
	return k.apply(now, k.queue.Configure(now, l, teams))
}

// Arrive decides on an attempt. fenced is true once the earlier homes of its
// key have been asked and have fenced it.
func (k *Intake) Arrive(now time.Time, h HostState, a Attempt, fenced bool) (Decision, Effects) {
	switch k.table.Begin(a.ID) {
	case idempotency.Never:
	case idempotency.Fenced:
		return Decision{Action: Refuse, Reason: outcome.Fenced}, Effects{}
	default:
		return Decision{Action: Ignore}, Effects{}
	}
	if reason := precheck(h, a); reason != "" {
		if a.Key != "" {
			reason = outcome.HomeUnreachable // the key may have run before
		}
		return k.refuse(now, a, reason, MinRetryAfter), Effects{}
	}
	if a.Key != "" {
		if d := k.arriveKeyed(now, h, a, fenced); d.Action != Run {
			return d, Effects{}
		}
	}
	switch {
	case k.leaving:
		return k.refuse(now, a, outcome.Leaving, MinRetryAfter), Effects{}
	case !h.Ready:
		return k.refuse(now, a, outcome.NotReady, MinRetryAfter), Effects{}
	}
	return k.admit(now, a)
}

// precheck refuses what does not depend on records.
func precheck(h HostState, a Attempt) outcome.Reason {
	switch {
	case a.Incarnation != h.Incarnation:
		return outcome.Fenced
	case !h.Awake:
		return outcome.Stale
	case !h.HasIntent:
		return outcome.NoIntent
	case h.Service != a.Service:
		return outcome.NotReady
	}
	return ""
}

func (k *Intake) refuse(now time.Time, a Attempt, reason outcome.Reason, after time.Duration) Decision {
	k.table.Refuse(now, a.ID, reason)
	return Decision{Action: Refuse, Reason: reason, RetryAfter: after}
}

// arriveKeyed returns Run if the key is new here and elsewhere.
func (k *Intake) arriveKeyed(now time.Time, h HostState, a Attempt, fenced bool) Decision {
	d := k.table.BeginKey(now, a.keyID(), a.Fingerprint, h.HomeHistory)
	switch {
	case d.Verdict == idempotency.KeyReplay:
		// The attempt itself runs nothing; should its connection break, the
		// caller is told to ask again.
		k.table.Refuse(now, a.ID, outcome.KeyRunning)
		return Decision{Action: Replay, Source: d.Replay}
	case d.Verdict == idempotency.KeyRefuse:
		return k.refuse(now, a, d.Reason, MinRetryAfter)
	case d.Verdict == idempotency.KeyAsk && !fenced:
		k.table.Forget(a.ID)
		return Decision{Action: FenceHomes, Homes: d.Ask}
	}
	return Decision{Action: Run}
}

func (k *Intake) admit(now time.Time, a Attempt) (Decision, Effects) {
	if a.Key != "" {
		k.table.StartKey(now, a.keyID(), a.Fingerprint, a.ID)
	}
	k.next++
	k.numbers[a.ID], k.ids[k.next] = k.next, a.ID
	v, eff := k.queue.Offer(now, admission.Request{ID: k.next, Team: a.Team, Urgency: a.Urgency,
		Retry: a.ID.Try > 1, Deadline: a.Deadline})
	effects := k.apply(now, eff)
	switch {
	case v.Refused != "":
		k.forget(a.ID)
		return k.refuse(now, a, v.Refused, v.RetryAfter), effects
	case v.Start:
		return Decision{Action: Run}, effects
	}
	return Decision{Action: Wait}, effects
}

// apply records what the queue decided about waiting attempts.
func (k *Intake) apply(now time.Time, e admission.Effects) Effects {
	var out Effects
	for _, n := range e.Started {
		out.Started = append(out.Started, k.ids[n])
	}
	for _, r := range e.Refused {
		id := k.ids[r.ID]
		k.forget(id)
		k.table.Refuse(now, id, r.Reason)
		out.Refused = append(out.Refused, Refusal{id, r.Reason, r.RetryAfter})
	}
	return out
}

func (k *Intake) forget(id idempotency.AttemptID) {
	delete(k.ids, k.numbers[id])
	delete(k.numbers, id)
}

// FencingFailed ends an attempt that was put aside to ask earlier homes, if they
// could not be asked or knew the key.
func (k *Intake) FencingFailed(now time.Time, a Attempt) Decision {
	if s := k.table.Begin(a.ID); s != idempotency.Never {
		return Decision{Action: Refuse, Reason: outcome.KeyHomeMoved}
	}
	return k.refuse(now, a, outcome.KeyHomeMoved, MinRetryAfter)
}

// Cancel refuses an attempt that still waits. It reports whether it did.
func (k *Intake) Cancel(now time.Time, id idempotency.AttemptID) bool {
	if !k.queue.Cancel(k.numbers[id]) {
		return false
	}
	k.forget(id)
	k.table.Refuse(now, id, outcome.CallerLeft)
	return true
}

// NotRun ends an attempt that was to run but never reached the target.
func (k *Intake) NotRun(now time.Time, id idempotency.AttemptID, reason outcome.Reason) Effects {
	k.table.Refuse(now, id, reason)
	return k.release(now, id, 0)
}

// Finished ends an attempt that ran for took. held is true if its whole
// answer can be sent again.
func (k *Intake) Finished(now time.Time, id idempotency.AttemptID, held bool, took time.Duration) Effects {
	k.table.Finish(now, id, held)
	return k.release(now, id, took)
}

func (k *Intake) release(now time.Time, id idempotency.AttemptID, took time.Duration) Effects {
	n := k.numbers[id]
	k.forget(id)
	return k.apply(now, k.queue.Done(now, n, took))
}

// AnswerDiscarded notes that the held answer of an attempt was discarded.
func (k *Intake) AnswerDiscarded(id idempotency.AttemptID) { k.table.Drop(id) }

// Fence reports the state of an attempt; one never seen is refused from now on.
func (k *Intake) Fence(now time.Time, id idempotency.AttemptID) (idempotency.State, outcome.Reason) {
	return k.table.Fence(now, id)
}

// FenceKey is asked by a later home of a key. It reports whether the key is
// known here; if not, it can no longer start here.
func (k *Intake) FenceKey(now time.Time, id idempotency.KeyID) bool { return k.table.FenceKey(now, id) }

// Leave refuses all that waits, and all that comes.
func (k *Intake) Leave(now time.Time) Effects {
	k.leaving = true
	return k.apply(now, k.queue.RefuseAll(outcome.Leaving))
}

// Tick forgets old records and refuses what can no longer meet its deadline.
func (k *Intake) Tick(now time.Time) Effects {
	k.table.Expire(now)
	return k.apply(now, k.queue.Tick(now))
}

// Load is what a status message says about the queue.
type Load struct {
	Running, Queued int
	Service         time.Duration // smoothed service time
}

// Load returns the load of the target.
func (k *Intake) Load() Load {
	return Load{k.queue.Running(), k.queue.Queued(), k.queue.ServiceTime()}
}

// Records returns how many attempts and keys are remembered.
func (k *Intake) Records() (attempts, keys int) { return k.table.Len() }

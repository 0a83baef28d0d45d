// Package intake decides what an agent does with an attempt to run a request:
// run it now, queue it, refuse it, or replay the answer of an earlier run. It
// combines the records of package idempotency with the queue of package
// admission. It does no I/O and reads no clock: times and the state of the host
// are passed in.
//
// The home of an idempotency key is the host that keeps the key's record. To
// fence an attempt or a key at an agent is to find out whether it has run there
// and, if not, to bar it from running there.
package intake

import (
	"time"

	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/outcome"
)

// MinRetryAfter is the time after which callers may retry if no better estimate
// is known.
const MinRetryAfter = time.Second

// HostState is the current state of the host and its agent.
type HostState struct {
	Incarnation uint64
	Awake       bool   // not recovering from a pause of the process
	HasIntent   bool   // a fleet file is in force
	Service     string // service of the host's target, "" if none
	Ready       bool   // the target accepts requests
	HomeHistory idempotency.HomeHistory
}

// Attempt is one dispatch of a request by an entry, received by the agent.
type Attempt struct {
	ID          idempotency.AttemptID
	Incarnation uint64 // the agent incarnation that the entry addressed
	Service     string
	Team        string
	Key         string // "" if none
	Fingerprint idempotency.Fingerprint
	Urgency     int
	Deadline    time.Time
}

func (a Attempt) keyID() idempotency.KeyID {
	return idempotency.KeyID{Service: a.Service, Team: a.Team, Key: a.Key}
}

// Action is what to do with an attempt.
type Action uint8

// Actions on an attempt.
const (
	Ignore     Action = iota // duplicate frame: the first frame is handled already
	Run                      // run it now
	Wait                     // the attempt has been queued
	Refuse                   // refuse it with Reason
	Replay                   // send the retained answer of the attempt with ID Source
	FenceHomes               // fence the key at Homes; then call Arrive again or, on failure, FencingFailed
)

// Decision is an action with its details.
type Decision struct {
	Action     Action
	Reason     outcome.Reason
	RetryAfter time.Duration
	Source     idempotency.AttemptID
	Homes      []string
}

// Refusal is an attempt that was queued and then refused.
type Refusal struct {
	ID         idempotency.AttemptID
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Effects lists the queued attempts that a call started or refused.
type Effects struct {
	Started []idempotency.AttemptID
	Refused []Refusal
}

// Intake holds the attempts and keys of one agent incarnation, that is, of one
// process start. It is not safe for concurrent use.
type Intake struct {
	table       *idempotency.Table
	queue       *admission.Queue
	queueIDs    map[idempotency.AttemptID]uint64
	attemptIDs  map[uint64]idempotency.AttemptID
	lastQueueID uint64
	leaving     bool
}

// New returns an Intake for a process that started at start.
func New(cfg idempotency.Config, start time.Time) *Intake {
	return &Intake{table: idempotency.NewTable(cfg, start), queue: admission.New(admission.Limits{Concurrency: 1}),
		queueIDs: map[idempotency.AttemptID]uint64{}, attemptIDs: map[uint64]idempotency.AttemptID{}}
}

// Configure sets the limits of the target and of the teams.
func (k *Intake) Configure(now time.Time, l admission.Limits, teams []admission.TeamLimits) Effects {
	return k.apply(now, k.queue.Configure(now, l, teams))
}

// Arrive decides on an attempt. fenced is true once all earlier homes of its key
// have fenced the key.
func (k *Intake) Arrive(now time.Time, h HostState, a Attempt, fenced bool) (Decision, Effects) {
	switch k.table.Begin(a.ID) {
	case idempotency.Unseen:
	case idempotency.Fenced:
		return Decision{Action: Refuse, Reason: outcome.Fenced}, Effects{}
	default:
		return Decision{Action: Ignore}, Effects{}
	}
	if reason := precheck(h, a); reason != "" {
		if a.Key != "" {
			reason = outcome.HomeUnreachable // its outcome is unknown: the key may have run here or at an earlier home
		}
		return k.refuse(now, a, reason, MinRetryAfter), Effects{}
	}
	if a.Key != "" {
		if d := k.checkKey(now, h, a, fenced); d.Action != Run {
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

// precheck returns the reason to refuse an attempt that follows from the state of
// the host alone, or "".
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

func (k *Intake) refuse(now time.Time, a Attempt, reason outcome.Reason, retryAfter time.Duration) Decision {
	k.table.Refuse(now, a.ID, reason)
	return Decision{Action: Refuse, Reason: reason, RetryAfter: retryAfter}
}

// checkKey decides on an attempt with a key. It returns Run if the key has run
// neither here nor at an earlier home.
func (k *Intake) checkKey(now time.Time, h HostState, a Attempt, fenced bool) Decision {
	d := k.table.BeginKey(now, a.keyID(), a.Fingerprint, h.HomeHistory)
	switch {
	case d.Verdict == idempotency.KeyReplay:
		// This attempt does not run. It is recorded as refused, so that a fence
		// of it after a broken connection returns KeyRunning, upon which the
		// caller may send the key again.
		k.table.Refuse(now, a.ID, outcome.KeyRunning)
		return Decision{Action: Replay, Source: d.Replay}
	case d.Verdict == idempotency.KeyRefuse:
		return k.refuse(now, a, d.Reason, MinRetryAfter)
	case d.Verdict == idempotency.KeyFenceHomes && !fenced:
		k.table.Forget(a.ID)
		return Decision{Action: FenceHomes, Homes: d.Homes}
	}
	return Decision{Action: Run}
}

func (k *Intake) admit(now time.Time, a Attempt) (Decision, Effects) {
	if a.Key != "" {
		k.table.StartKey(now, a.keyID(), a.Fingerprint, a.ID)
	}
	k.lastQueueID++
	k.queueIDs[a.ID], k.attemptIDs[k.lastQueueID] = k.lastQueueID, a.ID
	v, eff := k.queue.Offer(now, admission.Request{ID: k.lastQueueID, Team: a.Team, Urgency: a.Urgency,
		Retry: a.ID.Try > 1, Deadline: a.Deadline})
	effects := k.apply(now, eff)
	switch {
	case v.Refused != "":
		k.removeQueueID(a.ID)
		return k.refuse(now, a, v.Refused, v.RetryAfter), effects
	case v.Start:
		return Decision{Action: Run}, effects
	}
	return Decision{Action: Wait}, effects
}

// apply records the queue's decisions on queued attempts and returns them by attempt ID.
func (k *Intake) apply(now time.Time, e admission.Effects) Effects {
	var out Effects
	for _, n := range e.Started {
		out.Started = append(out.Started, k.attemptIDs[n])
	}
	for _, r := range e.Refused {
		id := k.attemptIDs[r.ID]
		k.removeQueueID(id)
		k.table.Refuse(now, id, r.Reason)
		out.Refused = append(out.Refused, Refusal{id, r.Reason, r.RetryAfter})
	}
	return out
}

func (k *Intake) removeQueueID(id idempotency.AttemptID) {
	delete(k.attemptIDs, k.queueIDs[id])
	delete(k.queueIDs, id)
}

// FencingFailed refuses an attempt for which Arrive returned FenceHomes, because
// an earlier home could not be reached or has a record of the key.
func (k *Intake) FencingFailed(now time.Time, a Attempt) Decision {
	if s := k.table.Begin(a.ID); s != idempotency.Unseen {
		return Decision{Action: Refuse, Reason: outcome.KeyHomeMoved}
	}
	return k.refuse(now, a, outcome.KeyHomeMoved, MinRetryAfter)
}

// Cancel refuses an attempt if it is still queued, and reports whether it was queued.
func (k *Intake) Cancel(now time.Time, id idempotency.AttemptID) bool {
	if !k.queue.Cancel(k.queueIDs[id]) {
		return false
	}
	k.removeQueueID(id)
	k.table.Refuse(now, id, outcome.CallerLeft)
	return true
}

// NotRun ends an attempt that was started but never reached the target.
func (k *Intake) NotRun(now time.Time, id idempotency.AttemptID, reason outcome.Reason) Effects {
	k.table.Refuse(now, id, reason)
	return k.release(now, id, 0)
}

// Finished ends an attempt that ran for took. retained is true if its complete
// answer can be replayed.
func (k *Intake) Finished(now time.Time, id idempotency.AttemptID, retained bool, took time.Duration) Effects {
	k.table.Finish(now, id, retained)
	return k.release(now, id, took)
}

func (k *Intake) release(now time.Time, id idempotency.AttemptID, took time.Duration) Effects {
	n := k.queueIDs[id]
	k.removeQueueID(id)
	return k.apply(now, k.queue.Done(now, n, took))
}

// AnswerDiscarded records that the retained answer of an attempt was discarded.
func (k *Intake) AnswerDiscarded(id idempotency.AttemptID) { k.table.AnswerDiscarded(id) }

// Fence returns the state of an attempt. An attempt that was not received yet will
// be refused if it arrives later.
func (k *Intake) Fence(now time.Time, id idempotency.AttemptID) (idempotency.State, outcome.Reason) {
	return k.table.Fence(now, id)
}

// FenceKey is called on behalf of a later home of a key. It reports whether the
// key may have run here; if not, the key can no longer start here.
func (k *Intake) FenceKey(now time.Time, id idempotency.KeyID) bool { return k.table.FenceKey(now, id) }

// Leave refuses all queued attempts and, from now on, all new ones that would have
// to run. Retained answers are still replayed.
func (k *Intake) Leave(now time.Time) Effects {
	k.leaving = true
	return k.apply(now, k.queue.RefuseAll(outcome.Leaving))
}

// Tick removes expired records and refuses queued attempts that can no longer meet
// their deadline.
func (k *Intake) Tick(now time.Time) Effects {
	k.table.Expire(now)
	return k.apply(now, k.queue.Tick(now))
}

// Load is the load of the target as reported in status messages.
type Load struct {
	Running, Queued int
	Service         time.Duration // smoothed time that a request runs
}

// Load returns the load of the target.
func (k *Intake) Load() Load {
	return Load{k.queue.Running(), k.queue.Queued(), k.queue.ServiceTime()}
}

// Records returns the number of attempts and keys on record.
func (k *Intake) Records() (attempts, keys int) { return k.table.Len() }

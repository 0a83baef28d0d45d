// Package idempotency records the requests that an agent has received: by
// attempt, so that the outcome can be determined after a connection broke, and by
// idempotency key, so that a request runs at most once. It does no I/O and reads
// no clock: times are passed in.
//
// The home of a key is the host that keeps the key's record. It can change with
// the fleet file; the previous ones are the earlier homes. To fence an attempt or
// a key at an agent is to find out whether it has run there and, if not, to bar it
// from running there.
package idempotency

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/outcome"
)

// AttemptID identifies one dispatch of a submission, a request that an entry received
// from a caller.
type AttemptID struct {
	ID  [16]byte
	Try uint16
}

// State is the state of an attempt.
type State uint8

// States of an attempt.
const (
	Unseen   State = iota // not received
	Fenced                // barred before it was received; refused if it arrives
	Refused               // refused; it never ran
	Accepted              // queued or running
	Finished              // ran, and its complete answer is retained
	Failed                // ran, and its answer is not available
)

// Config holds the time limits of the records.
type Config struct {
	// AttemptTTL is how long an attempt is kept on record after it ended. This
	// must exceed the longest time that a dispatch can be in transit. Default 5 min.
	AttemptTTL time.Duration
	// KeyWindow is how long a key is kept on record, and how far back from the
	// issue of a key its home must know the earlier homes. A longer window
	// detects resubmissions that come later, but makes a new process refuse
	// keys for longer. Default
	// 10 min.
	KeyWindow time.Duration
	// ClockSkew is the largest difference between the clocks of two hosts that
	// is tolerated. Default 2 s.
	ClockSkew time.Duration
	// MaxKeys is the maximum number of key records. Default 100,000.
	MaxKeys int
	// FromWallTime converts a wall-clock time, such as the timestamp of a key, to
	// a time of the agent's clock, from which all other times are read. By
	// default the two clocks are the same.
	FromWallTime func(date time.Time) time.Time
}

// ApplyDefaults returns c with zero fields set to their defaults.
func (c Config) ApplyDefaults() Config {
	c.AttemptTTL = cmp.Or(c.AttemptTTL, 5*time.Minute)
	c.KeyWindow = cmp.Or(c.KeyWindow, 10*time.Minute)
	c.ClockSkew = cmp.Or(c.ClockSkew, 2*time.Second)
	c.MaxKeys = cmp.Or(c.MaxKeys, 100000)
	if c.FromWallTime == nil {
		c.FromWallTime = func(date time.Time) time.Time { return date }
	}
	return c
}

// History returns how long replaced revisions of the fleet file must be retained so
// that every home that may have run a key within KeyWindow is known.
func (c Config) History() time.Duration {
	c = c.ApplyDefaults()
	return 2 * (c.KeyWindow + c.ClockSkew)
}

type attempt struct {
	state  State
	reason outcome.Reason // if Refused or Fenced
	key    KeyID          // zero if none
	ended  time.Time      // zero while Accepted
}

// Table holds the records of one agent incarnation, that is, of one process start.
// It is not safe for concurrent use.
type Table struct {
	cfg           Config
	start         time.Time
	attempts      map[AttemptID]*attempt
	keys          map[KeyID]*keyRecord
	endedAttempts []endedAttempt // attempts that ended, oldest first
	keyOrder      []KeyID        // keys, oldest first
}

type endedAttempt struct {
	id AttemptID
	at time.Time
}

// NewTable returns an empty table for a process that started at start.
func NewTable(cfg Config, start time.Time) *Table {
	return &Table{cfg: cfg.ApplyDefaults(), start: start,
		attempts: map[AttemptID]*attempt{}, keys: map[KeyID]*keyRecord{}}
}

// Begin records an attempt that arrived. If the attempt is new, Begin records it as
// Accepted and returns Unseen. Otherwise it returns the recorded state.
func (t *Table) Begin(id AttemptID) State {
	if a := t.attempts[id]; a != nil {
		return a.state
	}
	t.attempts[id] = &attempt{state: Accepted}
	return Unseen
}

// Forget removes an accepted attempt as if it had not arrived, so that Begin can
// be called again for it once its key has been fenced at the earlier homes.
func (t *Table) Forget(id AttemptID) {
	if a := t.attempts[id]; a != nil && a.state == Accepted {
		delete(t.attempts, id)
	}
}

// Refuse ends an accepted attempt that has not run.
func (t *Table) Refuse(now time.Time, id AttemptID, reason outcome.Reason) {
	t.end(now, id, Refused, reason)
}

// Finish ends an accepted attempt that ran. retained is true if its complete
// answer is available for a replay.
func (t *Table) Finish(now time.Time, id AttemptID, retained bool) {
	if retained {
		t.end(now, id, Finished, "")
		return
	}
	t.end(now, id, Failed, "")
}

func (t *Table) end(now time.Time, id AttemptID, s State, reason outcome.Reason) {
	a := t.attempts[id]
	if a == nil || a.state != Accepted {
		return
	}
	a.state, a.reason, a.ended = s, reason, now
	t.endedAttempts = append(t.endedAttempts, endedAttempt{id, now})
	t.endKey(id, a.key, s)
}

// AnswerDiscarded records that the retained answer of a finished attempt was
// discarded.
func (t *Table) AnswerDiscarded(id AttemptID) {
	if a := t.attempts[id]; a != nil && a.state == Finished {
		a.state = Failed
		t.endKey(id, a.key, Failed)
	}
}

// Fence returns the state of an attempt. An attempt that was not received yet is
// recorded as Fenced, so that it is refused if it arrives later.
func (t *Table) Fence(now time.Time, id AttemptID) (State, outcome.Reason) {
	a := t.attempts[id]
	if a == nil {
		t.attempts[id] = &attempt{state: Fenced, reason: outcome.Fenced, ended: now}
		t.endedAttempts = append(t.endedAttempts, endedAttempt{id, now})
		return Fenced, outcome.Fenced
	}
	return a.state, a.reason
}

// Expire removes the records of attempts and keys that are older than their limits.
func (t *Table) Expire(now time.Time) {
	n := 0
	for ; n < len(t.endedAttempts) && now.Sub(t.endedAttempts[n].at) > t.cfg.AttemptTTL; n++ {
		delete(t.attempts, t.endedAttempts[n].id)
	}
	t.endedAttempts = t.endedAttempts[n:]
	t.expireKeys(now)
}

// Len returns the number of attempts and keys on record.
func (t *Table) Len() (attempts, keys int) { return len(t.attempts), len(t.keys) }

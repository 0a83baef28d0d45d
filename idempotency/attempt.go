// Package idempotency holds what an agent knows about the requests it was
// asked to run: by attempt, so that a broken connection can be resolved, and
// by idempotency key, so that a request runs at most once. It is pure: clock
// readings are passed in.
package idempotency

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/outcome"
)

// AttemptID identifies one dispatch of a submission.
type AttemptID struct {
	ID  [16]byte
	Try uint16
}

// State is what is known of an attempt.
type State uint8

// States of an attempt.
const (
	Unseen    State = iota // not seen
	Fenced                // refused in advance
	Refused               // refused; it never ran
	Accepted              // waits or runs
	Finished              // the answer is whole and held
	Failed                // ran, and its answer is not available
)

// Config holds the time limits of the records.
type Config struct {
	// AttemptTTL is how long an attempt is remembered after it ended. It must
	// exceed the longest time a frame can be delayed. Default 5 min.
	AttemptTTL time.Duration
	// KeyWindow is how long a key is remembered, and how far back a home must
	// know who the homes were. A longer window catches later resubmissions
	// and makes a new process refuse keys for longer. Default 10 min.
	KeyWindow time.Duration
	// ClockSkew is how far the clocks of two hosts may differ. Default 2 s.
	ClockSkew time.Duration
	// MaxKeys bounds the key records. Default 100,000.
	MaxKeys int
	// AtDate returns the reading of the clock at a date: keys bear dates, and all else is
	// measured by the clock. Default: its readings are dates.
	AtDate func(date time.Time) time.Time
}

// ApplyDefaults returns c with zero fields set to their defaults.
func (c Config) ApplyDefaults() Config {
	c.AttemptTTL = cmp.Or(c.AttemptTTL, 5*time.Minute)
	c.KeyWindow = cmp.Or(c.KeyWindow, 10*time.Minute)
	c.ClockSkew = cmp.Or(c.ClockSkew, 2*time.Second)
	c.MaxKeys = cmp.Or(c.MaxKeys, 100000)
	if c.AtDate == nil {
		c.AtDate = func(date time.Time) time.Time { return date }
	}
	return c
}

// History is how long earlier revisions must be remembered, so that every home
// that may have run a key within its window is known.
func (c Config) History() time.Duration {
	c = c.ApplyDefaults()
	return 2 * (c.KeyWindow + c.ClockSkew)
}

type attempt struct {
	state  State
	reason outcome.Reason // of Refused
	key    KeyID          // zero if none
	ended  time.Time      // zero while accepted
}

// Table is the memory of one agent incarnation. It is owned by one goroutine.
type Table struct {
	cfg      Config
	start    time.Time
	attempts map[AttemptID]*attempt
	keys     map[KeyID]*keyRecord
	order    []ended // attempts that ended, oldest first
	keyOrder []KeyID // keys, oldest first
}

type ended struct {
	id AttemptID
	at time.Time
}

// NewTable returns an empty table of a process that started at start.
func NewTable(cfg Config, start time.Time) *Table {
	return &Table{cfg: cfg.ApplyDefaults(), start: start,
		attempts: map[AttemptID]*attempt{}, keys: map[KeyID]*keyRecord{}}
}

// Begin registers an attempt that arrived. It returns Never if the attempt is
// new and now accepted, else the state in which it was found.
func (t *Table) Begin(id AttemptID) State {
	if a := t.attempts[id]; a != nil {
		return a.state
	}
	t.attempts[id] = &attempt{state: Accepted}
	return Unseen
}

// Forget removes an accepted attempt as if it had not arrived, so that Begin
// can be called again after other homes were asked.
func (t *Table) Forget(id AttemptID) {
	if a := t.attempts[id]; a != nil && a.state == Accepted {
		delete(t.attempts, id)
	}
}

// Refuse ends an accepted attempt that has not run.
func (t *Table) Refuse(now time.Time, id AttemptID, reason outcome.Reason) {
	t.end(now, id, Refused, reason)
}

// Finish ends an accepted attempt that ran. held is true if the whole answer
// is available for a replay.
func (t *Table) Finish(now time.Time, id AttemptID, held bool) {
	if held {
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
	t.order = append(t.order, ended{id, now})
	t.endKey(id, a.key, s)
}

// AnswerDiscarded notes that the held answer of a finished attempt was discarded.
func (t *Table) AnswerDiscarded(id AttemptID) {
	if a := t.attempts[id]; a != nil && a.state == Finished {
		a.state = Failed
		t.endKey(id, a.key, Failed)
	}
}

// Fence reports the state of an attempt and, if it was never seen, makes sure
// that it is refused should it arrive later.
func (t *Table) Fence(now time.Time, id AttemptID) (State, outcome.Reason) {
	a := t.attempts[id]
	if a == nil {
		t.attempts[id] = &attempt{state: Fenced, reason: outcome.Fenced, ended: now}
		t.order = append(t.order, ended{id, now})
		return Fenced, outcome.Fenced
	}
	return a.state, a.reason
}

// Expire forgets attempts and keys that are older than their limits.
func (t *Table) Expire(now time.Time) {
	n := 0
	for ; n < len(t.order) && now.Sub(t.order[n].at) > t.cfg.AttemptTTL; n++ {
		delete(t.attempts, t.order[n].id)
	}
	t.order = t.order[n:]
	t.expireKeys(now)
}

// Len returns how many attempts and keys are remembered.
func (t *Table) Len() (attempts, keys int) { return len(t.attempts), len(t.keys) }

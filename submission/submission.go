// Package submission is the life of one request at an entry of `springgate serve`, from its
// arrival to its one final outcome. It is a pure state machine: it takes events and
// returns actions, and knows neither sockets nor clocks.
package submission

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/outcome"
)

// Request is what the machine needs to know of a request.
type Request struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Keyed is true if the request has an idempotency key, and so one home.
	Keyed bool
	// MaxTries bounds the dispatches. Default 4.
	MaxTries int
}

const (
	defaultMaxTries = 4
	maxFences       = 5 // fence calls for one attempt
	maxResumes      = 5 // resumes of one attempt
)

// phase is where a submission stands.
type phase uint8

const (
	choosing phase = iota + 1 // waits for a host
	running                   // dispatched
	fencing                   // asks what became of the attempt
	resuming                  // asks for the rest of the answer
	backoff                   // waits before another try
	done
)

// ActionKind is what the shell must do next.
type ActionKind uint8

// Actions.
const (
	// None means wait for the next event.
	None ActionKind = iota
	// Choose means pick a host that is not in Tried (the home, if keyed) and
	// report Chosen or NoHost.
	Choose
	// Dispatch means send the request to the chosen host as attempt Try.
	Dispatch
	// Fence means ask the same agent incarnation what became of attempt Try.
	Fence
	// Resume means ask the same agent incarnation for the answer from Offset.
	Resume
	// Backoff means back off, then report Waited.
	Backoff
	// Forward means pass the head or the data of the event to the caller.
	Forward
	// Finish means the submission has its outcome. If Abort is set, a part of
	// the answer was passed on and the caller's connection must be aborted.
	Finish
)

// Action is one instruction to the shell.
type Action struct {
	Kind       ActionKind
	Try        uint16
	Offset     int64
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	Abort      bool
}

// Machine is one submission.
type Machine struct {
	req     Request
	phase   phase
	try     uint16
	fences  int
	resumes int
	mayRun  bool  // an earlier attempt ran or may have run
	headOut bool  // the head was passed on
	offset  int64 // bytes passed on
	sum     *xxhash.Digest
	last    outcome.Reason // why the last try did not run
	after   time.Duration
	dropped int
}

// New returns a machine and its first action.
func New(r Request) (*Machine, Action) {
	if r.MaxTries == 0 {
		r.MaxTries = defaultMaxTries
	}
	m := &Machine{req: r, phase: choosing, sum: xxhash.New()}
	return m, Action{Kind: Choose}
}

// Try returns the number of the current attempt, from 1.
func (m *Machine) Try() uint16 { return m.try }

// Dropped returns how many late, crossed or doubled frames were ignored.
func (m *Machine) Dropped() int { return m.dropped }

// Done reports whether the outcome is final.
func (m *Machine) Done() bool { return m.phase == done }

// HostChosen reports the host for the next attempt.
func (m *Machine) HostChosen() Action {
	if m.phase != choosing {
		return Action{}
	}
	m.phase = running
	m.try++
	m.fences, m.resumes = 0, 0
	return Action{Kind: Dispatch, Try: m.try}
}

// NoHost reports that no host can take the request.
func (m *Machine) NoHost(reason outcome.Reason, after time.Duration) Action {
	if m.phase != choosing {
		return Action{}
	}
	if m.last != "" {
		reason = m.last
	}
	return m.giveUp(reason, max(after, m.after))
}

// NotSent reports that the attempt could not be sent at all, for instance
// because the agent could not be dialled.
func (m *Machine) NotSent(reason outcome.Reason) Action {
	if m.phase != running {
		return Action{}
	}
	if m.req.Keyed {
		return m.finish(outcome.Unknown, outcome.HomeUnreachable)
	}
	return m.retry(reason, 0)
}

// Refused reports the agent's refusal of an attempt.
func (m *Machine) Refused(try uint16, reason outcome.Reason, after time.Duration) Action {
	if !m.current(try) {
		return Action{}
	}
	info := outcome.Lookup(reason)
	if info.Outcome != outcome.NotRun {
		return m.failed(reason)
	}
	if m.headOut {
		return m.finish(outcome.Unknown, reason)
	}
	if m.req.Keyed && reason == outcome.Fenced {
		return m.finish(outcome.Unknown, outcome.ConnectionLost)
	}
	if !info.Retryable || m.req.Keyed {
		return m.finishNotRun(reason, after)
	}
	return m.retry(reason, after)
}

// failed handles an attempt that ran, or may have, without an answer.
func (m *Machine) failed(reason outcome.Reason) Action {
	m.mayRun = true
	if m.req.Repeatable && !m.req.Keyed && !m.headOut {
		return m.retry(reason, 0)
	}
	return m.finish(outcome.Unknown, reason)
}

// Head reports the status line and header of an answer.
func (m *Machine) Head(try uint16) Action {
	if !m.current(try) || m.headOut {
		m.dropped++
		return Action{}
	}
	m.headOut = true
	return Action{Kind: Forward}
}

// Data reports a piece of the answer that starts at offset. Only the next
// piece in order is passed on.
func (m *Machine) Data(try uint16, offset int64, b []byte) Action {
	if !m.current(try) || !m.headOut || offset != m.offset {
		m.dropped++
		return Action{}
	}
	m.offset += int64(len(b))
	_, _ = m.sum.Write(b)
	return Action{Kind: Forward}
}

// End reports the end of an answer with its length and checksum.
func (m *Machine) End(try uint16, length int64, sum uint64) Action {
	if !m.current(try) || !m.headOut {
		m.dropped++
		return Action{}
	}
	if length > m.offset {
		return m.lost() // pieces are missing: ask for them
	}
	if length != m.offset || sum != m.sum.Sum64() {
		return m.finish(outcome.Unknown, outcome.Truncated)
	}
	m.phase = done
	return Action{Kind: Finish, Outcome: outcome.Completed}
}

// ConnectionLost reports that the connection of the current attempt broke.
func (m *Machine) ConnectionLost() Action {
	if m.phase != running && m.phase != resuming {
		return Action{}
	}
	return m.lost()
}

func (m *Machine) lost() Action {
	m.phase = fencing
	return m.fence()
}

func (m *Machine) fence() Action {
	if m.fences >= maxFences {
		return m.unresolved(outcome.ConnectionLost)
	}
	m.fences++
	return Action{Kind: Fence, Try: m.try}
}

// FenceFailed reports that a fence got no answer.
func (m *Machine) FenceFailed() Action {
	if m.phase != fencing {
		return Action{}
	}
	return m.fence()
}

// FenceState is the agent's answer to a fence.
type FenceState uint8

// Answers to a fence.
const (
	FenceNotRun  FenceState = iota + 1 // never ran and never will
	FenceRunning                       // runs or has finished with the answer held
	FenceFailed                        // ran; the answer is not available
	FenceGone                          // another incarnation: it cannot know
)

// FenceResult reports the answer to a fence of attempt try.
func (m *Machine) FenceResult(try uint16, s FenceState, reason outcome.Reason) Action {
	if m.phase != fencing || try != m.try {
		return Action{}
	}
	switch s {
	case FenceNotRun:
		m.phase = running
		return m.Refused(try, reason, 0)
	case FenceRunning:
		return m.resume()
	case FenceFailed:
		return m.unresolved(outcome.TargetFailed)
	}
	return m.unresolved(outcome.IncarnationGone)
}

func (m *Machine) resume() Action {
	if m.resumes >= maxResumes {
		return m.unresolved(outcome.ConnectionLost)
	}
	m.resumes++
	m.phase = resuming
	return Action{Kind: Resume, Try: m.try, Offset: m.offset}
}

// unresolved handles an attempt whose result cannot be learned.
func (m *Machine) unresolved(reason outcome.Reason) Action { return m.failed(reason) }

// BackoffElapsed reports the end of a back-off. budget is false if the retry budget
// does not allow another try.
func (m *Machine) BackoffElapsed(budget bool) Action {
	if m.phase != backoff {
		return Action{}
	}
	if !budget {
		return m.finishNotRun(m.last, m.after)
	}
	m.phase = choosing
	return Action{Kind: Choose, Try: m.try}
}

// DeadlineExceeded reports that the caller's deadline has passed.
func (m *Machine) DeadlineExceeded() Action {
	switch m.phase {
	case done:
		return Action{}
	case choosing, backoff:
		return m.giveUp(outcome.DeadlineExceeded, 0)
	}
	return m.finish(outcome.Unknown, outcome.DeadlineExceededRan)
}

// Abandon ends the submission from the caller's side, for instance because the
// caller closed its connection. Nothing is proven about what ran.
func (m *Machine) Abandon(reason outcome.Reason) Action {
	if m.phase == done {
		return Action{}
	}
	return m.finish(outcome.Unknown, reason)
}

func (m *Machine) current(try uint16) bool {
	return (m.phase == running || m.phase == resuming) && try == m.try
}

func (m *Machine) retry(reason outcome.Reason, after time.Duration) Action {
	m.last, m.after = reason, after
	if int(m.try) >= m.req.MaxTries || full(reason) && m.try >= maxFullTries {
		return m.finishNotRun(reason, after)
	}
	m.phase = backoff
	return Action{Kind: Backoff, Reason: reason}
}

// giveUp ends a submission that is at no host. Only the home of a key can say
// that the key never ran.
func (m *Machine) giveUp(reason outcome.Reason, after time.Duration) Action {
	a := m.finishNotRun(reason, after)
	if m.req.Keyed {
		a.Outcome = outcome.Unknown
	}
	return a
}

// maxFullTries is how many hosts may refuse for lack of room before the fleet
// is taken for full and the caller told when to come back.
const maxFullTries = 2

func full(r outcome.Reason) bool { return r == outcome.QueueFull || r == outcome.TeamLimit }

// finishNotRun ends a submission whose last attempt did not run. If an earlier
// attempt may have run, the submission as a whole is unknown.
func (m *Machine) finishNotRun(reason outcome.Reason, after time.Duration) Action {
	o := outcome.NotRun
	if m.mayRun {
		o = outcome.Unknown
	}
	a := m.finish(o, reason)
	a.RetryAfter = after
	return a
}

func (m *Machine) finish(o outcome.Outcome, reason outcome.Reason) Action {
	m.phase = done
	return Action{Kind: Finish, Outcome: o, Reason: reason, Abort: m.headOut && o != outcome.Completed}
}

// Package submission implements the state machine of one request at an entry, the process
// of `springgate serve` that receives requests from callers, from the arrival of the request
// to its single final outcome. The machine is pure: it takes events, returns actions, and
// uses neither sockets nor clocks. The code that drives it, the driver, carries out the
// actions and reports the events. Each dispatch of the request to the agent of a host is an
// attempt, also called a try.
package submission

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/outcome"
)

// Request holds the properties of a request that the machine depends on.
type Request struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Keyed is true if the request has an idempotency key. The request may then
	// run only at one host, the home of the key, which keeps the key's record.
	Keyed bool
	// MaxTries is the maximum number of dispatches. Default 4.
	MaxTries int
}

const (
	defaultMaxTries = 4
	maxFences       = 5 // fence calls for one attempt
	maxResumes      = 5 // resumes of one attempt
)

// phase is the state of a submission.
type phase uint8

const (
	choosing   phase = iota + 1 // waiting for a host
	running                     // dispatched; the result is awaited
	fencing                     // waiting for the agent's answer to a fence (see Fence)
	resuming                    // waiting for the remaining part of the answer
	backingOff                  // waiting before the next attempt
	done
)

// ActionKind is what the driver must do next.
type ActionKind uint8

// Actions.
const (
	// None means wait for the next event.
	None ActionKind = iota
	// Choose means pick a host that has not been tried yet (the home, if keyed)
	// and report HostChosen or NoHost.
	Choose
	// Dispatch means send the request to the chosen host as attempt Try.
	Dispatch
	// Fence means query the state of attempt Try at the same agent incarnation,
	// that is, the same process start of the agent. If the attempt has not
	// arrived there, the agent bars it from running.
	Fence
	// Resume means request the part of the answer that starts at byte Offset
	// from the same agent incarnation.
	Resume
	// Backoff means back off, then report BackoffElapsed.
	Backoff
	// Forward means pass to the caller the head (status line and header) or the
	// data that the last event reported.
	Forward
	// Finish means that the outcome is final. If Abort is set, a part of the
	// answer was forwarded and the caller's connection must be aborted.
	Finish
)

// Action is one instruction to the driver.
type Action struct {
	Kind       ActionKind
	Try        uint16
	Offset     int64
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	Abort      bool
}

// Machine is the state machine of one submission.
type Machine struct {
	req           Request
	phase         phase
	try           uint16
	fences        int
	resumes       int
	mayHaveRun    bool  // an earlier attempt ran or may have run
	headForwarded bool  // status line and header of the answer were forwarded
	offset        int64 // bytes of the answer's body forwarded
	sum           *xxhash.Digest
	lastReason    outcome.Reason // why the last attempt was refused or failed
	retryAfter    time.Duration
	dropped       int
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

// Dropped returns the number of late, misrouted or duplicate frames that were ignored.
func (m *Machine) Dropped() int { return m.dropped }

// Done reports whether the outcome is final.
func (m *Machine) Done() bool { return m.phase == done }

// HostChosen reports that a host was chosen for the next attempt.
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
func (m *Machine) NoHost(reason outcome.Reason, retryAfter time.Duration) Action {
	if m.phase != choosing {
		return Action{}
	}
	if m.lastReason != "" {
		reason = m.lastReason
	}
	return m.finishUnplaced(reason, max(retryAfter, m.retryAfter))
}

// NotSent reports that the attempt could not be sent at all, for instance
// because the connection to the agent could not be established.
func (m *Machine) NotSent(reason outcome.Reason) Action {
	if m.phase != running {
		return Action{}
	}
	if m.req.Keyed {
		return m.finish(outcome.Unknown, outcome.HomeUnreachable)
	}
	return m.retry(reason, 0)
}

// Refused reports that the agent refused an attempt.
func (m *Machine) Refused(try uint16, reason outcome.Reason, retryAfter time.Duration) Action {
	if !m.isCurrent(try) {
		return Action{}
	}
	info := outcome.Lookup(reason)
	if info.Outcome != outcome.NotRun {
		return m.failPossiblyRun(reason)
	}
	if m.headForwarded {
		return m.finish(outcome.Unknown, reason)
	}
	if m.req.Keyed && reason == outcome.Fenced {
		return m.finish(outcome.Unknown, outcome.ConnectionLost)
	}
	if !info.Retryable || m.req.Keyed {
		return m.finishNotRun(reason, retryAfter)
	}
	return m.retry(reason, retryAfter)
}

// failPossiblyRun handles an attempt that ran or may have run, and whose complete answer
// is not available.
func (m *Machine) failPossiblyRun(reason outcome.Reason) Action {
	m.mayHaveRun = true
	if m.req.Repeatable && !m.req.Keyed && !m.headForwarded {
		return m.retry(reason, 0)
	}
	return m.finish(outcome.Unknown, reason)
}

// Head reports the status line and header of an answer.
func (m *Machine) Head(try uint16) Action {
	if !m.isCurrent(try) || m.headForwarded {
		m.dropped++
		return Action{}
	}
	m.headForwarded = true
	return Action{Kind: Forward}
}

// Data reports a part of the answer that starts at offset. Only the part that
// follows the bytes already forwarded is passed on.
func (m *Machine) Data(try uint16, offset int64, b []byte) Action {
	if !m.isCurrent(try) || !m.headForwarded || offset != m.offset {
		m.dropped++
		return Action{}
	}
	m.offset += int64(len(b))
	_, _ = m.sum.Write(b)
	return Action{Kind: Forward}
}

// End reports the end of an answer with its length and checksum.
func (m *Machine) End(try uint16, length int64, sum uint64) Action {
	if !m.isCurrent(try) || !m.headForwarded {
		m.dropped++
		return Action{}
	}
	if length > m.offset {
		return m.startFencing() // data is missing: resume the answer
	}
	if length != m.offset || sum != m.sum.Sum64() {
		return m.finish(outcome.Unknown, outcome.Truncated)
	}
	m.phase = done
	return Action{Kind: Finish, Outcome: outcome.Completed}
}

// ConnectionLost reports that the connection of the current attempt was lost.
func (m *Machine) ConnectionLost() Action {
	if m.phase != running && m.phase != resuming {
		return Action{}
	}
	return m.startFencing()
}

func (m *Machine) startFencing() Action {
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

// FenceFailed reports that a fence call was not answered.
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
	FenceNotRun  FenceState = iota + 1 // the attempt has not run and cannot run any more
	FenceRunning                       // queued or running, or has finished and its answer is retained
	FenceFailed                        // ran; the answer is not available
	FenceGone                          // the agent has restarted and has no record of the attempt
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

// unresolved handles an attempt whose result cannot be determined.
func (m *Machine) unresolved(reason outcome.Reason) Action { return m.failPossiblyRun(reason) }

// BackoffElapsed reports the end of a back-off. budget is false if the retry budget
// does not allow another attempt.
func (m *Machine) BackoffElapsed(budget bool) Action {
	if m.phase != backingOff {
		return Action{}
	}
	if !budget {
		return m.finishNotRun(m.lastReason, m.retryAfter)
	}
	m.phase = choosing
	return Action{Kind: Choose, Try: m.try}
}

// DeadlineExceeded reports that the caller's deadline has passed.
func (m *Machine) DeadlineExceeded() Action {
	return m.end(outcome.DeadlineExceeded, outcome.DeadlineExceededRunning)
}

// EntryStopped reports that the entry stops and cannot wait for the result.
func (m *Machine) EntryStopped() Action {
	return m.end(outcome.ShuttingDown, outcome.ShuttingDownRunning)
}

// end ends the submission with one reason if no attempt is in progress, and with another one if
// the current attempt may have run.
func (m *Machine) end(unplaced, running outcome.Reason) Action {
	switch m.phase {
	case done:
		return Action{}
	case choosing, backingOff:
		return m.finishUnplaced(unplaced, 0)
	}
	return m.finish(outcome.Unknown, running)
}

// Abandon ends the submission on the caller's side, for instance because the
// caller closed its connection. The outcome is unknown, since an attempt may have run.
func (m *Machine) Abandon(reason outcome.Reason) Action {
	if m.phase == done {
		return Action{}
	}
	return m.finish(outcome.Unknown, reason)
}

func (m *Machine) isCurrent(try uint16) bool {
	return (m.phase == running || m.phase == resuming) && try == m.try
}

func (m *Machine) retry(reason outcome.Reason, retryAfter time.Duration) Action {
	m.lastReason, m.retryAfter = reason, retryAfter
	if int(m.try) >= m.req.MaxTries || atCapacity(reason) && m.try >= maxCapacityTries {
		return m.finishNotRun(reason, retryAfter)
	}
	m.phase = backingOff
	return Action{Kind: Backoff, Reason: reason}
}

// finishUnplaced ends a submission that has no attempt in progress. For a keyed request
// the outcome is unknown, since only the home of the key knows whether the key has run.
func (m *Machine) finishUnplaced(reason outcome.Reason, retryAfter time.Duration) Action {
	a := m.finishNotRun(reason, retryAfter)
	if m.req.Keyed {
		a.Outcome = outcome.Unknown
	}
	return a
}

// maxCapacityTries is the number of attempts after which a refusal for lack of capacity is
// final. The fleet is then assumed to be at capacity, and the caller receives the time after
// which to retry.
const maxCapacityTries = 2

func atCapacity(r outcome.Reason) bool { return r == outcome.QueueFull || r == outcome.TeamLimit }

// finishNotRun ends a submission whose last attempt did not run. If an earlier
// attempt may have run, the outcome of the submission is unknown.
func (m *Machine) finishNotRun(reason outcome.Reason, retryAfter time.Duration) Action {
	o := outcome.NotRun
	if m.mayHaveRun {
		o = outcome.Unknown
	}
	a := m.finish(o, reason)
	a.RetryAfter = retryAfter
	return a
}

func (m *Machine) finish(o outcome.Outcome, reason outcome.Reason) Action {
	m.phase = done
	return Action{Kind: Finish, Outcome: o, Reason: reason, Abort: m.headForwarded && o != outcome.Completed}
}

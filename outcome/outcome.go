// Package outcome defines the final results of a submission (a caller's request, with all its
// retries) and the reasons for which it is refused or retried. Every layer that refuses
// requests uses these constants, so that each reason has one counter, one log value and one
// value in the answer to the caller.
package outcome

import "net/http"

// Outcome is the final result of a submission as reported to the caller.
type Outcome string

// The outcomes. No other value is reported.
const (
	// Completed means that the complete answer of one target was delivered.
	Completed Outcome = "completed"
	// NotRun means that the request is proven not to have run on any target.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run; its answer is not available.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal, a retry or an Unknown outcome.
type Reason string

// Reasons. The Text of each entry of the table below describes them.
const (
	BadRequest       Reason = "bad-request"
	NoService        Reason = "no-service"
	NoTeam           Reason = "no-team"
	NoIntent         Reason = "no-intent"
	NoCandidate      Reason = "no-candidate"
	Stale            Reason = "stale-process"
	Leaving          Reason = "leaving"
	NotReady         Reason = "not-ready"
	QueueFull        Reason = "queue-full"
	TeamLimit        Reason = "team-limit"
	TeamRate         Reason = "team-rate"
	DeadlineExceeded Reason = "deadline"
	// DeadlineExceededRunning means that the deadline passed while the request
	// may have been running.
	DeadlineExceededRunning Reason = "deadline-running"
	Fenced                  Reason = "fenced"
	Duplicate               Reason = "duplicate-attempt"
	KeyInvalid              Reason = "key-invalid"
	KeyRunning              Reason = "key-running"
	KeyMismatch             Reason = "key-mismatch"
	KeyTooOld               Reason = "key-too-old"
	KeyHomeMoved            Reason = "key-home-moved"
	KeyAnswerGone           Reason = "key-answer-gone"
	KeyTableFull            Reason = "key-table-full"
	HomeUnreachable         Reason = "home-unreachable"
	RetryBudget             Reason = "retry-budget"
	ConnectFailed           Reason = "connect-failed"
	ConnectionLost          Reason = "connection-lost"
	IncarnationGone         Reason = "incarnation-gone"
	TargetUnreachable       Reason = "target-unreachable"
	TargetFailed            Reason = "target-failed"
	Truncated               Reason = "truncated"
	VersionMixed            Reason = "version-mixed"
	BodyTooLarge            Reason = "body-too-large"
	CallerLeft              Reason = "caller-left"
	ShuttingDown            Reason = "shutting-down"
	// ShuttingDownRunning is the reason if the entry stops while the request may have been
	// running.
	ShuttingDownRunning Reason = "shutting-down-running"
	EntryFull           Reason = "entry-full"
)

// Info describes one reason.
type Info struct {
	Reason Reason
	// Outcome is reported to the caller if the submission ends with this reason.
	Outcome Outcome
	// Status is the HTTP status code of the caller's answer.
	Status int
	// Retryable is true if another host may accept the same request.
	Retryable bool
	// Text is the sentence in the problem document.
	Text string
}

var table = []Info{
	{BadRequest, NotRun, http.StatusBadRequest, false, "The request headers are not valid."},
	{NoService, NotRun, http.StatusNotFound, false, "No such service in the fleet file in force."},
	{NoTeam, NotRun, http.StatusForbidden, false, "No such team in the fleet file in force."},
	{NoIntent, NotRun, http.StatusServiceUnavailable, true, "No fleet file has been accepted yet."},
	{NoCandidate, NotRun, http.StatusServiceUnavailable, true, "No target of the service can take the request."},
	{Stale, NotRun, http.StatusServiceUnavailable, true, "The process was paused and has not caught up."},
	{Leaving, NotRun, http.StatusServiceUnavailable, true, "The target host is leaving."},
	{NotReady, NotRun, http.StatusServiceUnavailable, true, "The target does not serve the version in force yet."},
	{QueueFull, NotRun, http.StatusTooManyRequests, true, "The queue of the target is full."},
	{TeamLimit, NotRun, http.StatusTooManyRequests, true, "The team has used its share of the target."},
	{TeamRate, NotRun, http.StatusTooManyRequests, false, "The team is above its request rate."},
	{DeadlineExceeded, NotRun, http.StatusGatewayTimeout, false, "The deadline cannot be met."},
	{DeadlineExceededRunning, Unknown, http.StatusGatewayTimeout, false, "The deadline passed while the request may have run."},
	{Fenced, NotRun, http.StatusServiceUnavailable, true, "The attempt was fenced before it arrived."},
	{Duplicate, Unknown, http.StatusConflict, false, "The attempt was received before."},
	{KeyInvalid, NotRun, http.StatusBadRequest, false, "The idempotency key is not a UUID of version 7 from the past."},
	{KeyRunning, Unknown, http.StatusConflict, false, "A request with this idempotency key is running."},
	{KeyMismatch, NotRun, http.StatusUnprocessableEntity, false, "The idempotency key was used for another request."},
	{KeyTooOld, Unknown, http.StatusConflict, false, "The key may have run before the records reach back."},
	{KeyHomeMoved, Unknown, http.StatusConflict, false, "An earlier home of the key cannot be asked."},
	{KeyAnswerGone, Unknown, http.StatusConflict, false, "The request has run; its answer is no longer held."},
	{KeyTableFull, NotRun, http.StatusServiceUnavailable, false, "The home of the key has no room for a record."},
	{HomeUnreachable, Unknown, http.StatusServiceUnavailable, false, "The home of the key cannot be reached."},
	{RetryBudget, NotRun, http.StatusServiceUnavailable, false, "The retry budget of the service is used up."},
	{ConnectFailed, NotRun, http.StatusServiceUnavailable, true, "The agent could not be reached."},
	{ConnectionLost, Unknown, http.StatusBadGateway, false, "The connection broke and the result is not known."},
	{IncarnationGone, Unknown, http.StatusBadGateway, false, "The agent that ran the request has restarted."},
	{TargetUnreachable, NotRun, http.StatusServiceUnavailable, true, "The target refused the connection."},
	{TargetFailed, Unknown, http.StatusBadGateway, false, "The target broke the exchange."},
	{Truncated, Unknown, http.StatusBadGateway, false, "The answer of the target was cut short."},
	{VersionMixed, Unknown, http.StatusBadGateway, false, "The answer came from another version."},
	{BodyTooLarge, NotRun, http.StatusRequestEntityTooLarge, false, "The request body is over the limit."},
	{CallerLeft, Unknown, 499, false, "The caller closed the connection."},
	{EntryFull, NotRun, http.StatusServiceUnavailable, false, "The entry has too many requests in flight."},
	{ShuttingDown, NotRun, http.StatusServiceUnavailable, true, "The entry is shutting down."},
	{ShuttingDownRunning, Unknown, http.StatusBadGateway, false, "The entry shut down while the request may have run."},
}

// All returns the descriptions of all reasons in a fixed order.
func All() []Info { return append([]Info(nil), table...) }

var byReason = func() map[Reason]Info {
	m := make(map[Reason]Info, len(table))
	for _, i := range table {
		m[i.Reason] = i
	}
	return m
}()

// Lookup returns the description of a reason. An undefined reason has the outcome
// Unknown, which claims nothing about whether the request ran.
func Lookup(r Reason) Info {
	if i, ok := byReason[r]; ok {
		return i
	}
	return Info{Reason: r, Outcome: Unknown, Status: http.StatusBadGateway, Text: "Unrecognised reason."}
}

package gateway

import "net/http"

// Reason says why a request was refused, tried again or ended without a whole
// answer. Each has one counter and one value in the log.
type Reason string

// Reasons.
const (
	ReasonNone           Reason = ""
	ReasonNoConfig       Reason = "no_config"
	ReasonNoRoute        Reason = "no_route"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonBodyBroken     Reason = "body_broken"
	ReasonSaturated      Reason = "saturated"
	ReasonPaced          Reason = "paced" // no target takes one more yet
	ReasonNoTarget       Reason = "no_target"
	ReasonNoDomain       Reason = "no_domain" // no failure domain is left that may run it
	ReasonDialFailed     Reason = "dial_failed"
	ReasonTargetRefused  Reason = "target_refused" // the target states that it did not run it
	ReasonOtherInstance  Reason = "other_instance"
	ReasonConnLost       Reason = "connection_lost"
	ReasonGarbled        Reason = "garbled_answer"
	ReasonTargetError    Reason = "target_error"
	ReasonLateFirstEvent Reason = "first_event_late"
	ReasonStalled        Reason = "stream_stalled"
	ReasonBrokenStream   Reason = "stream_broken"
	ReasonVersionOver    Reason = "version_over" // it had not begun when its version's time was over
	ReasonEndsTargets    Reason = "ends_targets" // targets that run it end
	ReasonTimeout        Reason = "timeout"
	ReasonCallerGone     Reason = "caller_gone"
	ReasonAttempts       Reason = "attempts_used"
	ReasonBudget         Reason = "retry_budget_used"
)

// reasons lists all reasons with a counter.
var reasons = []Reason{ReasonNoConfig, ReasonNoRoute, ReasonUnknownKey, ReasonBodyTooLarge, ReasonBodyBroken,
	ReasonSaturated, ReasonPaced, ReasonNoTarget, ReasonNoDomain, ReasonDialFailed, ReasonTargetRefused, ReasonOtherInstance, ReasonConnLost,
	ReasonGarbled, ReasonTargetError, ReasonLateFirstEvent, ReasonStalled, ReasonBrokenStream, ReasonVersionOver, ReasonEndsTargets, ReasonTimeout,
	ReasonCallerGone, ReasonAttempts, ReasonBudget}

// refusalStatus returns the status of an answer of our own. ran is true if a
// target may have run the request: then no status may promise otherwise.
func refusalStatus(r Reason, ran bool) int {
	switch {
	case r == ReasonNoRoute:
		return http.StatusNotFound
	case r == ReasonUnknownKey:
		return http.StatusUnauthorized
	case r == ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case r == ReasonBodyBroken, r == ReasonEndsTargets:
		// Final, run or not: callers do not repeat it after this status, as they may after
		// one that says to come back or that leaves open what happened.
		return http.StatusBadRequest
	case ran && r == ReasonTimeout:
		return http.StatusGatewayTimeout
	case ran:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

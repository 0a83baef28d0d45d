package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Attempt is one request of a caller and what the caller observed.
type Attempt struct {
	ID               string
	Kind             string // of the route
	Team             string // of the key
	Repeatable       bool   // the request may run more than once
	Incarnation      string // of the entry that the request was sent to
	Key              int    // number of the rotating key sent; 0 for the permanent key, -1 if the entry restarted meanwhile
	Began, End       int64  // sequence numbers of events at the callers, not times
	Status           int    // 0 if there was no response
	Signed           bool   // the response is a target's
	Fault            string // what was wrong with the response
	Truncated        bool   // the response ended early, detectably for the caller
	FaultFree        bool   // its entry and targets had no fault, except for a graceful stop of the entry
	StoreReachable   bool   // its entry had been able to reach the store for storeReachableWindow when the request was sent
	Undisturbed      bool   // its entry had no fault and was not stopping, and none of the targets that it ever reached had a fault during the attempt
	EntryFaultFree   bool   // its entry had no fault during the attempt, nor in the settleTime before
	Body             string // set if the same body is sent again with other IDs
	CrashingPart     string // part of the prompt that crashes targets, if there is one
	AnnouncedLeaving string // target incarnation that announced in the response that it is leaving
	// Sent and Answered are relative to the start of the run.
	Sent, Answered time.Duration
}

// Violation is a violated invariant.
type Violation struct {
	Invariant       string
	Attempt         Attempt
	Runs            []string
	SchedulingDelay time.Duration // by how much a target was late because this process waited for CPU
}

// String describes the violation.
func (v Violation) String() string {
	a := v.Attempt
	return fmt.Sprintf("%s: request %s (%s) at %s, key %d, sent %v, answered %v, status %d, ran on %v, scheduling delay %v; %s", v.Invariant, a.ID, a.Kind,
		a.Incarnation, a.Key, a.Sent.Round(time.Millisecond), a.Answered.Round(time.Millisecond), a.Status, v.Runs, v.SchedulingDelay.Round(time.Millisecond), a.Fault)
}

// Invariants that are checked.
const (
	InvariantRunsOnce         = "a request that is not repeatable runs at most once"
	InvariantRefusedNotRun    = "a request refused as not run has not run"
	InvariantResponseIntact   = "a response is complete and belongs to its request"
	InvariantValidKeyAccepted = "a request with a valid key is not denied"
	InvariantGracefulStop     = "a graceful stop truncates no response"
	InvariantSoundTarget      = "a request that a sound target runs is answered"
	InvariantConfigMonotonic  = "an entry never reverts to an older configuration"
	InvariantConfigFresh      = "a configuration takes effect within the bound"
	InvariantLeavingTarget    = "a leaving target receives no new request"
	InvariantCrashLimit       = "a request that crashed three targets is no longer sent"
	InvariantPartCrashLimit   = "a part of prompts that crashed five targets is no longer sent"
	InvariantAnnouncedLeaving = "a target that announced leaving receives no new request from the entries that forwarded the announcement"
	InvariantBackoff          = "a target receives no request from an entry during the back-off that it requested"
	InvariantKnownStays       = "what an entry knows stays in force when the store is restored"
	InvariantRetryBudget      = "a service receives no more retries than its budget allows"
	InvariantNotDenied        = "few proper requests get a status that callers do not retry"
	InvariantWholeWeights     = "no token is made with weights that were not whole when they were loaded"
	InvariantRateLimit        = "a target receives no more requests than the limit that it announces"
)

// Judge checks the invariants by comparing what callers observed with what the targets and
// the store recorded.
func Judge(attempts []Attempt, facts Facts) []Violation {
	var out []Violation
	add := func(invariant string, a Attempt) {
		out = append(out, Violation{invariant, a, facts.Runs[a.ID], facts.SchedulingDelay[a.ID]})
	}
	for _, a := range attempts {
		ran := len(facts.Runs[a.ID])
		if facts.usedStaleConfig(a) {
			add(InvariantConfigFresh, a)
		}
		if facts.sentToLeaving(a) {
			add(InvariantLeavingTarget, a)
		}
		if facts.BadTokens[a.ID] > 0 {
			add(InvariantWholeWeights, a)
		}
		if facts.wentBack(a) {
			add(InvariantKnownStays, a)
		}
		switch {
		case ran > 1 && !a.Repeatable:
			add(InvariantRunsOnce, a)
		case meansNotRun(a.Status) && ran > 0:
			add(InvariantRefusedNotRun, a)
		case a.Fault != "":
			add(InvariantResponseIntact, a)
		case a.Key == 0 && denied(a.Status):
			add(InvariantValidKeyAccepted, a)
		case facts.unansweredAtSoundTarget(a):
			add(InvariantSoundTarget, a)
		case a.FaultFree && ran > 0 && (a.Status == 0 || a.Truncated):
			add(InvariantGracefulStop, a)
		}
	}
	for _, a := range sentAfterQuarantine(attempts, facts) {
		add(InvariantCrashLimit, a)
	}
	for _, a := range promptsAfterQuarantine(attempts, facts) {
		add(InvariantPartCrashLimit, a)
	}
	for _, a := range sentAfterLeavingNotice(attempts, facts) {
		add(InvariantAnnouncedLeaving, a)
	}
	for _, a := range sentDuringBackoff(attempts, facts) {
		add(InvariantBackoff, a)
	}
	for _, a := range overLimit(attempts, facts) {
		add(InvariantRateLimit, a)
	}
	for _, a := range deniedProperRequests(attempts) {
		add(InvariantNotDenied, a)
	}
	for _, a := range configRegressions(attempts) {
		add(InvariantConfigMonotonic, a)
	}
	return out
}

// meansNotRun reports whether a status guarantees that the request has not run.
func meansNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func denied(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// configRegressions returns the attempts that an entry accepted with the key of an older
// configuration although the same incarnation had accepted the key of a newer one before
// the attempts were sent. Each configuration accepts exactly one of the rotating keys.
func configRegressions(attempts []Attempt) []Attempt {
	byEntry := map[string][]Attempt{}
	for _, a := range attempts {
		if a.Key > 0 && a.Status == http.StatusOK {
			byEntry[a.Incarnation] = append(byEntry[a.Incarnation], a)
		}
	}
	var out []Attempt
	for _, list := range byEntry {
		slices.SortFunc(list, func(x, y Attempt) int { return int(x.End - y.End) })
		for i, newer := range list {
			for _, a := range list[i+1:] {
				if a.Began > newer.End && a.Key < newer.Key {
					out = append(out, a)
				}
			}
		}
	}
	return out
}

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Attempt is one request of a caller and what the caller saw.
type Attempt struct {
	ID          string
	Kind        string // of the route
	Repeatable  bool   // it may run more than once
	Incarnation string // of the entry that it was sent to
	Key         int    // number of the rotating key that it bore; 0 for a lasting one
	Began, End  int64  // order of events at the callers, not a clock
	Status      int    // 0 if no answer came
	Fault       string // what was wrong with the answer
	Truncated         bool   // the answer ended early, and showed it
	FaultFree        bool   // nothing but an orderly stop happened to its entry
	StoreReachable     bool   // its entry could reach the store for touchFor when it was sent
	EntryFaultFree bool   // its entry had no fault in the time aftermath before it
	Body        string // set if it is one that comes again with other IDs
	AnnouncedLeaving string // life of a target that said in the answer that it leaves
	// Sent and Answered are since the start of the run.
	Sent, Answered time.Duration
}

// Violation is a broken promise.
type Violation struct {
	Invariant string
	Attempt Attempt
	Runs    []string
	SchedulingDelay    time.Duration // by how much a target was later than it was to be
}

// String describes the violation.
func (v Violation) String() string {
	a := v.Attempt
	return fmt.Sprintf("%s: request %s (%s) at %s, key %d, sent %v, answered %v, status %d, ran at %v, late there by %v; %s", v.Invariant, a.ID, a.Kind,
		a.Incarnation, a.Key, a.Sent.Round(time.Millisecond), a.Answered.Round(time.Millisecond), a.Status, v.Runs, v.SchedulingDelay.Round(time.Millisecond), a.Fault)
}

// Promises that are checked.
const (
	InvariantRunsOnce        = "what is not repeatable runs once"
	InvariantRefusedNotRun      = "a refusal that says so has not run"
	InvariantResponseIntact       = "an answer is whole and the caller's own"
	InvariantValidKeyAccepted     = "what is allowed is not denied"
	InvariantGracefulStop       = "an orderly stop cuts no request"
	InvariantConfigMonotonic     = "a configuration never goes back"
	InvariantConfigFresh       = "a configuration is in force in time"
	InvariantLeavingTarget     = "a target that leaves gets no new request"
	InvariantCrashLimit     = "a request that crashed three targets is sent no more"
	InvariantAnnouncedLeaving = "a target that said that it leaves gets no new request from those it told"
	InvariantBackoff        = "a target gets no request from an entry that it asked for rest"
	InvariantRateLimit       = "a target gets no more than the limit that it names"
)

// Judge compares what callers saw with what targets ran and the store said.
func Judge(attempts []Attempt, facts Facts) []Violation {
	var out []Violation
	add := func(promise string, a Attempt) {
		out = append(out, Violation{promise, a, facts.Runs[a.ID], facts.SchedulingDelay[a.ID]})
	}
	for _, a := range attempts {
		ran := len(facts.Runs[a.ID])
		if facts.outdated(a) {
			add(InvariantConfigFresh, a)
		}
		if facts.toLeaving(a) {
			add(InvariantLeavingTarget, a)
		}
		switch {
		case ran > 1 && !a.Repeatable:
			add(InvariantRunsOnce, a)
		case saysNotRun(a.Status) && ran > 0:
			add(InvariantRefusedNotRun, a)
		case a.Fault != "":
			add(InvariantResponseIntact, a)
		case a.Key == 0 && denied(a.Status):
			add(InvariantValidKeyAccepted, a)
		case a.FaultFree && ran > 0 && (a.Status == 0 || a.Truncated):
			add(InvariantGracefulStop, a)
		}
	}
	for _, a := range keptCrashing(attempts, facts) {
		add(InvariantCrashLimit, a)
	}
	for _, a := range toSaidLeaving(attempts, facts) {
		add(InvariantAnnouncedLeaving, a)
	}
	for _, a := range atRest(attempts, facts) {
		add(InvariantBackoff, a)
	}
	for _, a := range overLimit(attempts, facts) {
		add(InvariantRateLimit, a)
	}
	for _, a := range wentBack(attempts) {
		add(InvariantConfigMonotonic, a)
	}
	return out
}

// saysNotRun reports whether a status promises that the request has not run.
func saysNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func denied(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// wentBack returns the attempts that an entry let in with a key of an older
// configuration, although the same incarnation had let in one of a newer before
// they were sent. Each configuration allows just one of the rotating keys.
func wentBack(attempts []Attempt) []Attempt {
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

package sidecar

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
)

// Report is an engine's status report.
type Report struct {
	Models []fleet.ModelVersion
	Layers LayerRange // held layers of the model; the zero value if not reported
	Busy   bool       // the engine is carrying out an order
	// Sequence is the number of orders that the engine has begun since its start.
	// An engine that does not count them reports 0.
	Sequence    int64
	StartTimeMs int64 // Unix time of the engine's start; 0 if not reported
	Running     int   // requests that the engine is running
	Waiting     int   // requests that wait at the engine
	// Pace is how many times as long as by the cost model the engine takes; 0 if not reported.
	Pace float64
}

// serves returns the version that the engine holds with all layers, or 0.
func (r Report) serves(model string, layers int) int {
	i := fleet.Instance{Models: r.Models}
	return i.LoadedVersion(&fleet.EngineModel{Model: model, Layers: layers})
}

// held returns the layers that the engine holds of a model.
func (r Report) held(model string) held {
	for _, m := range r.Models {
		if m.Model != model {
			continue
		}
		if r.Layers != (LayerRange{}) {
			return held{m.Version, r.Layers}
		}
		return held{m.Version, LayerRange{0, max(m.Layers, 1)}}
	}
	return held{}
}

// Action is a kind of step of a sidecar.
type Action uint8

// Actions.
const (
	Rest    Action = iota // nothing to do
	Watch                 // the engine is carrying out an order; wait for its end
	Stage                 // stage the missing pieces at the engine
	Fetch                 // fetch pieces of a version into memory while another one must stay staged
	Await                 // staged; wait for the engine's turn
	Load                  // staged, and the engine's turn has come
	Fence                 // fence older orders before other pieces are staged
	Inspect               // identify the version that a previous agent has staged
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"rest", "watch", "stage", "fetch", "await", "load", "fence", "inspect"}[a]
}

// Step is an action and the version that it concerns, which is 0 for Rest and Watch.
type Step struct {
	Action  Action
	Version int
}

// progress is how many of a version's pieces are available in one place: staged at the engine,
// or fetched into the agent's memory.
type progress struct {
	version  int
	complete bool
	share    float64 // available pieces divided by all pieces of the version
}

// isComplete reports whether all pieces of a version are available.
func (p progress) isComplete(version int) bool { return p.version == version && p.complete }

// holdings summarizes the pieces available to an agent and its order in doubt.
type holdings struct {
	staged  progress // at the engine
	fetched progress // in the agent's memory
	stalled int      // version with a recent failure to fetch a piece; 0 if none
	inDoubt inDoubtOrder
}

// commitShare is the share of a version's pieces that must be available for the sidecar to
// wait for the remaining ones, since they arrive sooner than all pieces of another version.
const commitShare = 0.5

// Plan returns the next step.
func (c Config) Plan(now time.Time, r Report, as assignmentState, h holdings) Step {
	serving := r.serves(as.Model, as.Layers)
	pending := as.pending(serving)
	switch {
	case as.Model == "" || len(pending) == 0:
		return Step{}
	case r.Busy:
		return Step{Action: Watch}
	}
	if h.inDoubt.known() {
		return c.planInDoubt(now, serving, pending, h)
	}
	step := c.planVersions(now, serving, pending, as, h)
	if h.inDoubt.fromPreviousAgent() && step.Action == Stage {
		return planPreviousAgent(now, serving, step, h, c.fenceTurn(as, pending[len(pending)-1]))
	}
	return step
}

// planInDoubt plans while an order for a known version may still take effect. The order is
// repeated: it was due when it was first sent, and the engine begins only one of several
// orders with the same precondition. Until the order is settled, its version stays staged,
// and newer versions are fetched into the agent's memory.
func (c Config) planInDoubt(now time.Time, serving int, pending []announcedVersion, h holdings) Step {
	d, newest := h.inDoubt, pending[len(pending)-1].version
	complete := h.staged.isComplete(d.version)
	due := !now.Before(d.nextAttempt)
	switch {
	case complete && due:
		return Step{Load, d.version}
	case !complete && h.stalled != d.version:
		return Step{Stage, d.version}
	case !complete && due && d.fenceable(serving):
		return Step{Fence, serving}
	case d.version != newest && !h.fetched.isComplete(newest):
		return Step{Fetch, newest}
	}
	return Step{Await, d.version}
}

// planPreviousAgent plans instead of staging while an order of the previous agent may still
// take effect. An engine that serves a version can be fenced against such orders by an order
// that changes nothing. Otherwise the staged pieces show which version was ordered. If
// neither is possible, the sidecar waits until the order has expired.
func planPreviousAgent(now time.Time, serving int, step Step, h holdings, fenceTurn time.Time) Step {
	fence, due := serving != 0 && !h.inDoubt.ignoresTokens, !now.Before(h.inDoubt.nextAttempt)
	if fence && now.Before(fenceTurn) {
		due = false
	}
	switch {
	case fence && due:
		return Step{Fence, serving}
	case !fence && due && !h.inDoubt.inspected:
		return Step{Inspect, step.Version}
	case !h.fetched.isComplete(step.Version):
		return Step{Fetch, step.Version}
	}
	return Step{Await, step.Version}
}

// fenceTurn returns from when on the agent may send a fencing order because of a version.
func (c Config) fenceTurn(as assignmentState, av announcedVersion) time.Time {
	if as.Turns <= 1 {
		return av.announced
	}
	return av.announced.Add(c.FenceSpread * time.Duration(as.Turn) / time.Duration(as.Turns))
}

// planVersions plans the next step for the pending versions, regardless of orders in doubt.
func (c Config) planVersions(now time.Time, serving int, pending []announcedVersion, as assignmentState, h holdings) Step {
	newest := pending[len(pending)-1]
	if h.staged.isComplete(newest.version) {
		if serving == 0 || !now.Before(c.turnWindowOf(as, pending, newest).at(as.Turn, as.Turns)) {
			return Step{Load, newest.version}
		}
		return Step{Await, newest.version}
	}
	if len(pending) == 1 || c.Off.Has(mechanism.OlderVersion) || h.fetched.isComplete(newest.version) {
		return Step{Stage, newest.version}
	}
	return c.planTwoPending(now, serving, pending, as, h)
}

// planTwoPending plans when a version was announced before the engine loaded the preceding
// one. One load is better than two, so the newest version takes precedence. But the newest
// version still has to be fetched from the origin, which may become unavailable: if it
// cannot be fetched, or not in time, the engine loads the older version by that version's
// deadline. The staged pieces of the older version are kept until the newest is complete in
// the agent's memory.
func (c Config) planTwoPending(now time.Time, serving int, pending []announcedVersion, as assignmentState, h holdings) Step {
	newest := pending[len(pending)-1]
	older := olderCandidate(pending[:len(pending)-1], h)
	unavailable := as.newestUnreadable() || h.stalled == newest.version
	staged := progress{}
	if h.staged.version == older.version {
		staged = h.staged
	}
	switch {
	case staged.complete && (serving == 0 || !now.Before(c.loadOlderAt(as, pending, older, unavailable, h))):
		return Step{Load, older.version}
	case staged.complete:
		return Step{Fetch, newest.version}
	case h.staged.version == newest.version && h.staged.share >= commitShare:
		return Step{Stage, newest.version}
	case unavailable, staged.share >= commitShare && (serving == 0 || c.tooLate(now, as, pending, h)):
		return Step{Stage, older.version}
	case staged.share > 0:
		return Step{Fetch, newest.version}
	}
	return Step{Stage, newest.version}
}

// tooLate reports whether fetching the rest of the newest version, estimated as the missing
// share of Config.Lead, would take until less than Config.Margin before the deadline of the
// oldest pending version. After that deadline the engine would have no version that it may
// serve.
func (c Config) tooLate(now time.Time, as assignmentState, pending []announcedVersion, h holdings) bool {
	missing := time.Duration((1 - h.fetched.share) * float64(c.Lead))
	due := pending[0].announced.Add(time.Duration(as.TimeoutMs)*time.Millisecond - c.Margin)
	return now.Add(missing).After(due)
}

// loadOlderAt returns when the engine loads an older version that is completely staged: at
// the engine's turn while the newest version is unavailable, otherwise at the end of the
// turnWindow of the older version, or Config.Margin later if at least commitShare of the
// newest version has been fetched.
func (c Config) loadOlderAt(as assignmentState, pending []announcedVersion, older announcedVersion, unavailable bool, h holdings) time.Time {
	t := c.turnWindowOf(as, pending, older)
	switch {
	case unavailable:
		return t.at(as.Turn, as.Turns)
	case h.fetched.share >= commitShare:
		return t.end.Add(c.Margin)
	}
	return t.end
}

// olderCandidate returns the version before the newest that may be loaded first: the staged
// one if there is one, otherwise the most recent.
func olderCandidate(older []announcedVersion, h holdings) announcedVersion {
	for _, av := range older {
		if av.version == h.staged.version {
			return av
		}
	}
	return older[len(older)-1]
}

package sidecar

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
)

// Report is an engine's account of itself.
type Report struct {
	Models []fleet.ModelVersion
	Busy   bool // an order is in progress
	// Sequence counts the orders that the engine has begun since its start; an
	// engine that does not count them reports 0.
	Sequence int64
	Born     int64 // Unix time of the engine's start in ms; 0 if it does not tell
	Running  int
	Waiting  int
}

// serves returns the version that the engine holds whole, or zero.
func (r Report) serves(model string, layers int) int {
	i := fleet.Instance{Models: r.Models}
	return i.LoadedVersion(&fleet.EngineModel{Model: model, Layers: layers})
}

// Action is what a sidecar does next.
type Action uint8

// Actions of a sidecar.
const (
	Rest    Action = iota // nothing to do
	Watch                 // an order is in progress
	Stage                 // pieces are missing at the engine
	Fetch                 // an older version is staged; pieces of a newer one are kept in memory
	Await                 // staged; its turn has not come
	Load                  // staged, and its turn has come
	Fence                 // an older order is to be shut out before the stage is changed
	Inspect               // what an agent before has staged is to be found out
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"rest", "watch", "stage", "fetch", "await", "load", "fence", "inspect"}[a]
}

// Step is an action and the version that it is about; zero for Rest and Watch.
type Step struct {
	Action  Action
	Version int
}

// progress is what an agent has of one version.
type progress struct {
	version int
	whole   bool
	share   float64 // of the pieces
}

// is reports whether all of a version is there.
func (p progress) is(version int) bool { return p.version == version && p.whole }

// holdings is what an agent has in all.
type holdings struct {
	staged  progress // at the engine
	fetched progress // in the agent's memory
	stalled int      // version of which a piece could not be had lately; 0 is none
	doubt   doubt
}

// mostly is the share of a version's pieces from which on the rest is waited
// for: it comes sooner than all of another version.
const mostly = 0.5

// Plan decides the next step.
func (c Config) Plan(now time.Time, r Report, o order, h holdings) Step {
	serving := r.serves(o.Model, o.Layers)
	pending := o.pending(serving)
	switch {
	case o.Model == "" || len(pending) == 0:
		return Step{}
	case r.Busy:
		return Step{Action: Watch}
	}
	if h.doubt.ours() {
		return c.planDoubt(now, serving, pending, h)
	}
	step := c.planVersions(now, serving, pending, o, h)
	if h.doubt.earlier() && step.Action == Stage {
		return planEarlier(now, serving, step, h)
	}
	return step
}

// planDoubt decides while an order may still take effect. It is repeated, since
// it was due anyway, and the engine begins only one of those with the same
// precondition. Until then what is staged stays that order's version; newer ones
// are kept in memory.
func (c Config) planDoubt(now time.Time, serving int, pending []wanted, h holdings) Step {
	d, newest := h.doubt, pending[len(pending)-1].version
	whole := h.staged.is(d.version)
	due := !now.Before(d.again)
	switch {
	case whole && due:
		return Step{Load, d.version}
	case !whole && h.stalled != d.version:
		return Step{Stage, d.version}
	case !whole && due && d.fenceable(serving):
		return Step{Fence, serving}
	case d.version != newest && !h.fetched.is(newest):
		return Step{Fetch, newest}
	}
	return Step{Await, d.version}
}

// planEarlier decides in place of staging while an order of the agent before may
// still take effect. An engine that serves a version can be made to refuse such
// orders by one that changes nothing; else what is staged tells what the order
// was, or it is waited for.
func planEarlier(now time.Time, serving int, step Step, h holdings) Step {
	fence, due := serving != 0 && !h.doubt.unfenced, !now.Before(h.doubt.again)
	switch {
	case fence && due:
		return Step{Fence, serving}
	case !fence && due && !h.doubt.looked:
		return Step{Inspect, step.Version}
	case !h.fetched.is(step.Version):
		return Step{Fetch, step.Version}
	}
	return Step{Await, step.Version}
}

// planVersions decides between the versions that are pending.
func (c Config) planVersions(now time.Time, serving int, pending []wanted, o order, h holdings) Step {
	newest := pending[len(pending)-1]
	if h.staged.is(newest.version) {
		if serving == 0 || !now.Before(c.turnsOf(o, pending, newest).at(o.Turn, o.Turns)) {
			return Step{Load, newest.version}
		}
		return Step{Await, newest.version}
	}
	if len(pending) == 1 || c.Off.Has(mechanism.OlderVersion) || h.fetched.is(newest.version) {
		return Step{Stage, newest.version}
	}
	return c.planTwo(now, serving, pending, o, h)
}

// planTwo decides while a version is announced before the engine has changed to
// the one before. Changing once is better than twice, so the newest goes first.
// But it still has to come from the origin, which may go away: while it cannot be
// had, or not in time, the engine changes to the older one in time. What is staged of
// that stays where it is until the newest is whole in the agent's memory.
func (c Config) planTwo(now time.Time, serving int, pending []wanted, o order, h holdings) Step {
	newest := pending[len(pending)-1]
	older := olderGoal(pending[:len(pending)-1], h)
	withheld := o.withheld() || h.stalled == newest.version
	staged := progress{}
	if h.staged.version == older.version {
		staged = h.staged
	}
	switch {
	case staged.whole && (serving == 0 || !now.Before(c.loadOlderAt(o, pending, older, withheld, h))):
		return Step{Load, older.version}
	case staged.whole:
		return Step{Fetch, newest.version}
	case h.staged.version == newest.version && h.staged.share >= mostly:
		return Step{Stage, newest.version}
	case withheld, staged.share >= mostly && (serving == 0 || c.tooLate(now, o, pending, h)):
		return Step{Stage, older.version}
	case staged.share > 0:
		return Step{Fetch, newest.version}
	}
	return Step{Stage, newest.version}
}

// tooLate reports whether what is missing of the newest version takes longer than until the
// oldest pending one must be served: then engines would stand without a version that may be.
func (c Config) tooLate(now time.Time, o order, pending []wanted, h holdings) bool {
	missing := time.Duration((1 - h.fetched.share) * float64(c.Lead))
	due := pending[0].announced.Add(time.Duration(o.TimeoutMs)*time.Millisecond - c.Margin)
	return now.Add(missing).After(due)
}

// loadOlderAt returns when the engine loads an older version that is staged
// whole: at its turn while the newest cannot be had; else when it would be late,
// if the newest is not near its end.
func (c Config) loadOlderAt(o order, pending []wanted, older wanted, withheld bool, h holdings) time.Time {
	t := c.turnsOf(o, pending, older)
	switch {
	case withheld:
		return t.at(o.Turn, o.Turns)
	case h.fetched.share >= mostly:
		return t.end.Add(c.Margin)
	}
	return t.end
}

// olderGoal returns the version before the newest that may be loaded first: the
// one that is staged, or else the last.
func olderGoal(older []wanted, h holdings) wanted {
	for _, w := range older {
		if w.version == h.staged.version {
			return w
		}
	}
	return older[len(older)-1]
}
